//! A search's shards that a VM asks for another one.

use cassialift_core::{
    ids::{RouteId, ServiceId, ShardId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// A request to ask some shards of a search and to merge their parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartialGather {
    /// The caller's id of the attempt.
    pub attempt: Vec<u8>,
    /// The method of the caller's request.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its headers, those of one connection apart.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The route, under which latencies are learned.
    pub route: RouteId,
    /// The shards, each a service of its own.
    pub shards: Vec<(ShardId, ServiceId)>,
    /// How many records the answer holds at most.
    pub top: usize,
    /// The most backend servers that one shard call is sent to.
    #[serde(rename = "servers")]
    pub max_servers: u32,
    /// The time until the caller stops waiting.
    pub remaining: Millis,
    /// The time after which to reply with what is in.
    #[serde(rename = "within")]
    pub reply_after: Millis,
    /// The share of the shards, 0 to 1, without which to go on after that reply.
    #[serde(rename = "coverage")]
    pub min_coverage: f64,
}

/// The reply to a [`PartialGather`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartialReply {
    /// The caller's id of the attempt, echoed.
    pub attempt: Vec<u8>,
    /// The shards that are in, each with its backend server's signature.
    pub included: Vec<(ShardId, Vec<u8>)>,
    /// The greatest records of their parts, greatest first.
    pub records: Vec<u8>,
    /// Whether it goes on with the shards that are not in, so that the rest can be asked for.
    #[serde(rename = "open")]
    pub pending: bool,
}

impl PartialReply {
    /// Makes a reply that holds nothing.
    #[must_use]
    pub const fn empty(attempt: Vec<u8>) -> Self {
        Self {
            attempt,
            included: Vec::new(),
            records: Vec::new(),
            pending: false,
        }
    }
}
