//! Conversion of call results into the outcomes that the policy works with.

use cassialift_core::policy::outcome::{CallOutcome, NotRunCause, UnknownCause};

use super::{CallFailure, CallRefusal, CallResult};

impl CallResult {
    /// Returns the outcome of the call for the policy.
    #[must_use]
    pub const fn outcome(&self) -> CallOutcome {
        match self {
            Self::Done { version, .. } => CallOutcome::Done(*version),
            Self::NotRun(refusal) => CallOutcome::NotRun(refusal.cause()),
            Self::Unknown(failure) => CallOutcome::Unknown(failure.cause()),
        }
    }
}

impl CallRefusal {
    const fn cause(&self) -> NotRunCause {
        match self {
            Self::NotOwner { .. } => NotRunCause::NotOwner,
            Self::QueueFull => NotRunCause::QueueFull,
            Self::Infeasible => NotRunCause::Infeasible,
            Self::Expired => NotRunCause::Expired,
            Self::Busy => NotRunCause::Busy,
            Self::Leaving => NotRunCause::Leaving,
            Self::VersionGone { held } => NotRunCause::VersionGone(*held),
            Self::UnknownShard => NotRunCause::UnknownShard,
            Self::Connect => NotRunCause::Connect,
            Self::Cancelled => NotRunCause::Cancelled,
        }
    }
}

impl CallFailure {
    const fn cause(self) -> UnknownCause {
        match self {
            Self::Broken => UnknownCause::Broken,
            Self::Timeout => UnknownCause::Timeout,
            Self::BadReply => UnknownCause::BadReply,
        }
    }
}
