//! Part of a search that one VM delegates to another.

use bytes::Bytes;
use cassialift_core::{
    ids::{RouteId, ServerId, ServiceId, ShardId},
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// Asks a VM to query some shards of a search without a body, and to merge their records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartialGather {
    /// The caller's id for the attempt.
    pub attempt: Vec<u8>,
    /// The HTTP method of the caller's request.
    pub method: String,
    /// The path and query of the caller's request.
    pub target: String,
    /// The headers of the caller's request without hop-by-hop headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The route of the request; latencies are recorded per route.
    pub route: RouteId,
    /// The shards to query, each of which is a service of its own.
    pub shards: Vec<(ShardId, ServiceId)>,
    /// The maximum number of records in the reply.
    pub top: usize,
    /// The maximum number of backend servers that one shard call is sent to.
    #[serde(rename = "servers")]
    pub max_servers: u32,
    /// The time until the caller stops waiting.
    pub remaining: Millis,
    /// The time after which to reply with the shards that have answered by then.
    #[serde(rename = "within")]
    pub reply_after: Millis,
    /// Whether the VM may delegate shards to other VMs of its data centre.
    pub spread: bool,
    /// The share of the shards, from 0 to 1, below which that reply is interim and the search
    /// continues.
    #[serde(rename = "coverage")]
    pub min_coverage: f64,
}

/// Asks a VM to query some shards of a search that may have a body, and to merge their records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatherWithBody {
    /// The search, apart from its body.
    pub gather: PartialGather,
    /// The body of the caller's request.
    pub body: Bytes,
}

/// The reply to a [`PartialGather`] or a [`GatherWithBody`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartialReply {
    /// The caller's id for the attempt.
    pub attempt: Vec<u8>,
    /// The shards that have answered, each with the signature of its backend server.
    pub included: Vec<(ShardId, Vec<u8>)>,
    /// The greatest records of these shards, in descending order.
    pub records: Vec<u8>,
    /// The backend servers of the request that have announced that they leave, as far as the VM
    /// knows.
    pub leaving: Vec<ServerId>,
    /// Whether the reply is interim: the VM continues with the missing shards, whose records can be
    /// requested later with [`Peer::rest`](super::Peer::rest).
    #[serde(rename = "open")]
    pub pending: bool,
    /// The number of the search that continues, unique in the run of the VM; zero if none does.
    pub search: u64,
    /// Whether the VM has called no backend server, since it reaches none or may lack the search's body.
    pub detached: bool,
}

/// Asks for the shards of a search that its interim replies did not include.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RestRequest {
    /// The caller's id for the attempt.
    pub attempt: Vec<u8>,
    /// The number of the search, from the interim reply.
    pub search: u64,
}

impl PartialReply {
    /// Returns a reply without any shards.
    #[must_use]
    pub const fn empty(attempt: Vec<u8>) -> Self {
        Self {
            attempt,
            included: Vec::new(),
            records: Vec::new(),
            leaving: Vec::new(),
            pending: false,
            search: 0,
            detached: false,
        }
    }
}
