//! Processes that pause and wake up late, still believing old facts.

use cassialift_testkit::harness::Signal;

use super::support::{assert_whole, load, run_for, start, wait_covered, wait_preset};

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
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}

#[tokio::test]
async fn test_freeze_through_a_new_preset_never_reverts() {
    let mut fleet = start().await;
    wait_preset(&fleet, 0, "ordinary").await;
    fleet.signal(0, Signal::Stop).unwrap();
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await.unwrap();
    wait_preset(&fleet, 1, "peak").await;
    fleet.signal(0, Signal::Continue).unwrap();
    wait_preset(&fleet, 0, "peak").await;
    let traffic = load(&fleet);
    run_for(500).await;
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}
