//! Refusals: why a request got no answer, and whether it was run.

use serde::{Deserialize, Serialize};

/// Whether a request without an answer was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Proved not run: nothing was sent, or each server it went to said it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was refused; each reason has a counter of the same name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    Malformed,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The service is not known.
    UnknownService,
    /// A shard is not in the shard map.
    UnknownShard,
    /// The deadline has passed already.
    DeadlinePast,
    /// The deadline cannot be met at the present load.
    Infeasible,
    /// The preset in force does not admit this kind of request.
    NotAdmitted,
    /// Too many requests are in flight.
    Overloaded,
    /// The caller has more than its share of requests in flight.
    CallerShare,
    /// The process has no accepted configuration yet.
    NoConfig,
    /// The process is leaving and takes no new requests.
    Leaving,
    /// Fewer shards replied than the preset demands.
    Coverage,
    /// The ticket is not known.
    UnknownTicket,
    /// The ticket has expired.
    ExpiredTicket,
    /// The ticket was issued to another caller.
    ForeignTicket,
    /// The ticket was used with another body.
    TicketReused,
    /// The process run that holds the ticket is gone.
    HolderGone,
    /// No backend server could be reached.
    Unreachable,
    /// The backend server gave no reply, so that the outcome is unknown.
    NoReply,
    /// An internal fault; the log has the cause.
    Internal,
}
