//! Several faults at once.

use std::time::Duration;

use cassialift_testkit::{
    faults::{self, FaultSettings},
    harness::Signal,
    load::LoadSettings,
    standin::{backend::Faults, config::ConfigMode},
};
use yare::parameterized;

use super::support::{
    finish, load, run_for, set_faults, start, wait_all_covered, wait_all_preset, wait_covered,
    wait_preset,
};

#[tokio::test]
async fn test_combined_stale_config_with_a_freeze_and_a_kill() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await.unwrap();
    wait_all_preset(&fleet, "peak").await;
    fleet.set_config_mode(ConfigMode::Stale(1)).await.unwrap();
    fleet.signal(1, Signal::Stop).unwrap();
    fleet.signal(0, Signal::Kill).unwrap();
    run_for(500).await;
    fleet.start_vm(0).unwrap();
    wait_preset(&fleet, 0, "peak").await;
    fleet.signal(1, Signal::Continue).unwrap();
    wait_covered(&fleet, 1).await;
    fleet.set_config_mode(ConfigMode::Serving).await.unwrap();
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_combined_two_kills_with_a_hanging_server() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    let hanging = Faults {
        hang: true,
        ..Faults::default()
    };
    set_faults(&fleet, 0, hanging).await;
    for vm in [0, 2] {
        fleet.signal(vm, Signal::Kill).unwrap();
        run_for(700).await;
    }
    for vm in [0, 2] {
        fleet.start_vm(vm).unwrap();
        fleet.wait_vm(vm).await.unwrap();
    }
    set_faults(&fleet, 0, Faults::default()).await;
    wait_all_covered(&fleet).await;
    finish(&fleet, traffic).await;
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
)]
#[test_macro(tokio::test)]
async fn test_combined_random_faults(seed: u64) {
    let settings = FaultSettings {
        seed,
        duration: Duration::from_secs(5),
        ..FaultSettings::default()
    };
    let outcome = faults::run(&settings, &LoadSettings::default())
        .await
        .unwrap();
    assert!(outcome.report.violations.is_empty(), "{outcome}");
}
