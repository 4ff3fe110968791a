//! Tests of the roster of backend servers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use yare::parameterized;

use super::{LAPSE_HOLD, Roster, ServerDocument, VmCounts, connection_share};
use crate::{ids::ServerId, index::ServerState, time::Millis};

type Published = BTreeMap<ServerId, Arc<ServerDocument>>;

fn published(servers: &[(&str, ServerState)]) -> Published {
    let document = |state| {
        Arc::new(ServerDocument {
            service: "shard-1".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            centre: "lagos-1".into(),
            slots: 2,
            state,
            warmup: Millis::default(),
        })
    };
    servers
        .iter()
        .map(|&(id, state)| (ServerId::from(id), document(state)))
        .collect()
}

fn usable(roster: &Roster, now: Instant) -> Vec<String> {
    let ids = roster.usable("shard-1", now);
    ids.iter().map(ToString::to_string).collect()
}

#[test]
fn test_roster_leaving_server_gets_no_work() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Leaving)];
    roster.sync(&published(&both), now);
    assert_eq!(usable(&roster, now), ["a"]);
    roster.sync(&published(&[("b", ServerState::Leaving)]), now);
    assert_eq!(
        usable(&roster, now),
        ["a"],
        "b said that it leaves, a vanished"
    );
}

#[test]
fn test_roster_vanished_server_is_used_only_for_want_of_others() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Serving)];
    roster.sync(&published(&both), now);
    roster.sync(&published(&[("b", ServerState::Serving)]), now);
    assert_eq!(usable(&roster, now), ["b"]);
}

/// All documents of a service lapse during an outage and come back within the hold.
#[test]
fn test_roster_lapsed_service_survives_an_outage() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Serving)];
    roster.sync(&published(&both), now);
    roster.sync(&Published::new(), now);
    let soon = now + Duration::from_millis(1_900);
    assert_eq!(usable(&roster, soon), ["a", "b"]);
    roster.sync(&published(&[("a", ServerState::Serving)]), soon);
    assert_eq!(usable(&roster, soon), ["a"]);
}

#[test]
fn test_roster_lapsed_server_is_gone_after_the_hold() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.sync(&published(&[("a", ServerState::Serving)]), now);
    roster.sync(&Published::new(), now);
    assert_eq!(usable(&roster, now + LAPSE_HOLD), Vec::<String>::new());
}

#[parameterized(
    two_near_five_far = { 26, 2, 5 },
    three_near_five_far = { 26, 3, 5 },
    all_near = { 26, 7, 0 },
    all_far = { 26, 0, 8 },
    grown = { 60, 8, 12 },
)]
fn test_connection_share_sum_is_bounded(most: u32, near: u32, far: u32) {
    let vms = VmCounts { near, far };
    let held = near * connection_share(most, true, vms) + far * connection_share(most, false, vms);
    assert!(held <= most, "{held} of {most}");
}

#[test]
fn test_connection_share_is_never_zero() {
    let vms = VmCounts { near: 21, far: 55 };
    assert_eq!(connection_share(1, true, vms), 1);
    assert_eq!(connection_share(1, false, vms), 1);
}
