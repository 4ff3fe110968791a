//! Processes that end without notice.

use cassialift_testkit::harness::Signal;

use super::support::{assert_whole, load, run_for, start, wait_covered};

#[tokio::test]
async fn test_kill_of_a_vm_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(500).await;
    fleet.signal(0, Signal::Kill).unwrap();
    run_for(1_000).await;
    wait_covered(&fleet, 1).await;
    wait_covered(&fleet, 2).await;
    fleet.start_vm(0).unwrap();
    fleet.wait_vm(0).await.unwrap();
    wait_covered(&fleet, 0).await;
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}
