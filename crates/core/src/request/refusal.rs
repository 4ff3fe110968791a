//! Refusals: the reasons why requests get no answer, and whether they may have run.

use serde::{Deserialize, Serialize};

/// Whether a request without an answer may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request did not run: it was not sent, or each server that received it has stated that it
    /// did not run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The reason why a request was refused; each reason has a counter of the same name.
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
    /// The deadline cannot be met under the current load.
    Infeasible,
    /// The active preset does not admit this kind of request.
    NotAdmitted,
    /// Too many requests are in flight.
    Overloaded,
    /// The caller has more than its share of requests in flight.
    CallerShare,
    /// The process has no accepted configuration yet.
    NoConfig,
    /// The process is leaving and takes no new requests.
    Leaving,
    /// Fewer shards replied than the preset requires.
    Coverage,
    /// The ticket is not known.
    UnknownTicket,
    /// The ticket has expired.
    ExpiredTicket,
    /// The ticket was issued to another caller.
    ForeignTicket,
    /// The ticket was used with another body.
    TicketReused,
    /// The process run that holds the ticket has ended.
    HolderGone,
    /// No backend server could be reached.
    Unreachable,
    /// The backend server did not reply, so the outcome is unknown.
    NoReply,
    /// An internal error; the log contains the cause.
    Internal,
    /// Backend servers end when they run the request.
    Poison,
}

impl RefusalReason {
    /// Returns the name that messages and counters use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::UnknownService => "unknown_service",
            Self::UnknownShard => "unknown_shard",
            Self::DeadlinePast => "deadline_past",
            Self::Infeasible => "infeasible",
            Self::NotAdmitted => "not_admitted",
            Self::Overloaded => "overloaded",
            Self::CallerShare => "caller_share",
            Self::NoConfig => "no_config",
            Self::Leaving => "leaving",
            Self::Coverage => "coverage",
            Self::UnknownTicket => "unknown_ticket",
            Self::ExpiredTicket => "expired_ticket",
            Self::ForeignTicket => "foreign_ticket",
            Self::TicketReused => "ticket_reused",
            Self::HolderGone => "holder_gone",
            Self::Unreachable => "unreachable",
            Self::NoReply => "no_reply",
            Self::Internal => "internal",
            Self::Poison => "poison",
        }
    }
}
