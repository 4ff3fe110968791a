//! Processes that are stopped and continue later with outdated state.

use cassialift_testkit::{harness::Signal, standin::config::ConfigMode};
use yare::parameterized;

use super::{
    job_support::{
        is_done, preset_with_ticket_ttl, start_count, start_with_jobs, submit, ticket_from,
    },
    support::{assert_invariants, finish, load, run_for, start, wait_covered, wait_preset},
};

#[tokio::test]
async fn test_freeze_past_leases_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    for vm in [0, 2] {
        run_for(300).await;
        fleet.signal(vm, Signal::Stop).unwrap();
        run_for(2_500).await;
        wait_covered(&fleet, 1).await;
        fleet.signal(vm, Signal::Continue).unwrap();
        wait_covered(&fleet, vm).await;
    }
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_freeze_past_the_expiry_of_a_ticket_runs_nothing() {
    let mut fleet = start_with_jobs(10, preset_with_ticket_ttl(1_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    fleet.signal(0, Signal::Stop).unwrap();
    // The stopped process reads the submission from its socket when it continues.
    let submission = submit(&fleet, 0, &ticket, &body);
    run_for(1_500).await;
    fleet.signal(0, Signal::Continue).unwrap();
    let end = submission.await.unwrap();
    assert!(!is_done(&end), "{end:?}");
    assert_eq!(start_count(&fleet, &body), 0);
    assert_invariants(&fleet).await;
}

#[parameterized(
    serving = { ConfigMode::Serving },
    replaying = { ConfigMode::Replaying(1) },
)]
#[test_macro(tokio::test)]
async fn test_freeze_through_a_new_preset_never_reverts(mode: ConfigMode) {
    let mut fleet = start().await;
    wait_preset(&fleet, 0, "ordinary").await;
    fleet.signal(0, Signal::Stop).unwrap();
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await.unwrap();
    for vm in [1, 2] {
        wait_preset(&fleet, vm, "peak").await;
    }
    fleet.set_config_mode(mode).await.unwrap();
    fleet.signal(0, Signal::Continue).unwrap();
    wait_preset(&fleet, 0, "peak").await;
    let traffic = load(&fleet);
    run_for(500).await;
    finish(&fleet, traffic).await;
}
