//! Outcomes of shard calls, as far as policy distinguishes them.

use crate::ids::IndexVersion;

/// The outcome of one shard call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call returned rows of this index version.
    Done(IndexVersion),
    /// The call provably did not run.
    NotRun(NotRunCause),
    /// The call may have run.
    Unknown(UnknownCause),
}

/// The reason why a shard call did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunCause {
    /// The called VM does not own the backend server.
    NotOwner,
    /// The queue of the owner was full, or the caller had used up its share of the queue.
    QueueFull,
    /// The deadline would have passed in the queue.
    Infeasible,
    /// The deadline passed before the call reached the backend server.
    Expired,
    /// The backend server had no free slot.
    Busy,
    /// The backend server asked this process to pause before it sends more.
    Paused,
    /// The backend server is leaving.
    Leaving,
    /// The data centre of the backend server is evacuated.
    Evacuated,
    /// The backend server holds only this other index version.
    VersionGone(IndexVersion),
    /// The backend server does not hold the shard.
    UnknownShard,
    /// No connection could be opened.
    Connect,
    /// The call was cancelled before it was sent.
    Cancelled,
}

/// The reason why it is unknown whether a shard call ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownCause {
    /// The connection broke after the call was sent.
    Broken,
    /// No reply arrived in time.
    Timeout,
    /// The reply could not be read, or belonged to another call.
    BadReply,
    /// This VM had no memory for the reply, since callers have not read other answers.
    NoMemory,
}

impl CallOutcome {
    /// Returns whether the call was refused for lack of capacity.
    #[must_use]
    pub const fn is_shed(self) -> bool {
        matches!(
            self,
            Self::NotRun(NotRunCause::QueueFull | NotRunCause::Infeasible | NotRunCause::Busy)
        )
    }

    /// Returns whether the backend server, or its owner on its behalf, refused the call.
    #[must_use]
    pub const fn is_refusal(self) -> bool {
        let lacks_data = matches!(
            self,
            Self::NotRun(NotRunCause::VersionGone(_) | NotRunCause::UnknownShard)
        );
        lacks_data || self.is_shed()
    }

    /// Returns whether the outcome counts as a fault of the backend server.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        match self {
            Self::NotRun(cause) => matches!(cause, NotRunCause::Connect),
            Self::Unknown(cause) => !matches!(cause, UnknownCause::NoMemory),
            Self::Done(_) => false,
        }
    }
}
