//! What policy learns from the result of a call.

use cassialift_core::policy::outcome::{CallOutcome, NotRunCause, UnknownCause};
use cassialift_wire::peer::{CallFailure, CallRefusal, CallResult};

/// Returns the result of a call as policy sees it.
pub(super) const fn outcome(result: &CallResult) -> CallOutcome {
    match result {
        CallResult::Done { version, .. } => CallOutcome::Done(*version),
        CallResult::NotRun(refusal) => CallOutcome::NotRun(cause(refusal)),
        CallResult::Unknown(failure) => CallOutcome::Unknown(match failure {
            CallFailure::Broken => UnknownCause::Broken,
            CallFailure::Timeout => UnknownCause::Timeout,
            CallFailure::BadReply => UnknownCause::BadReply,
        }),
    }
}

const fn cause(refusal: &CallRefusal) -> NotRunCause {
    match refusal {
        CallRefusal::NotOwner { .. } => NotRunCause::NotOwner,
        CallRefusal::QueueFull => NotRunCause::QueueFull,
        CallRefusal::Infeasible => NotRunCause::Infeasible,
        CallRefusal::Expired => NotRunCause::Expired,
        CallRefusal::Busy => NotRunCause::Busy,
        CallRefusal::Leaving => NotRunCause::Leaving,
        CallRefusal::VersionGone { held } => NotRunCause::VersionGone(*held),
        CallRefusal::UnknownShard => NotRunCause::UnknownShard,
        CallRefusal::Connect => NotRunCause::Connect,
        CallRefusal::Cancelled => NotRunCause::Cancelled,
    }
}
