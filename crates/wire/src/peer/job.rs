//! Jobs that are forwarded to the process run that issued their ticket.

use cassialift_core::{
    ids::CallerId,
    request::{ExecutionStatus, RefusalReason},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::caller::JobAnswer;

/// Forwards a job, or a query for its outcome, to the process run that holds its ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobForward {
    /// The caller's own id for the request.
    pub id: String,
    /// The caller that submits the job or asks for its outcome.
    pub caller: CallerId,
    /// The ticket of the job.
    pub ticket: String,
    /// The time left until the answer is due; `None` for the deadline of the preset.
    pub remaining: Option<Millis>,
    /// The job; `None` to query the outcome without running anything.
    pub body: Option<String>,
}

/// The ticket holder's reply to a [`JobForward`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobReply {
    /// The state of the job, as far as it is known.
    Answer(JobAnswer),
    /// The request was refused.
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// Whether the job may have run.
        ran: ExecutionStatus,
        /// How long the caller should wait before a retry; `None` if a retry is of no use.
        retry: Option<Millis>,
    },
}
