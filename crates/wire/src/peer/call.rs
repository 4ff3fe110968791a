//! Shard calls from the VM that serves a request to the owner of a backend server.

use cassialift_core::{
    ids::{AttemptId, CallerId, IndexVersion, RequestKey, ServerId, ServiceId, ShardId, VmId},
    request::{RequestKind, Urgency},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::backend::{Row, ServerLoad};

/// Asks an owner to run one shard's part of a request on one of its backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardCall {
    /// The id of the whole request.
    pub request: RequestKey,
    /// The id of the attempt, unique within the request.
    pub attempt: AttemptId,
    /// The caller of the request; the owner shares its queue fairly among callers.
    pub caller: CallerId,
    /// The service that the shard belongs to.
    pub service: ServiceId,
    /// The shard to run the request on.
    pub shard: ShardId,
    /// The backend server to run the request.
    pub server: ServerId,
    /// The index version that the whole request is pinned to.
    pub version: IndexVersion,
    /// The kind of request.
    pub kind: RequestKind,
    /// The priority class of the request.
    pub urgency: Urgency,
    /// The time left until the reply is due, as of when the call was sent.
    pub remaining: Millis,
    /// The query or the job.
    pub body: String,
}

/// An owner's reply to a [`ShardCall`], with the call's ids.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardReply {
    /// The `request` of the [`ShardCall`].
    pub request: RequestKey,
    /// The `attempt` of the [`ShardCall`].
    pub attempt: AttemptId,
    /// The `shard` of the [`ShardCall`].
    pub shard: ShardId,
    /// The `server` of the [`ShardCall`].
    pub server: ServerId,
    /// How the call ended.
    pub result: CallResult,
    /// The number of calls in the owner's queue for this backend server.
    #[serde(rename = "queued")]
    pub queue_len: u32,
    /// The owner's estimate of how long one more call would wait in that queue; zero until the
    /// owner has measured how long calls take.
    #[serde(rename = "wait")]
    pub queue_wait: Millis,
    /// The load that the backend server last reported to the owner.
    pub load: ServerLoad,
}

/// How a [`ShardCall`] ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallResult {
    /// The backend server ran the call.
    Done {
        /// The index version that the rows come from.
        version: IndexVersion,
        /// The rows found, or the result of the job.
        rows: Vec<Row>,
    },
    /// The call is known not to have run.
    NotRun(CallRefusal),
    /// The call may or may not have run.
    Unknown(CallFailure),
}

/// Why a shard call was not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallRefusal {
    /// The VM does not own the backend server.
    NotOwner {
        /// The owner of the backend server, as far as the VM knows.
        owner: Option<VmId>,
    },
    /// The owner's queue is full, or the caller's share of it is used up.
    QueueFull,
    /// The deadline would pass while the call waits in the queue.
    Infeasible,
    /// The deadline passed before the call was sent to the backend server.
    Expired,
    /// The backend server had no free slot.
    Busy,
    /// The backend server is leaving and takes no new work.
    Leaving,
    /// The backend server has another index version.
    VersionGone {
        /// The index version that the backend server has.
        held: IndexVersion,
    },
    /// The backend server does not have the shard.
    UnknownShard,
    /// No connection to the backend server could be opened.
    Connect,
    /// The call was cancelled before it was sent.
    Cancelled,
}

/// Why it is unknown whether a shard call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallFailure {
    /// The connection broke after the call was sent.
    Broken,
    /// No reply arrived in time.
    Timeout,
    /// The reply could not be parsed, or belongs to another call.
    BadReply,
}
