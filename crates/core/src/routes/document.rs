//! The route document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{RouteId, ServiceId},
    policy::warmup::WarmupPolicy,
    request::RequestKind,
    time::Millis,
};

/// All routes, with the policies of services and the limits on traffic.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteDocument {
    /// The version that operators give to the document, for information only; documents are not
    /// ordered by it.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The policies of services, by service.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// The limits on what callers may send.
    pub limits: TrafficLimits,
}

/// A route for requests to one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: RouteId,
    /// The host of the request, without a port.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// The kind of the requests, which also determines whether they may be repeated.
    pub kind: RequestKind,
    /// The target that answers the requests.
    pub target: RouteTarget,
    /// The maximum time until a request is answered.
    pub timeout: Millis,
    /// The latency objective of the route.
    pub objective: Millis,
    /// The maximum number of backend servers that one request, or each of its shard calls, is sent
    /// to.
    pub servers: u32,
    /// The priority among routes; zero is the highest.
    pub priority: u32,
}

/// The target that answers the requests of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteTarget {
    /// One backend server of a service.
    Service(ServiceId),
    /// One backend server of one of several services, chosen in proportion to their weights.
    Split(Vec<SplitShare>),
    /// One backend server of each shard.
    Shards(ShardSet),
}

/// The share of one service in a split route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SplitShare {
    /// The service.
    pub service: ServiceId,
    /// The weight of the service, relative to the weights of the other services.
    pub weight: f64,
}

/// The shards that answer a search, each of which is a service, and how their records are merged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardSet {
    /// The services of the shards.
    pub services: Vec<ServiceId>,
    /// The maximum number of records in the answer.
    pub top: usize,
    /// The minimum share of the shards, 0 to 1, that an answer must cover.
    pub coverage: f64,
}

/// The policy of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// The number of connections that each backend server of the service accepts from all VMs
    /// together.
    pub connections: u32,
    /// What cold backend servers bear; `None` if they take as many calls as others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupPolicy>,
}

/// Limits on the size and the duration of what callers send.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficLimits {
    /// The maximum size of the head of a request, in bytes.
    pub head: usize,
    /// The maximum size of the body of a request, in bytes.
    pub body: usize,
    /// The maximum time for receiving the head of a request.
    pub receive: Millis,
    /// The maximum time for which a connection may stay idle.
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
