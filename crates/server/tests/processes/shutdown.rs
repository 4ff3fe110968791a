//! Graceful stops: nothing in flight is cut off.

use std::time::Duration;

use cassialift_core::{presets::KindPolicy, request::RequestKind, time::Millis};
use cassialift_testkit::{
    harness::{FleetSettings, Signal},
    history::CallEnd,
    standin::backend::ServiceTime,
};

use super::support::{assert_whole, load, run_for, start, start_with, wait_covered};

#[tokio::test]
async fn test_shutdown_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(500).await;
    fleet.set_vms(&[0], Millis::default()).await.unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    fleet.wait_gone(0).await.unwrap();
    wait_covered(&fleet, 1).await;
    traffic.stop().await.unwrap();
    assert_whole(&fleet).await;
}

#[tokio::test]
async fn test_shutdown_finishes_a_search_longer_than_the_librarys_patience() {
    let millis = 33_000;
    let mut settings = FleetSettings {
        time: ServiceTime {
            median: millis * 1_000,
            sigma: 0.0,
        },
        ..FleetSettings::default()
    };
    let policy = KindPolicy {
        deadline: Millis::new(50_000),
        ..KindPolicy::default()
    };
    settings.preset.kinds.insert(RequestKind::Fetch, policy);
    let mut fleet = start_with(settings).await;
    let mut caller = fleet.caller("counter").unwrap();
    caller.hold(fleet.vm_address(0));
    let search =
        tokio::spawn(async move { caller.search(RequestKind::Fetch, Some(vec![1])).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = search.await.unwrap();
    assert!(matches!(end, CallEnd::Answer(_)), "{end:?}");
    fleet.wait_gone(0).await.unwrap();
    assert_whole(&fleet).await;
}
