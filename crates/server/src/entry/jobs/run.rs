//! One run of a job: attempts on backend servers until one has run the job or may have run it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, CallerId, RequestKey, ServerId, ServiceId},
    index::{IndexDocument, ShardEntry},
    request::{RefusalReason, RequestKind},
    ticket::JobOutcome,
    view::FleetView,
};
use cassialift_wire::{
    backend::Row,
    peer::{CallFailure, CallRefusal, CallResult, ShardCall},
};

use super::store::Rows;
use crate::{
    journal::Part,
    process::{CallError, Node},
    timer::Timer,
};

/// The pause after the first round in which no replica ran the job; it doubles each round.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// The longest pause between two rounds.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// One run of a job, with the view whose shard map it uses to its end.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) node: Arc<Node>,
    pub(super) view: Arc<FleetView>,
    pub(super) caller: CallerId,
    pub(super) service: ServiceId,
    pub(super) body: String,
    pub(super) deadline: Instant,
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Done(Vec<Row>),
    NotRun(RefusalReason),
    Unknown(RefusalReason),
}

impl Run {
    /// Runs the job and returns its outcome with the number of bytes needed to keep it.
    pub(super) async fn execute(self, sequence: u64) -> (JobOutcome<Rows>, usize) {
        let outcome = self.attempt_all(sequence).await;
        self.node.metrics.count(match &outcome {
            JobOutcome::Done(_) => "job.done",
            JobOutcome::NotRun(_) => "job.not_run",
            JobOutcome::Unknown(_) => "job.unknown",
        });
        let bytes = match &outcome {
            JobOutcome::Done(rows) => rows_size(rows),
            JobOutcome::NotRun(_) | JobOutcome::Unknown(_) => 0,
        };
        (outcome, bytes)
    }

    /// Tries the backend servers in turn. The next one is tried only after an attempt that provably
    /// did not run the job.
    async fn attempt_all(&self, sequence: u64) -> JobOutcome<Rows> {
        let index = self.index();
        let Some((index, shard)) = index
            .as_deref()
            .and_then(|index| pick_shard(index, sequence))
        else {
            return JobOutcome::NotRun(RefusalReason::UnknownService);
        };
        let key = self.node.next_key();
        let mut attempt = 0;
        let mut pause = FIRST_PAUSE;
        let mut last = RefusalReason::Unreachable;
        loop {
            for server in &shard.replicas {
                if Timer.now() >= self.deadline {
                    return JobOutcome::NotRun(last);
                }
                let call = self.call(index, shard, server, key, attempt);
                attempt += 1;
                match self.attempt(call).await {
                    AttemptOutcome::Done(rows) => return JobOutcome::Done(Arc::new(rows)),
                    AttemptOutcome::Unknown(reason) => return JobOutcome::Unknown(reason),
                    AttemptOutcome::NotRun(reason) => last = reason,
                }
                self.record_retry(server, last);
            }
            let next = Timer.now() + pause;
            if next >= self.deadline {
                return JobOutcome::NotRun(last);
            }
            Timer.at(next).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn record_retry(&self, server: &ServerId, reason: RefusalReason) {
        self.node.metrics.count("job.retry");
        let (service, reason) = (&self.service, reason.name());
        let text = format!("Retried a job of {service} that was not run on {server}: {reason}.");
        self.node.journal.record(Part::Job, &text);
    }

    fn index(&self) -> Option<Arc<IndexDocument>> {
        let config = self.view.config.as_ref()?;
        config.indexes.get(&self.service).cloned()
    }

    fn call(
        &self,
        index: &IndexDocument,
        shard: &ShardEntry,
        server: &ServerId,
        key: RequestKey,
        attempt: AttemptId,
    ) -> ShardCall {
        let remaining = self.deadline.saturating_duration_since(Timer.now());
        ShardCall {
            request: key,
            attempt,
            caller: Arc::clone(&self.caller),
            service: Arc::clone(&self.service),
            shard: shard.shard,
            server: Arc::clone(server),
            version: index.version,
            kind: RequestKind::Job,
            urgency: RequestKind::Job.urgency(),
            remaining: remaining.into(),
            body: self.body.clone(),
        }
    }

    async fn attempt(&self, call: ShardCall) -> AttemptOutcome {
        // Owners may change while a job waits, so each attempt uses the newest ones. The shard map
        // stays that of the view with which the job was started.
        let view = self.node.control.snapshot();
        match self.node.call_shard(&view, call).await {
            Ok(reply) => match reply.result {
                CallResult::Done { rows, .. } => AttemptOutcome::Done(rows),
                CallResult::NotRun(refusal) => AttemptOutcome::NotRun(refusal_reason(&refusal)),
                CallResult::Unknown(
                    CallFailure::Broken | CallFailure::Timeout | CallFailure::BadReply,
                ) => AttemptOutcome::Unknown(RefusalReason::NoReply),
            },
            Err(CallError::NoOwner) => AttemptOutcome::NotRun(RefusalReason::Unreachable),
            Err(CallError::Peer(error)) if error.is_unsent() => {
                AttemptOutcome::NotRun(RefusalReason::Unreachable)
            }
            Err(CallError::Peer(error)) => {
                log::debug!("job: An owner gave no reply: {error}.");
                AttemptOutcome::Unknown(RefusalReason::NoReply)
            }
        }
    }
}

/// Returns the shard for a job, which spreads jobs over the shards by their sequence numbers.
fn pick_shard(index: &IndexDocument, sequence: u64) -> Option<(&IndexDocument, &ShardEntry)> {
    let count = u64::try_from(index.shards.len()).ok()?;
    let position = usize::try_from(sequence.checked_rem(count)?).ok()?;
    index.shards.get(position).map(|shard| (index, shard))
}

const fn refusal_reason(refusal: &CallRefusal) -> RefusalReason {
    match refusal {
        CallRefusal::QueueFull | CallRefusal::Busy => RefusalReason::Overloaded,
        CallRefusal::Infeasible | CallRefusal::Expired => RefusalReason::Infeasible,
        CallRefusal::NotOwner { .. }
        | CallRefusal::Leaving
        | CallRefusal::VersionGone { .. }
        | CallRefusal::UnknownShard
        | CallRefusal::Connect
        | CallRefusal::Cancelled => RefusalReason::Unreachable,
    }
}

fn rows_size(rows: &[Row]) -> usize {
    rows.iter()
        .map(|row| row.key.len() + row.value.len() + size_of::<Row>())
        .sum()
}
