//! Shard calls from an entry to the owner of a backend server.

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
    /// The request.
    pub request: RequestKey,
    /// The attempt, unique within the request.
    pub attempt: AttemptId,
    /// Who asks, for fairness among callers.
    pub caller: CallerId,
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// The backend server.
    pub server: ServerId,
    /// The pinned index version.
    pub version: IndexVersion,
    /// The kind of request.
    pub kind: RequestKind,
    /// How it ranks against others.
    pub urgency: Urgency,
    /// The time left when the call was sent.
    pub remaining: Millis,
    /// The query or the job.
    pub body: String,
}

/// An owner's reply to a [`ShardCall`]; the ids are echoed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardReply {
    /// The request, echoed.
    pub request: RequestKey,
    /// The attempt, echoed.
    pub attempt: AttemptId,
    /// The shard, echoed.
    pub shard: ShardId,
    /// The backend server, echoed.
    pub server: ServerId,
    /// What came of the call.
    pub result: CallResult,
    /// The calls that wait for this backend server at its owner.
    #[serde(rename = "queued")]
    pub queue_len: u32,
    /// How long one more call would wait there; zero before the owner has learned that.
    #[serde(rename = "wait")]
    pub queue_wait: Millis,
    /// The backend server's load as it last told the owner.
    pub load: ServerLoad,
}

/// What came of a [`ShardCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallResult {
    /// The backend server ran it.
    Done {
        /// The index version that the rows were drawn from.
        version: IndexVersion,
        /// The rows found, or the outcome of the job.
        rows: Vec<Row>,
    },
    /// It was proved not run.
    NotRun(CallRefusal),
    /// It may have run.
    Unknown(CallFailure),
}

/// Why a shard call was not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallRefusal {
    /// The VM does not own the backend server.
    NotOwner {
        /// Who owns it, as far as the VM knows.
        owner: Option<VmId>,
    },
    /// The owner's queue is full or the caller has its share of it.
    QueueFull,
    /// The deadline would pass in the queue.
    Infeasible,
    /// The deadline passed before the call was sent to the backend server.
    Expired,
    /// The backend server had no slot.
    Busy,
    /// The backend server is leaving.
    Leaving,
    /// The backend server holds another index version.
    VersionGone {
        /// The version that it holds.
        held: IndexVersion,
    },
    /// The backend server does not hold the shard.
    UnknownShard,
    /// No connection to the backend server could be opened.
    Connect,
    /// The call was cancelled before it was sent.
    Cancelled,
}

/// Why a shard call may have run although no rows came.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallFailure {
    /// The connection broke after the call was sent.
    Broken,
    /// No reply came in time.
    Timeout,
    /// The reply could not be read or belongs to another call.
    BadReply,
}
