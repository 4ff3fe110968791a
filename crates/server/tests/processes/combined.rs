//! Faults together and twice.

use cassialift_testkit::{harness::Signal, standin::backend::Faults};

use super::support::{assert_whole, load, run_for, set_faults, start, wait_covered};

#[tokio::test]
async fn test_combined_two_kills_with_a_hanging_server() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    let hang = Faults {
        hang: true,
        ..Faults::default()
    };
    set_faults(&fleet, 0, hang).await;
    for vm in [0, 2] {
        fleet.signal(vm, Signal::Kill).unwrap();
        run_for(700).await;
    }
    for vm in [0, 2] {
        fleet.start_vm(vm).unwrap();
        fleet.wait_vm(vm).await.unwrap();
    }
    set_faults(&fleet, 0, Faults::default()).await;
    for vm in 0..3 {
        wait_covered(&fleet, vm).await;
    }
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}
