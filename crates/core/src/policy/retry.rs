//! When a shard call that failed is tried again.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{
    budget::TokenBudget,
    outcome::{CallOutcome, NotRunCause, UnknownCause},
};
use crate::{presets::RetryPolicy, request::RequestKind};

/// The most retry tokens that an entry saves up.
const RETRY_BURST: f64 = 20.0;

/// Why a shard call is tried again; each reason has a counter.
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
    /// the backend server is leaving
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
    pub const ALL: [Self; 12] = [
        Self::NotOwner,
        Self::QueueFull,
        Self::Infeasible,
        Self::Busy,
        Self::Leaving,
        Self::VersionGone,
        Self::UnknownShard,
        Self::Connect,
        Self::Cancelled,
        Self::Broken,
        Self::Timeout,
        Self::BadReply,
    ];

    /// Returns the name of the reason's counter.
    #[must_use]
    pub const fn counter(self) -> &'static str {
        match self {
            Self::NotOwner => "retry.not_owner",
            Self::QueueFull => "retry.queue_full",
            Self::Infeasible => "retry.infeasible",
            Self::Busy => "retry.busy",
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

    /// Returns whether the call before never reached a backend server, so that trying again puts
    /// no extra load on the service.
    #[must_use]
    pub const fn is_unsent(self) -> bool {
        match self {
            Self::NotOwner
            | Self::QueueFull
            | Self::Infeasible
            | Self::Connect
            | Self::Cancelled => true,
            Self::Busy
            | Self::Leaving
            | Self::VersionGone
            | Self::UnknownShard
            | Self::Broken
            | Self::Timeout
            | Self::BadReply => false,
        }
    }

    /// Returns why an attempt with this outcome may be tried again; none when it must not be.
    ///
    /// Only what was proved not run, or may be repeated, is tried again.
    #[must_use]
    pub const fn from_outcome(outcome: CallOutcome, kind: RequestKind) -> Option<Self> {
        match outcome {
            CallOutcome::Done(_) | CallOutcome::NotRun(NotRunCause::Expired) => None,
            CallOutcome::NotRun(cause) => Some(Self::from_not_run(cause)),
            CallOutcome::Unknown(_) if !kind.is_repeatable() => None,
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
            NotRunCause::Leaving => Self::Leaving,
            NotRunCause::VersionGone(_) => Self::VersionGone,
            NotRunCause::UnknownShard => Self::UnknownShard,
            NotRunCause::Connect => Self::Connect,
            NotRunCause::Cancelled => Self::Cancelled,
        }
    }
}

/// The retries that one entry may still send.
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
    /// Notes first attempts, which earn retries.
    pub fn on_first_calls(&mut self, calls: u32, policy: &RetryPolicy) {
        self.budget.earn(calls, policy.budget);
    }

    /// Takes a retry out of the budget; returns false when it is used up.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Gives back a retry that found no backend server.
    pub fn refund(&mut self) {
        self.budget.refund();
    }
}
