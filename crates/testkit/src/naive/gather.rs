//! The state machine of the naive search.

use std::time::{Duration, Instant};

use cassialift_core::{
    ids::{AttemptId, IndexVersion, ServerId},
    policy::{
        gather::{Action, AttemptCause, ExpectedTimes, GatherEnd, GatherOutcome, ShardTarget},
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
    },
    request::{Coverage, MissingReason, MissingShard},
};
use rand::{Rng, RngCore};

/// How the naive search chooses the first replica of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaOrder {
    /// A random replica.
    Random,
    /// Replicas in turn, by this sequence number of the request.
    RoundRobin(u64),
}

/// The parameters of a naive search.
#[derive(Clone, Debug)]
pub struct NaiveSettings {
    /// The index version to search.
    pub version: IndexVersion,
    /// The shards to search, with their replicas.
    pub shards: Vec<ShardTarget>,
    /// When the request must be answered.
    pub deadline: Instant,
    /// The minimum share of shards that an answer must cover.
    pub coverage: f64,
    /// Whether a call that may have run can be retried.
    pub idempotent: bool,
    /// The timeout of a call. Without one, and for requests that are not idempotent, calls wait
    /// until the deadline.
    pub timeout: Option<Duration>,
    /// How the first replica of a shard is chosen.
    pub order: ReplicaOrder,
}

#[derive(Clone, Debug)]
struct NaiveShard {
    target: ShardTarget,
    first_replica: usize,
    attempts: u32,
    /// The call without a reply: its attempt, its server and when it times out, if it does.
    pending: Option<(AttemptId, ServerId, Option<Instant>)>,
    result: Option<Result<(), MissingReason>>,
}

/// A search that fans out to one replica of each shard and tries each shard at most twice.
#[derive(Clone, Debug)]
pub struct NaiveGather {
    settings: NaiveSettings,
    shards: Vec<NaiveShard>,
    next_attempt: AttemptId,
    may_have_run: bool,
    ended: bool,
}

impl NaiveGather {
    /// Creates a search, which [`Self::start`] then starts.
    #[must_use]
    pub fn new(settings: NaiveSettings, rng: &mut dyn RngCore) -> Self {
        let order = settings.order;
        let shards = settings.shards.iter().cloned().map(|target| {
            let count = target.replicas.len().max(1);
            let first_replica = match order {
                ReplicaOrder::Random => rng.random_range(0..count),
                ReplicaOrder::RoundRobin(sequence) => {
                    usize::try_from(sequence).unwrap_or_default() % count
                }
            };
            NaiveShard {
                target,
                first_replica,
                attempts: 0,
                pending: None,
                result: None,
            }
        });
        Self {
            shards: shards.collect(),
            settings,
            next_attempt: 0,
            may_have_run: false,
            ended: false,
        }
    }

    /// Starts the search and returns the first call to each shard.
    pub fn start(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            self.send(index, AttemptCause::First, now, &mut actions);
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Handles the outcome of a call; returns whether the answer includes its rows.
    pub fn on_reply(
        &mut self,
        attempt: AttemptId,
        outcome: CallOutcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let has_attempt = |shard: &NaiveShard| {
            shard
                .pending
                .as_ref()
                .is_some_and(|pending| pending.0 == attempt)
        };
        let Some(index) = self.shards.iter().position(has_attempt) else {
            return false;
        };
        self.shards[index].pending = None;
        let included = outcome == CallOutcome::Done(self.settings.version);
        if included {
            self.shards[index].result = Some(Ok(()));
        } else {
            self.on_failure(index, outcome, now, actions);
        }
        self.finish_if_done(now, actions);
        included
    }

    /// Retries calls that have timed out, and ends the search at its deadline.
    pub fn on_timer(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        for index in 0..self.shards.len() {
            let pending = self.shards[index].pending.as_ref();
            let timed_out = pending.is_some_and(|pending| pending.2.is_some_and(|at| at <= now));
            if timed_out {
                self.cancel(index, &mut actions);
                self.retry(
                    index,
                    RetryReason::Timeout,
                    MissingReason::Deadline,
                    now,
                    &mut actions,
                );
            }
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Returns when [`Self::on_timer`] is due, or `None` after the end of the search.
    #[must_use]
    pub fn next_timer(&self) -> Option<Instant> {
        if self.ended {
            return None;
        }
        let pending = self
            .shards
            .iter()
            .filter_map(|shard| shard.pending.as_ref());
        let timeouts = pending.filter_map(|pending| pending.2);
        timeouts.chain([self.settings.deadline]).min()
    }

    /// Returns the index version that is searched.
    #[must_use]
    pub const fn version(&self) -> IndexVersion {
        self.settings.version
    }

    fn on_failure(
        &mut self,
        index: usize,
        outcome: CallOutcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (reason, missing) = match outcome {
            CallOutcome::Done(_) | CallOutcome::NotRun(NotRunCause::VersionGone(_)) => {
                (RetryReason::VersionGone, MissingReason::VersionGone)
            }
            CallOutcome::NotRun(NotRunCause::Busy) => (RetryReason::Busy, MissingReason::Busy),
            CallOutcome::NotRun(_) => (RetryReason::Connect, MissingReason::Unreachable),
            CallOutcome::Unknown(_) => (RetryReason::Broken, MissingReason::Unreachable),
        };
        let not_run = matches!(outcome, CallOutcome::NotRun(_));
        self.may_have_run |= !not_run;
        if not_run || self.settings.idempotent {
            self.retry(index, reason, missing, now, actions);
        } else {
            self.shards[index].result = Some(Err(missing));
        }
    }

    fn retry(
        &mut self,
        index: usize,
        reason: RetryReason,
        missing: MissingReason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.shards[index].attempts > 1 {
            self.shards[index].result = Some(Err(missing));
            return;
        }
        self.send(index, AttemptCause::Retry(reason), now, actions);
    }

    fn send(&mut self, index: usize, cause: AttemptCause, now: Instant, actions: &mut Vec<Action>) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let timeout = self.settings.timeout.filter(|_| self.settings.idempotent);
        let shard = &mut self.shards[index];
        let replicas = &shard.target.replicas;
        let replica = shard.first_replica + shard.attempts as usize;
        let server = ServerId::clone(&replicas[replica % replicas.len()]);
        shard.attempts += 1;
        let timeout_at = timeout.map(|timeout| now + timeout);
        shard.pending = Some((attempt, ServerId::clone(&server), timeout_at));
        actions.push(Action::Send {
            attempt,
            shard: shard.target.shard,
            server,
            cause,
            expected: ExpectedTimes::default(),
        });
    }

    fn cancel(&mut self, index: usize, actions: &mut Vec<Action>) {
        if let Some((attempt, server, _)) = self.shards[index].pending.take() {
            self.may_have_run = true;
            actions.push(Action::Cancel { attempt, server });
        }
    }

    fn finish_if_done(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let unfinished = self.shards.iter().any(|shard| shard.result.is_none());
        if self.ended || (unfinished && now < self.settings.deadline) {
            return;
        }
        for index in 0..self.shards.len() {
            self.cancel(index, actions);
        }
        self.ended = true;
        actions.push(Action::Finish(self.summary()));
    }

    fn summary(&self) -> GatherEnd {
        let mut coverage = Coverage::default();
        for shard in &self.shards {
            let number = shard.target.shard;
            match shard.result.unwrap_or(Err(MissingReason::Deadline)) {
                Ok(()) => coverage.included.push(number),
                Err(reason) => coverage.missing.push(MissingShard {
                    shard: number,
                    reason,
                }),
            }
        }
        let enough = coverage.share() >= self.settings.coverage && !coverage.included.is_empty();
        let outcome = match (enough, self.may_have_run || !coverage.included.is_empty()) {
            (true, _) => GatherOutcome::Answer,
            (false, true) => GatherOutcome::Unknown,
            (false, false) => GatherOutcome::NotRun,
        };
        GatherEnd {
            outcome,
            coverage,
            version: self.settings.version,
        }
    }
}
