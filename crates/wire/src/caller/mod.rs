//! The callers' protocol: JSON over HTTP/1.1.
//!
//! - `GET /v1/addresses`, with an optional [`AddressQuery`], gives an [`AddressAnswer`].
//! - `POST /v1/search` with a [`SearchRequest`] gives a [`SearchAnswer`].
//! - `POST /v1/tickets` with a [`TicketRequest`] gives a [`TicketAnswer`].
//! - `POST /v1/jobs` with a [`JobRequest`] gives a [`JobAnswer`].
//! - `POST /v1/outcome` with an [`OutcomeRequest`] gives a [`JobAnswer`].
//!
//! Every other end of a call is a [`Refusal`] with a status of 400 or above.

use std::net::SocketAddr;

use cassialift_core::{
    ids::{CallerId, DataCentre, IndexVersion, PresetId, Revision, ServiceId, ShardId},
    request::{Coverage, ExecutionStatus, RefusalReason, RequestKind},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::backend::Row;

/// The path that tells which addresses to use.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// The path of searches and fetches.
pub const SEARCH_PATH: &str = "/v1/search";
/// The path that issues tickets.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// The path that submits jobs.
pub const JOBS_PATH: &str = "/v1/jobs";
/// The path that asks for a job's outcome.
pub const OUTCOME_PATH: &str = "/v1/outcome";

/// The query of `GET /v1/addresses`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressQuery {
    /// The data centre that the caller is in or nearest to; the answering VM's when missing.
    #[serde(default)]
    pub near: Option<DataCentre>,
}

/// The addresses that a caller may use, best first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressAnswer {
    /// The addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Millis,
}

/// A search or a fetch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// Who asks.
    pub caller: CallerId,
    /// The service asked.
    pub service: ServiceId,
    /// The kind; a job is refused here.
    pub kind: RequestKind,
    /// The shards asked for; all of them when missing.
    #[serde(default)]
    pub shards: Option<Vec<ShardId>>,
    /// The time until the answer is of no use; the preset's when missing.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// The query, opaque to cassialift.
    pub query: String,
}

/// The answer to a search or a fetch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SearchAnswer {
    /// The caller's own id, echoed.
    pub id: String,
    /// The rows of all included shards, shards in ascending order.
    pub rows: Vec<ShardRows>,
    /// Which shards the answer includes and which not.
    pub coverage: Coverage,
    /// The index version that all rows were drawn from.
    pub version: IndexVersion,
    /// The preset that the request ran under.
    pub preset: PresetId,
    /// The configuration's revision that the request ran under.
    pub revision: Revision,
}

/// The rows of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRows {
    /// The shard.
    pub shard: ShardId,
    /// Its rows.
    pub rows: Vec<Row>,
}

/// Asks for a ticket to submit one job with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketRequest {
    /// Who will submit the job.
    pub caller: CallerId,
    /// The service that will run it.
    pub service: ServiceId,
}

/// A ticket: permission to run one job at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TicketAnswer {
    /// The ticket, opaque to the caller.
    pub ticket: String,
    /// How long it is good for.
    pub ttl: Millis,
}

/// Submits a job under a ticket; repeating it never runs the job again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// Who submits.
    pub caller: CallerId,
    /// The ticket.
    pub ticket: String,
    /// The time until the answer is of no use; the preset's when missing.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// The job, opaque to cassialift.
    pub body: String,
}

/// Asks what came of the job of a ticket; runs nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeRequest {
    /// The caller's own id for this request, echoed in the answer.
    pub id: String,
    /// Who asks; must be who submitted.
    pub caller: CallerId,
    /// The ticket.
    pub ticket: String,
}

/// What is known of the job of a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobAnswer {
    /// The caller's own id, echoed.
    pub id: String,
    /// The job's state.
    pub state: JobState,
    /// The preset that the job was admitted under; none before it was submitted.
    pub preset: Option<PresetId>,
    /// The configuration's revision that the job was admitted under.
    pub revision: Option<Revision>,
}

/// The state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobState {
    /// The ticket is good and nothing was submitted under it.
    Unused,
    /// It is being run.
    Running,
    /// It ran; these are the rows it gave.
    Done(Vec<Row>),
    /// It was proved not to have run and will not run under this ticket.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown(RefusalReason),
}

/// The refusal of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The caller's own id, echoed; none when it could not be read.
    pub id: Option<String>,
    /// Why.
    pub reason: RefusalReason,
    /// One sentence for a person.
    pub detail: String,
    /// Whether the request was run.
    pub ran: ExecutionStatus,
    /// When to come back; none when trying again is of no use.
    pub retry: Option<Millis>,
    /// Better addresses to try; may be empty.
    pub addresses: Vec<SocketAddr>,
    /// What the shards that were asked gave; none when no shard was asked.
    pub coverage: Option<Coverage>,
}
