//! Jobs on their way to the process run that holds the ticket.

use cassialift_core::{
    ids::CallerId,
    request::{ExecutionStatus, RefusalReason},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::caller::JobAnswer;

/// Forwards a job, or a question for its outcome, to the holder of its ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobForward {
    /// The caller's own id.
    pub id: String,
    /// Who submits or asks.
    pub caller: CallerId,
    /// The ticket.
    pub ticket: String,
    /// The time left; none for the preset's.
    pub remaining: Option<Millis>,
    /// The job; none to ask for the outcome only.
    pub body: Option<String>,
}

/// The ticket holder's reply to a [`JobForward`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobReply {
    /// What is known of the job.
    Answer(JobAnswer),
    /// The request was refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the job was run.
        ran: ExecutionStatus,
        /// When to come back.
        retry: Option<Millis>,
    },
}
