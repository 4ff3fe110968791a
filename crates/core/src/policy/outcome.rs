//! What came of one shard call, as policy sees it.

use crate::ids::IndexVersion;

/// What came of one shard call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// Rows came, drawn from this index version.
    Done(IndexVersion),
    /// It was proved not run.
    NotRun(NotRunCause),
    /// It may have run.
    Unknown(UnknownCause),
}

/// Why a shard call was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunCause {
    /// The VM that was called does not own the backend server.
    NotOwner,
    /// The owner's queue was full or the caller had its share of it.
    QueueFull,
    /// The deadline would have passed in the queue.
    Infeasible,
    /// The deadline passed before the call reached the backend server.
    Expired,
    /// The backend server had no free slot.
    Busy,
    /// The backend server is leaving.
    Leaving,
    /// The backend server holds this other index version.
    VersionGone(IndexVersion),
    /// The backend server does not hold the shard.
    UnknownShard,
    /// No connection could be opened.
    Connect,
    /// The call was cancelled before it was sent.
    Cancelled,
}

/// Why it is not known whether a shard call ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownCause {
    /// The connection broke after the call was sent.
    Broken,
    /// No reply came in time.
    Timeout,
    /// The reply could not be read, or belonged to another call.
    BadReply,
}

impl CallOutcome {
    /// Returns whether the call was refused for want of capacity.
    #[must_use]
    pub const fn is_shed(self) -> bool {
        matches!(
            self,
            Self::NotRun(NotRunCause::QueueFull | NotRunCause::Infeasible | NotRunCause::Busy)
        )
    }

    /// Returns whether the backend server, or its owner for it, refused the call itself.
    #[must_use]
    pub const fn is_refusal(self) -> bool {
        let other = matches!(
            self,
            Self::NotRun(NotRunCause::VersionGone(_) | NotRunCause::UnknownShard)
        );
        other || self.is_shed()
    }

    /// Returns whether the outcome speaks against the backend server itself.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::NotRun(NotRunCause::Connect) | Self::Unknown(_))
    }
}
