//! Errors and refusals of tickets.

use displaydoc::Display;

use crate::request::{ExecutionStatus, RefusalReason};

/// The reason why a text is not a valid ticket.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TicketError {
    /// the text is not a ticket
    Malformed,
    /// the ticket was not issued by this run of the process
    Forged,
    /// a name in the ticket is longer than 255 bytes
    TooLong,
}

impl std::error::Error for TicketError {}

/// The reason why an authentic ticket is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TicketRefusal {
    /// the ticket was issued to another caller
    Foreign,
    /// the ticket was used with another body
    Reused,
    /// the ticket expired before anything was submitted under it
    ExpiredUnused,
    /// the ticket expired, and what came of it is no longer known
    Forgotten,
    /// as many outcomes are remembered as the limits allow
    Full,
    /// as many outcomes of this caller are remembered as the limits allow
    CallerFull,
}

impl TicketRefusal {
    /// Returns the reason that is reported to the caller.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        match self {
            Self::Foreign => RefusalReason::ForeignTicket,
            Self::Reused => RefusalReason::TicketReused,
            Self::ExpiredUnused | Self::Forgotten => RefusalReason::ExpiredTicket,
            Self::Full => RefusalReason::Overloaded,
            Self::CallerFull => RefusalReason::CallerShare,
        }
    }

    /// Returns whether the refused request was run.
    ///
    /// A request with a foreign ticket or with another body was not run itself, whatever the
    /// outcome of the request that the ticket was first used for.
    #[must_use]
    pub const fn execution_status(self) -> ExecutionStatus {
        match self {
            Self::Forgotten => ExecutionStatus::Unknown,
            Self::Foreign | Self::Reused | Self::ExpiredUnused | Self::Full | Self::CallerFull => {
                ExecutionStatus::NotRun
            }
        }
    }
}
