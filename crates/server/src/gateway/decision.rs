//! The decisions about a request, as the log records them.

use std::time::Duration;

use cassialift_core::{
    ids::{ServerId, ServiceId, ShardId, VmId},
    policy::{
        gather::AttemptCause, outcome::CallOutcome, poison::Fingerprint, replica::WaitEstimate,
    },
    request::{MissingReason, MissingShard},
};
use serde::{Serialize, Serializer};

/// The most decisions that are recorded for one request: those of a few dozen shards.
const MAX_DECISIONS: usize = 96;

/// A decision about a request, with the values that it was based on.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum Decision {
    /// The request was admitted.
    Admitted(AdmissionEstimate),
    /// The request was rejected because of the load.
    Rejected(AdmissionEstimate),
    /// Requests of higher priorities need the room at the backend servers.
    Outranked {
        /// The priority of the route.
        priority: u32,
        /// The share of the requests of this priority that is admitted, 0 to 1.
        share: f64,
    },
    /// The process ends before the request is expected to.
    Leaving(AdmissionEstimate),
    /// Too few backend servers take calls.
    Unavailable {
        /// The time until enough of them do, in milliseconds; `None` if they never will.
        ready_ms: Option<u64>,
        /// Whether other requests have used up the limits that the servers state.
        used_up: bool,
    },
    /// Backend servers ended under the request before, so that it is refused.
    Poison {
        fingerprint: Fingerprint,
        /// How long such requests are still refused, in milliseconds.
        ends_ms: u64,
    },
    /// Backend servers ended under the search before, so that one shard is called first.
    Trial {
        fingerprint: Fingerprint,
        shard: ShardId,
    },
    /// Shards were delegated to another VM.
    #[serde(rename = "asked")]
    Delegated {
        vm: VmId,
        shards: usize,
        /// The size of the body that the VM was sent for them, in bytes.
        body_bytes: usize,
        /// The time after the request's start by which the VM is to reply, in milliseconds.
        within_ms: u64,
    },
    /// A VM gave an interim reply and continues with the shards that it did not include.
    #[serde(rename = "goes_on")]
    Continued { vm: VmId, shards: usize },
    /// A VM that shards were delegated to gave no usable reply.
    #[serde(rename = "ask_failed")]
    DelegationFailed {
        vm: VmId,
        shards: usize,
        cause: String,
    },
    /// The VM of a delegation replied although its first reply had been overdue.
    #[serde(rename = "late_reply")]
    LateReply { vm: VmId, shards: usize },
    /// The request was passed on to another VM, since this one reaches no backend server.
    Relayed {
        vm: VmId,
        /// The time in which the VM is to answer, in milliseconds.
        within_ms: u64,
    },
    /// The VM that the request was passed on to gave no answer.
    RelayFailed { vm: VmId, cause: String },
    /// A call was sent to a backend server.
    Sent {
        shard: ShardId,
        server: ServerId,
        /// Why the call was sent.
        #[serde(serialize_with = "write_cause")]
        cause: AttemptCause,
        /// The time that calls to the server were expected to wait, in milliseconds.
        wait_ms: u64,
        /// The time after which the call counts as overdue, in milliseconds.
        patience_ms: u64,
    },
    /// A call gave no usable reply.
    Failed {
        shard: ShardId,
        server: ServerId,
        #[serde(rename = "cause", serialize_with = "write_outcome")]
        outcome: CallOutcome,
    },
    /// A shard is missing from the answer.
    LeftOut {
        shard: ShardId,
        /// The service that holds the shard; `None` where one backend server answers the request.
        service: Option<ServiceId>,
        reason: MissingReason,
    },
}

/// The estimates for a request at the time of the admission decision.
#[derive(Clone, Copy, Debug, Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the fields are named like the keys of the log line"
)]
pub(super) struct AdmissionEstimate {
    /// The expected wait for backend servers, in milliseconds.
    wait_ms: u64,
    /// The expected service time of backend servers, in milliseconds.
    service_ms: u64,
    /// The time left until the deadline, or until the process ends, in milliseconds.
    left_ms: u64,
}

impl AdmissionEstimate {
    pub(super) fn new(estimate: WaitEstimate, left: Duration) -> Self {
        Self {
            wait_ms: millis(estimate.queue_wait),
            service_ms: millis(estimate.service),
            left_ms: millis(left),
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn write_cause<S: Serializer>(cause: &AttemptCause, serializer: S) -> Result<S::Ok, S::Error> {
    match cause {
        AttemptCause::First => serializer.serialize_str("first"),
        AttemptCause::Hedge => serializer.serialize_str("hedge"),
        AttemptCause::Probe => serializer.serialize_str("probe"),
        AttemptCause::Retry(reason) => serializer.collect_str(&format_args!("retry, as {reason}")),
    }
}

fn write_outcome<S: Serializer>(outcome: &CallOutcome, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{outcome:?}"))
}

/// Returns a duration in whole milliseconds, the unit of log lines.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A decision and the time at which it was taken.
#[derive(Debug, Serialize)]
pub(super) struct RecordedDecision {
    #[serde(flatten)]
    pub(super) decision: Decision,
    /// The time after the request's start, in milliseconds.
    pub(super) after_ms: u64,
}

impl RecordedDecision {
    /// Returns whether the decision helps to explain why these shards are missing; the other
    /// decisions are taken for every request.
    pub(super) fn explains(&self, missing: &[MissingShard]) -> bool {
        match &self.decision {
            Decision::Sent { shard, cause, .. } => {
                *cause != AttemptCause::First || missing.iter().any(|other| other.shard == *shard)
            }
            Decision::Admitted(_) | Decision::Delegated { .. } => !missing.is_empty(),
            Decision::Continued { .. }
            | Decision::Rejected(_)
            | Decision::Outranked { .. }
            | Decision::Leaving(_)
            | Decision::Unavailable { .. }
            | Decision::Poison { .. }
            | Decision::Trial { .. }
            | Decision::DelegationFailed { .. }
            | Decision::LateReply { .. }
            | Decision::Relayed { .. }
            | Decision::RelayFailed { .. }
            | Decision::Failed { .. }
            | Decision::LeftOut { .. } => true,
        }
    }
}

/// The decisions about one request, at most [`MAX_DECISIONS`].
#[derive(Debug, Default)]
pub(super) struct Decisions(Vec<RecordedDecision>);

impl Decisions {
    /// Records a decision that was taken `after` the request's start.
    pub(super) fn record(&mut self, after: Duration, decision: Decision) {
        if self.0.len() < MAX_DECISIONS {
            let after_ms = millis(after);
            self.0.push(RecordedDecision { decision, after_ms });
        }
    }

    /// Records the shards that are missing from an answer; `service` returns the service that holds
    /// a shard.
    pub(super) fn record_left_out(
        &mut self,
        after: Duration,
        missing: &[MissingShard],
        service: impl Fn(ShardId) -> Option<ServiceId>,
    ) {
        for MissingShard { shard, reason } in missing {
            let left_out = Decision::LeftOut {
                shard: *shard,
                service: service(*shard),
                reason: *reason,
            };
            self.record(after, left_out);
        }
    }

    pub(super) fn append(&mut self, mut later: Self) {
        self.0.append(&mut later.0);
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, RecordedDecision> {
        self.0.iter()
    }
}
