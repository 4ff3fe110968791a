//! Faults of the platform's services: down, hanging, stale or lagging.

use cassialift_core::time::Millis;
use cassialift_testkit::{harness::Signal, standin::config::ConfigMode};
use yare::parameterized;

use super::support::{
    assert_invariants, finish, load, run_for, start, wait_all_preset, wait_covered, wait_preset,
};

#[parameterized(
    down = { ConfigMode::Down },
    hanging = { ConfigMode::Hanging },
    stale = { ConfigMode::Stale(1) },
    replaying = { ConfigMode::Replaying(1) },
)]
#[test_macro(tokio::test)]
async fn test_platform_config(mode: ConfigMode) {
    let mut fleet = start().await;
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await.unwrap();
    wait_all_preset(&fleet, "peak").await;
    fleet.set_config_mode(mode).await.unwrap();
    let traffic = load(&fleet);
    run_for(500).await;
    // A process that starts now can get the current configuration only from its peers.
    fleet.signal(0, Signal::Kill).unwrap();
    run_for(200).await;
    fleet.start_vm(0).unwrap();
    wait_preset(&fleet, 0, "peak").await;
    finish(&fleet, traffic).await;
    fleet.set_config_mode(ConfigMode::Serving).await.unwrap();
    fleet.publish_preset("ordinary", &preset).await.unwrap();
    wait_all_preset(&fleet, "ordinary").await;
    assert_invariants(&fleet).await;
}

#[tokio::test]
async fn test_platform_vm_list_down() {
    let mut fleet = start().await;
    wait_covered(&fleet, 1).await;
    fleet.set_vms_down(true).await.unwrap();
    let traffic = load(&fleet);
    run_for(500).await;
    fleet.signal(2, Signal::Kill).unwrap();
    run_for(500).await;
    wait_covered(&fleet, 0).await;
    fleet.set_vms_down(false).await.unwrap();
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_platform_vm_list_lags_behind_a_leaving_vm() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(300).await;
    let lag = Millis::new(60_000);
    fleet.set_vms(&[0], lag).await.unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    fleet.wait_exit(0).await.unwrap();
    wait_covered(&fleet, 1).await;
    finish(&fleet, traffic).await;
}
