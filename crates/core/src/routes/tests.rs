//! Tests of the validation, the lookup and the splitting of routes.

use std::collections::BTreeMap;

use yare::parameterized;

use super::{Route, RouteDocument, RouteTable, RouteTarget, ShardSet, SplitShare, Splitter};
use crate::{request::RequestKind, time::Millis};

fn route(name: &str, prefix: &str, target: RouteTarget) -> Route {
    Route {
        name: name.into(),
        host: "Shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Fetch,
        target,
        timeout: Millis::new(500),
        objective: Millis::new(50),
        servers: 2,
        priority: 1,
    }
}

fn service() -> RouteTarget {
    RouteTarget::Service("ledger".into())
}

fn document(routes: Vec<Route>) -> RouteDocument {
    RouteDocument {
        version: 3,
        routes,
        ..RouteDocument::default()
    }
}

#[parameterized(
    longest = { "shop.example", "/a/b/c", Some("long") },
    shorter = { "shop.example", "/a/c", Some("short") },
    port_and_case = { "SHOP.example:8080", "/a/", Some("short") },
    no_slash = { "shop.example", "/a", None },
    other_host = { "other.example", "/a/b/", None },
    other_path = { "shop.example", "/b/a/", None },
)]
fn test_route_lookup(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![
        route("short", "/a/", service()),
        route("long", "/a/b/", service()),
    ];
    let table = RouteTable::new(&document(routes));
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

fn shards(services: &[&str], coverage: f64) -> RouteTarget {
    RouteTarget::Shards(ShardSet {
        services: services.iter().map(|&name| name.into()).collect(),
        top: 5,
        coverage,
    })
}

#[parameterized(
    prefix = { "/a", service(), "routes[0].prefix: prefix /a does not begin and end with a slash" },
    twice = { "/a/", shards(&["s", "s"], 0.5), "routes[0].target: shard s stands twice" },
    share = { "/a/", shards(&["s"], 1.5), "routes[0].target: 1.5 is not between 0 and 1" },
    empty = { "/a/", shards(&[], 0.5), "routes[0].target: route r leads to nothing" },
    weight = { "/a/", RouteTarget::Split(vec![SplitShare { service: "s".into(), weight: 0.0 }]),
        "routes[0].target: 0 is no weight; weights are above 0" },
)]
fn test_route_document_fault(prefix: &str, target: RouteTarget, message: &str) {
    let result = document(vec![route("r", prefix, target)]).validate();
    assert_eq!(result.unwrap_err().to_string(), message);
}

#[test]
fn test_route_document_duplicate() {
    let routes = vec![route("a", "/a/", service()), route("b", "/a/", service())];
    assert!(document(routes).validate().is_err());
}

/// Any ten consecutive requests are split 7 to 3, in proportion to the weights.
#[test]
fn test_split_shares_over_short_runs() {
    let shares = [("a", 7.0), ("b", 3.0)].map(|(service, weight)| SplitShare {
        service: service.into(),
        weight,
    });
    let mut splitter = Splitter::default();
    let picked: Vec<_> = (0..100)
        .map(|_| splitter.pick(&"r".into(), &shares).unwrap())
        .collect();
    for run in picked.windows(10) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for service in run {
            *counts.entry(service).or_default() += 1;
        }
        assert_eq!(counts, BTreeMap::from([("a", 7), ("b", 3)]));
    }
}
