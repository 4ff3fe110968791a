//! The published protocol of backend servers: JSON over HTTP/1.1.
//!
//! - `POST /v1/run` with a [`RunRequest`] gives a [`RunReply`].
//! - `POST /v1/cancel` with a [`CancelRequest`] gives a [`CancelReply`].
//! - `GET /v1/health` gives a [`HealthReply`].

use cassialift_core::{
    ids::{AttemptId, IndexVersion, RequestKey, ServerId, ServiceId, ShardId},
    request::{RequestKind, Urgency},
    time::Millis,
};
use serde::{Deserialize, Serialize};

/// The path of requests to run.
pub const RUN_PATH: &str = "/v1/run";
/// The path of cancellations.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// The path of health checks.
pub const HEALTH_PATH: &str = "/v1/health";

/// Asks a backend server to run one shard's part of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRequest {
    /// The id of the whole request.
    pub request: RequestKey,
    /// The id of the attempt, unique within the request.
    pub attempt: AttemptId,
    /// The service that the shard belongs to.
    pub service: ServiceId,
    /// The shard to run the request on.
    pub shard: ShardId,
    /// The index version that the rows must come from.
    pub version: IndexVersion,
    /// The kind of request.
    pub kind: RequestKind,
    /// The priority class of the request.
    pub urgency: Urgency,
    /// The time left until the reply is due.
    pub remaining: Millis,
    /// The query or the job, opaque to cassialift.
    pub body: String,
}

/// A backend server's reply to a [`RunRequest`], with the request's ids.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunReply {
    /// The `request` of the [`RunRequest`].
    pub request: RequestKey,
    /// The `attempt` of the [`RunRequest`].
    pub attempt: AttemptId,
    /// The `shard` of the [`RunRequest`].
    pub shard: ShardId,
    /// The server that replies.
    pub server: ServerId,
    /// How the request ended.
    pub outcome: RunOutcome,
    /// The load that the server reports with its reply, which may be wrong.
    pub load: ServerLoad,
}

/// How a [`RunRequest`] ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RunOutcome {
    /// The server ran the request.
    Done {
        /// The index version that the rows come from.
        version: IndexVersion,
        /// The rows found, or the result of the job.
        rows: Vec<Row>,
    },
    /// The server did not run the request.
    Refused(RunRefusal),
    /// The server started the request, and its deadline or a cancellation stopped it.
    Stopped,
}

/// One row of an answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The row's key, unique within its shard.
    pub key: String,
    /// The row's content.
    pub value: String,
}

/// Why a backend server did not run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RunRefusal {
    /// All slots of the server are in use.
    Busy,
    /// The server is leaving and takes no new work.
    Leaving,
    /// The time left was too short to start the request.
    Expired,
    /// The request was cancelled before it ran.
    Cancelled,
    /// The server does not have the requested index version.
    VersionGone {
        /// The index version that the server has.
        held: IndexVersion,
    },
    /// The server does not have the shard.
    UnknownShard,
}

/// A backend server's load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerLoad {
    /// The number of slots in use.
    pub running: u32,
    /// The total number of slots.
    pub slots: u32,
}

/// Asks a backend server to stop an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    /// The id of the whole request.
    pub request: RequestKey,
    /// The attempt to stop.
    pub attempt: AttemptId,
}

/// A backend server's reply to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelReply {
    /// Whether the server found the attempt and stopped it.
    pub stopped: bool,
}

/// A backend server's report of its own health, which may be out of date or wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReply {
    /// The state that the server reports.
    pub state: HealthState,
    /// The load that the server reports.
    pub load: ServerLoad,
}

/// A backend server's state, as it reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The server takes work at full speed.
    Ready,
    /// The server takes work, but its caches are cold.
    Warming,
    /// The server is about to stop and takes no new work.
    Leaving,
    /// The server is unhealthy and asks not to be sent work.
    #[serde(rename = "ill")]
    Unhealthy,
}
