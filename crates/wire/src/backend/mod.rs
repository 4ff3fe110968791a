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

/// The path that runs a request.
pub const RUN_PATH: &str = "/v1/run";
/// The path that cancels a request.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// The path that tells a server's health.
pub const HEALTH_PATH: &str = "/v1/health";

/// Asks a backend server to run one shard's part of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunRequest {
    /// The request that this is a part of.
    pub request: RequestKey,
    /// The attempt, unique within the request.
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// The index version that the rows must be drawn from.
    pub version: IndexVersion,
    /// The kind of request.
    pub kind: RequestKind,
    /// How it ranks against others.
    pub urgency: Urgency,
    /// The time left for the reply.
    pub remaining: Millis,
    /// The query or the job, opaque to cassialift.
    pub body: String,
}

/// A backend server's reply to a [`RunRequest`]; the ids are echoed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunReply {
    /// The request, echoed.
    pub request: RequestKey,
    /// The attempt, echoed.
    pub attempt: AttemptId,
    /// The shard, echoed.
    pub shard: ShardId,
    /// The server that replies.
    pub server: ServerId,
    /// What came of the request.
    pub outcome: RunOutcome,
    /// The server's load when it replied; may mislead.
    pub load: ServerLoad,
}

/// What came of a [`RunRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RunOutcome {
    /// It ran.
    Done {
        /// The index version that the rows were drawn from.
        version: IndexVersion,
        /// The rows found, or the outcome of the job.
        rows: Vec<Row>,
    },
    /// It was not run.
    Refused(RunRefusal),
    /// It began to run and was stopped, by its deadline or by a cancellation.
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
    /// All slots are taken.
    Busy,
    /// The server is leaving.
    Leaving,
    /// The time left was too short to begin.
    Expired,
    /// The request was cancelled before it ran.
    Cancelled,
    /// The server does not hold the index version asked for.
    VersionGone {
        /// The version that it holds.
        held: IndexVersion,
    },
    /// The server does not hold the shard.
    UnknownShard,
}

/// A backend server's load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerLoad {
    /// Slots in use.
    pub running: u32,
    /// Slots in all.
    pub slots: u32,
}

/// Asks a backend server to stop an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// A backend server's reply to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelReply {
    /// Whether the attempt was found and stopped.
    pub stopped: bool,
}

/// A backend server's view of itself; lags or misleads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReply {
    /// The state it claims.
    pub state: HealthState,
    /// The load it claims.
    pub load: ServerLoad,
}

/// The state that a backend server claims.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Takes work at full speed.
    Ready,
    /// Takes work, but its caches are cold.
    Warming,
    /// Takes no new work.
    Leaving,
    /// Asks for no work.
    #[serde(rename = "ill")]
    Unhealthy,
}
