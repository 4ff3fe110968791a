//! Retries of failed shard calls.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{
    budget::TokenBudget,
    outcome::{CallOutcome, NotRunCause, UnknownCause},
};
use crate::{presets::RetryPolicy, request::RequestKind};

/// The maximum number of retry tokens that an entry holds.
const RETRY_BURST: f64 = 20.0;

/// The reason why a shard call is retried. Each reason has a counter.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// the VM that was called does not own the backend server
    NotOwner,
    /// the owner's queue was full
    QueueFull,
    /// the deadline would have passed in that owner's queue
    Infeasible,
    /// the backend server had no free slot
    Busy,
    /// the backend server asked for a pause
    Paused,
    /// the backend server is leaving, or its data centre is evacuated
    Leaving,
    /// the backend server holds another index version
    VersionGone,
    /// the backend server does not hold the shard
    UnknownShard,
    /// no connection could be opened
    Connect,
    /// the call was cancelled on its way by another than its sender
    Cancelled,
    /// the connection broke
    Broken,
    /// the reply is overdue
    Timeout,
    /// the reply could not be used
    BadReply,
}

impl RetryReason {
    /// All reasons.
    pub const ALL: [Self; 13] = [
        Self::NotOwner,
        Self::QueueFull,
        Self::Infeasible,
        Self::Busy,
        Self::Paused,
        Self::Leaving,
        Self::VersionGone,
        Self::UnknownShard,
        Self::Connect,
        Self::Cancelled,
        Self::Broken,
        Self::Timeout,
        Self::BadReply,
    ];

    /// Returns the name of the counter of this reason.
    #[must_use]
    pub const fn counter(self) -> &'static str {
        match self {
            Self::NotOwner => "retry.not_owner",
            Self::QueueFull => "retry.queue_full",
            Self::Infeasible => "retry.infeasible",
            Self::Busy => "retry.busy",
            Self::Paused => "retry.paused",
            Self::Leaving => "retry.leaving",
            Self::VersionGone => "retry.version_gone",
            Self::UnknownShard => "retry.unknown_shard",
            Self::Connect => "retry.connect",
            Self::Cancelled => "retry.cancelled",
            Self::Broken => "retry.broken",
            Self::Timeout => "retry.timeout",
            Self::BadReply => "retry.bad_reply",
        }
    }

    /// Returns whether the previous call never reached a backend server, so that the retry puts no
    /// extra load on the service.
    #[must_use]
    pub const fn is_unsent(self) -> bool {
        match self {
            Self::NotOwner
            | Self::QueueFull
            | Self::Infeasible
            | Self::Connect
            | Self::Cancelled => true,
            Self::Busy
            | Self::Paused
            | Self::Leaving
            | Self::VersionGone
            | Self::UnknownShard
            | Self::Broken
            | Self::Timeout
            | Self::BadReply => false,
        }
    }

    /// Returns the reason to retry a call with this outcome; `None` if the call must not be
    /// retried.
    ///
    /// A call is retried only if it provably did not run or its kind is idempotent. A call whose
    /// deadline has expired is not retried, nor one whose reply this VM has no memory for.
    #[must_use]
    pub const fn from_outcome(outcome: CallOutcome, kind: RequestKind) -> Option<Self> {
        match outcome {
            CallOutcome::Done(_)
            | CallOutcome::NotRun(NotRunCause::Expired)
            | CallOutcome::Unknown(UnknownCause::NoMemory) => None,
            CallOutcome::NotRun(cause) => Some(Self::from_not_run(cause)),
            CallOutcome::Unknown(_) if !kind.is_idempotent() => None,
            CallOutcome::Unknown(UnknownCause::Broken) => Some(Self::Broken),
            CallOutcome::Unknown(UnknownCause::Timeout) => Some(Self::Timeout),
            CallOutcome::Unknown(UnknownCause::BadReply) => Some(Self::BadReply),
        }
    }

    const fn from_not_run(cause: NotRunCause) -> Self {
        match cause {
            NotRunCause::NotOwner => Self::NotOwner,
            NotRunCause::QueueFull => Self::QueueFull,
            NotRunCause::Infeasible | NotRunCause::Expired => Self::Infeasible,
            NotRunCause::Busy => Self::Busy,
            NotRunCause::Paused => Self::Paused,
            NotRunCause::Leaving | NotRunCause::Evacuated => Self::Leaving,
            NotRunCause::VersionGone(_) => Self::VersionGone,
            NotRunCause::UnknownShard => Self::UnknownShard,
            NotRunCause::Connect => Self::Connect,
            NotRunCause::Cancelled => Self::Cancelled,
        }
    }
}

/// The budget of retries of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Retrier {
    budget: TokenBudget,
}

impl Default for Retrier {
    fn default() -> Self {
        Self {
            budget: TokenBudget::full(RETRY_BURST),
        }
    }
}

impl Retrier {
    /// Records first calls, which earn retries.
    pub fn on_first_calls(&mut self, calls: u32, policy: &RetryPolicy) {
        self.budget.earn(calls, policy.budget);
    }

    /// Takes one retry out of the budget. Returns `false` if the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Gives back a retry for which no backend server was found.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}
