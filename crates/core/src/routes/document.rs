//! The route document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{RouteId, ServiceId},
    request::RequestKind,
    time::Millis,
};

/// All routes and the services that they lead to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteDocument {
    /// The operators' own number of the document; for people, not for ordering.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// What is known of services besides their backend servers.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Bounds on what callers may send.
    pub limits: TrafficLimits,
}

/// Where requests to one host and path prefix go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: RouteId,
    /// The host that callers name, without a port.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What requests on the route ask for, and whether they may be repeated.
    pub kind: RequestKind,
    /// What answers them.
    pub target: RouteTarget,
    /// The longest that a request is kept waiting.
    pub timeout: Millis,
    /// The latency objective.
    pub objective: Millis,
    /// The most backend servers that one request, or one shard call of it, is sent to.
    pub servers: u32,
    /// The rank among routes; zero is the highest.
    pub priority: u32,
}

/// What answers the requests of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteTarget {
    /// One backend server of a service.
    Service(ServiceId),
    /// One backend server of one of several services, in given proportions.
    Split(Vec<SplitShare>),
    /// One backend server of every shard.
    Shards(ShardSet),
}

/// One service's part of a split route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SplitShare {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the weights of the other services.
    pub weight: f64,
}

/// The shards that answer a search, each a service of its own, and how their parts are merged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardSet {
    /// The shards.
    pub services: Vec<ServiceId>,
    /// How many records the answer holds at most.
    pub top: usize,
    /// The least share of the shards, 0 to 1, that an answer must cover.
    pub coverage: f64,
}

/// What is known of a service besides its backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// How many connections each of its backend servers accepts from all VMs together.
    pub connections: u32,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficLimits {
    /// The largest head of a request, bytes.
    pub head: usize,
    /// The largest body of a request, bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub receive: Millis,
    /// How long a connection may stay idle.
    pub idle: Millis,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 256 * 1024,
            receive: Millis::new(3_000),
            idle: Millis::new(15_000),
        }
    }
}
