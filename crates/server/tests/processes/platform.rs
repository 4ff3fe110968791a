//! The platform's services down, silent, stale or lagging.

use cassialift_testkit::harness::Signal;

use super::support::{assert_whole, load, run_for, start, wait_covered};

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
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}
