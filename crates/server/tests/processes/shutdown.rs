//! Graceful stops: nothing in flight is cut off.

use cassialift_core::{presets::KindPolicy, request::RequestKind, time::Millis};
use cassialift_testkit::{
    harness::{FleetSettings, Signal},
    history::CallEnd,
    standin::backend::{BackendChange, Faults, ServiceTime},
};

use super::{
    job_support::{is_done, start_with_jobs, started, ticket_at, tickets_of, wait_started},
    support::{assert_whole, load, run_for, start, start_with, wait_covered},
};

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
async fn test_shutdown_finishes_a_job() {
    let mut fleet = start_with_jobs(3_000, tickets_of(60_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_at(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let (address, copy) = (fleet.vm_address(0), body.clone());
    let submission = tokio::spawn(async move { caller.submit_at(address, &ticket, &copy).await });
    wait_started(&fleet, &body, 1).await;
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = submission.await.unwrap();
    assert!(is_done(&end), "{end:?}");
    fleet.wait_gone(0).await.unwrap();
    assert_eq!(started(&fleet, &body), 1);
    assert_whole(&fleet).await;
}

#[tokio::test]
async fn test_shutdown_finishes_a_search_longer_than_the_librarys_patience() {
    let mut settings = FleetSettings {
        time: ServiceTime {
            median: 2_000,
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
    wait_covered(&fleet, 0).await;
    let slow = Faults {
        // Two milliseconds become 33 seconds.
        slowdown: 16_500.0,
        ..Faults::default()
    };
    let change = BackendChange {
        faults: Some(slow),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
    let before = fleet.history().unwrap().runs.len();
    let mut caller = fleet.caller("counter").unwrap();
    caller.hold(fleet.vm_address(0));
    let search =
        tokio::spawn(async move { caller.search(RequestKind::Fetch, Some(vec![1])).await });
    let runs = async || fleet.history().unwrap().runs.len() > before;
    fleet.wait_for("the search to run", runs).await.unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = search.await.unwrap();
    let CallEnd::Answer(answer) = end else {
        panic!("{end:?}");
    };
    assert_eq!(answer.coverage.included, [1], "{answer:?}");
    fleet.wait_gone(0).await.unwrap();
    assert_whole(&fleet).await;
}
