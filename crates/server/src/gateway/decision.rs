//! The decisions of a request, for the log.

use std::time::Duration;

use cassialift_core::{
    ids::{ServerId, ServiceId, ShardId, VmId},
    policy::{admission::AdmissionRequest, gather::AttemptCause, outcome::CallOutcome},
    request::{MissingReason, MissingShard},
};
use serde::{Serialize, Serializer};

/// The most decisions of one request that are kept: those of a few dozen shards.
const MOST: usize = 96;

/// A decision that touches a request, with what decided it.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum Decision {
    /// It was taken on.
    Admitted(Outlook),
    /// It was not taken on, for the load.
    Rejected(Outlook),
    /// Another VM was asked for shards.
    Asked {
        vm: VmId,
        shards: usize,
        /// How long after the request's start its reply is awaited, ms.
        within_ms: u64,
    },
    /// A VM that was asked replied with what was in and goes on with other shards.
    GoesOn { vm: VmId, shards: usize },
    /// A VM that was asked gave no reply that can be used.
    AskFailed {
        vm: VmId,
        shards: usize,
        cause: String,
    },
    /// A call was sent.
    Sent {
        shard: ShardId,
        server: ServerId,
        /// Why it was sent.
        #[serde(serialize_with = "write_cause")]
        cause: AttemptCause,
        /// How long calls to the server were expected to wait, ms.
        wait_ms: u64,
        /// After how long it counts as overdue, ms.
        patience_ms: u64,
    },
    /// A call gave no reply that can be used.
    Failed {
        shard: ShardId,
        server: ServerId,
        #[serde(rename = "cause", serialize_with = "write_outcome")]
        outcome: CallOutcome,
    },
    /// A shard was left out.
    LeftOut {
        shard: ShardId,
        /// The service that holds it; none where one backend server answers the request.
        service: Option<ServiceId>,
        reason: MissingReason,
    },
}

/// What a VM expected of a request when it decided whether to take it on.
#[derive(Clone, Copy, Debug, Serialize)]
#[expect(clippy::struct_field_names, reason = "the names are those of the line")]
pub(super) struct Outlook {
    /// How long it would wait for backend servers, ms.
    wait_ms: u64,
    /// How long they would take, ms.
    service_ms: u64,
    /// What was left of its time, ms.
    left_ms: u64,
}

impl Outlook {
    pub(super) fn new(asked: &AdmissionRequest) -> Self {
        Self {
            wait_ms: millis(asked.estimate.queue_wait),
            service_ms: millis(asked.estimate.service),
            left_ms: millis(asked.remaining),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the library hands out references"
)]
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

/// Returns whole milliseconds, as log lines tell them.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A decision and when it was taken.
#[derive(Debug, Serialize)]
pub(super) struct Noted {
    #[serde(flatten)]
    pub(super) decision: Decision,
    /// How long after the request's start, ms.
    pub(super) after_ms: u64,
}

impl Noted {
    /// Returns whether the decision tells why these shards are missing; every request has others.
    pub(super) fn explains(&self, missing: &[MissingShard]) -> bool {
        match &self.decision {
            Decision::Sent { shard, cause, .. } => {
                *cause != AttemptCause::First || missing.iter().any(|one| one.shard == *shard)
            }
            Decision::Admitted(_) | Decision::Asked { .. } => !missing.is_empty(),
            Decision::GoesOn { .. }
            | Decision::Rejected(_)
            | Decision::AskFailed { .. }
            | Decision::Failed { .. }
            | Decision::LeftOut { .. } => true,
        }
    }
}

/// The decisions of one request, up to a bound.
#[derive(Debug, Default)]
pub(super) struct Decisions(Vec<Noted>);

impl Decisions {
    /// Notes a decision that was taken so long after the request's start.
    pub(super) fn note(&mut self, after: Duration, decision: Decision) {
        if self.0.len() < MOST {
            let after_ms = millis(after);
            self.0.push(Noted { decision, after_ms });
        }
    }

    /// Notes the shards that an answer lacks; `service` names the one that holds a shard.
    pub(super) fn note_left_out(
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
            self.note(after, left_out);
        }
    }

    pub(super) fn append(&mut self, mut later: Self) {
        self.0.append(&mut later.0);
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, Noted> {
        self.0.iter()
    }
}
