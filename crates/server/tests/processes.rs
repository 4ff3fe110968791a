//! A fleet of processes does what callers rely on.

use cassialift_core::request::RequestKind;
use cassialift_testkit::{
    harness::{Caller, Fleet, FleetSettings},
    history::CallEnd,
};

/// Asserts that the history so far breaks no rule.
fn assert_whole(fleet: &Fleet) {
    let violations = fleet.history().unwrap().check();
    let text: String = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{text}");
}

/// Searches until one answer covers every shard.
async fn wait_covered(fleet: &Fleet, caller: &mut Caller) {
    let covered = async || {
        let end = caller.search(RequestKind::WideSearch, None).await;
        matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
    };
    fleet.wait_for("full coverage", covered).await.unwrap();
}

#[tokio::test]
async fn test_fleet_answers_with_every_shard() {
    let fleet = Fleet::start(FleetSettings::default()).await.unwrap();
    for address in fleet.vm_addresses() {
        let mut caller = fleet.caller("counter").unwrap();
        caller.hold(address);
        wait_covered(&fleet, &mut caller).await;
        let end = caller
            .search(RequestKind::NarrowSearch, Some(vec![1, 3]))
            .await;
        assert!(matches!(end, CallEnd::Answer(_)), "{end:?}");
    }
    assert_whole(&fleet);
}
