//! Tests of the registry of backend servers and of connection shares.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use yare::parameterized;

use super::{REMOVAL_GRACE, ServerDocument, ServerRegistry, VmCounts, connection_share};
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
            born: 0,
        })
    };
    servers
        .iter()
        .map(|&(id, state)| (ServerId::from(id), document(state)))
        .collect()
}

fn usable_servers(registry: &ServerRegistry, now: Instant) -> Vec<String> {
    let ids = registry.usable_servers("shard-1", now);
    ids.iter().map(ToString::to_string).collect()
}

#[test]
fn test_registry_leaving_server_gets_no_work() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Leaving)];
    registry.sync(&published(&both), now);
    assert_eq!(usable_servers(&registry, now), ["a"]);
    registry.sync(&published(&[("b", ServerState::Leaving)]), now);
    assert_eq!(
        usable_servers(&registry, now),
        ["a"],
        "b is published as leaving, the document of a is missing"
    );
}

#[test]
fn test_registry_missing_server_is_used_only_if_there_is_no_other() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Serving)];
    registry.sync(&published(&both), now);
    registry.sync(&published(&[("b", ServerState::Serving)]), now);
    assert_eq!(usable_servers(&registry, now), ["b"]);
}

/// All documents of a service disappear during an outage of the platform and come back within
/// the grace period.
#[test]
fn test_registry_missing_service_survives_an_outage() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    let both = [("a", ServerState::Serving), ("b", ServerState::Serving)];
    registry.sync(&published(&both), now);
    registry.sync(&Published::new(), now);
    let soon = now + Duration::from_millis(1_900);
    assert_eq!(usable_servers(&registry, soon), ["a", "b"]);
    registry.sync(&published(&[("a", ServerState::Serving)]), soon);
    assert_eq!(usable_servers(&registry, soon), ["a"]);
}

#[test]
fn test_registry_missing_server_is_removed_after_the_grace_period() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.sync(&published(&[("a", ServerState::Serving)]), now);
    registry.sync(&Published::new(), now);
    assert_eq!(
        usable_servers(&registry, now + REMOVAL_GRACE),
        Vec::<String>::new()
    );
}

#[parameterized(
    two_near_five_far = { 26, 2, 5 },
    three_near_five_far = { 26, 3, 5 },
    all_near = { 26, 7, 0 },
    all_far = { 26, 0, 8 },
    grown = { 60, 8, 12 },
)]
fn test_connection_share_sum_is_bounded(limit: u32, near: u32, far: u32) {
    let vms = VmCounts { near, far };
    let open =
        near * connection_share(limit, true, vms) + far * connection_share(limit, false, vms);
    assert!(open <= limit, "{open} of {limit}");
}

#[test]
fn test_connection_share_is_never_zero() {
    let vms = VmCounts { near: 21, far: 55 };
    assert_eq!(connection_share(1, true, vms), 1);
    assert_eq!(connection_share(1, false, vms), 1);
}

#[test]
fn test_registry_evacuated_servers_get_no_work() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.sync(&published(&[("a", ServerState::Serving)]), now);
    registry.set_evacuated(&Arc::new(["lagos-1".into()].into()));
    assert!(registry.is_evacuated("a"));
    assert_eq!(usable_servers(&registry, now), Vec::<String>::new());
    registry.sync(&Published::new(), now);
    assert_eq!(
        usable_servers(&registry, now),
        Vec::<String>::new(),
        "a server whose document disappeared is evacuated, too"
    );
    registry.set_evacuated(&Arc::new(["kingston-1".into()].into()));
    assert_eq!(usable_servers(&registry, now), ["a"]);
}
