//! The callers' protocol: JSON over HTTP/1.1.
//!
//! - `GET /v1/addresses`, with an optional [`AddressQuery`], gives an [`AddressAnswer`].
//! - `POST /v1/search` with a [`SearchRequest`] gives a [`SearchAnswer`].
//! - `POST /v1/tickets` with a [`TicketRequest`] gives a [`TicketAnswer`].
//! - `POST /v1/jobs` with a [`JobRequest`] gives a [`JobAnswer`].
//! - `POST /v1/outcome` with an [`OutcomeRequest`] gives a [`JobAnswer`].
//!
//! A request that gets none of these answers gets a [`Refusal`] with an HTTP status of 400 or
//! above.

use std::net::SocketAddr;

use cassialift_core::{
    ids::{CallerId, DataCentre, IndexVersion, PresetId, Revision, ServiceId, ShardId},
    request::{Coverage, ExecutionStatus, RefusalReason, RequestKind},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::backend::Row;

/// The path of the addresses that callers should use.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// The path of searches and fetches.
pub const SEARCH_PATH: &str = "/v1/search";
/// The path of ticket requests.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// The path of job submissions.
pub const JOBS_PATH: &str = "/v1/jobs";
/// The path of queries for a job's outcome.
pub const OUTCOME_PATH: &str = "/v1/outcome";

/// The query of `GET /v1/addresses`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressQuery {
    /// The data centre that the caller is in or nearest to; defaults to the answering VM's.
    #[serde(default)]
    pub near: Option<DataCentre>,
}

/// The addresses that a caller may use, best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressAnswer {
    /// The addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the answer.
    pub ttl: Millis,
}

/// A search or a fetch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// The caller that sends the request.
    pub caller: CallerId,
    /// The service to query.
    pub service: ServiceId,
    /// The kind of request; jobs are refused because they need a [`JobRequest`].
    pub kind: RequestKind,
    /// The shards to query; defaults to all shards of the service.
    #[serde(default)]
    pub shards: Option<Vec<ShardId>>,
    /// The time after which the answer is of no use; defaults to the preset's deadline.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// The query, opaque to cassialift.
    pub query: String,
}

/// The answer to a search or a fetch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SearchAnswer {
    /// The `id` of the [`SearchRequest`].
    pub id: String,
    /// The rows of all included shards, in ascending order of shards.
    pub rows: Vec<ShardRows>,
    /// The shards that the answer includes, and those that it lacks.
    pub coverage: Coverage,
    /// The index version that all rows come from.
    pub version: IndexVersion,
    /// The preset that applied to the request.
    pub preset: PresetId,
    /// The configuration revision that applied to the request.
    pub revision: Revision,
}

/// The rows of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRows {
    /// The shard that the rows come from.
    pub shard: ShardId,
    /// The rows found in the shard.
    pub rows: Vec<Row>,
}

/// Asks for a ticket, under which one job may be submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketRequest {
    /// The caller that will submit the job.
    pub caller: CallerId,
    /// The service that will run the job.
    pub service: ServiceId,
}

/// A ticket: permission to run one job at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketAnswer {
    /// The ticket, opaque to the caller.
    pub ticket: String,
    /// How long the ticket is valid.
    pub ttl: Millis,
}

/// Submits a job under a ticket. Repeating the submission never runs the job again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// The caller that submits the job.
    pub caller: CallerId,
    /// The ticket that permits the job.
    pub ticket: String,
    /// The time after which the answer is of no use; defaults to the preset's deadline.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// The job, opaque to cassialift.
    pub body: String,
}

/// Asks for the outcome of a ticket's job, without running anything.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// The caller that asks; must be the one that submitted the job.
    pub caller: CallerId,
    /// The ticket of the job.
    pub ticket: String,
}

/// The state of a ticket's job, as far as it is known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobAnswer {
    /// The `id` of the [`JobRequest`] or [`OutcomeRequest`].
    pub id: String,
    /// The job's state.
    pub state: JobState,
    /// The preset under which the job was admitted; `None` before a job was submitted.
    pub preset: Option<PresetId>,
    /// The configuration revision under which the job was admitted; `None` before a job was
    /// submitted.
    pub revision: Option<Revision>,
}

/// The state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobState {
    /// The ticket is valid, and no job was submitted under it.
    Unused,
    /// The job is running.
    Running,
    /// The job ran and returned these rows.
    Done(Vec<Row>),
    /// The job is known not to have run, and will not run under this ticket.
    NotRun(RefusalReason),
    /// The job may or may not have run.
    Unknown(RefusalReason),
}

/// The refusal of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The caller's own id for the request; `None` if it could not be read.
    pub id: Option<String>,
    /// The reason, for programs.
    pub reason: RefusalReason,
    /// The reason in one sentence, for people.
    pub detail: String,
    /// Whether the request may have run.
    pub ran: ExecutionStatus,
    /// How long to wait before a retry; `None` if a retry is of no use.
    pub retry: Option<Millis>,
    /// Better addresses to try; may be empty.
    pub addresses: Vec<SocketAddr>,
    /// The shards that replied and those that did not; `None` if no shard was queried.
    pub coverage: Option<Coverage>,
}
