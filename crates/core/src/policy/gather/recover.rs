//! What a gather does about failed, slow and overdue calls.

use std::time::Duration;

use super::{
    machine::Gather,
    shard::{Attempt, ShardState, ShardStatus},
    spec::{Action, AttemptCause, Context},
};
use crate::{
    policy::{
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
    },
    request::MissingReason,
};

/// The wait before replicas that all failed are tried again, as a share of the time left.
const ROUND_PAUSE: f64 = 0.05;
/// The least wait before a hedge is tried again that found its replica busy.
const HEDGE_PAUSE: Duration = Duration::from_millis(1);
/// The wait for extra calls that a service's budget does not hold yet: first calls of other requests
/// earn them in the meantime.
const BUDGET_PAUSE: Duration = Duration::from_millis(40);
/// The longest wait before replicas that all failed are tried again.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(50);

impl Gather {
    pub(super) fn on_failure(
        &mut self,
        index: usize,
        call: &Attempt,
        outcome: CallOutcome,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let pinned = self.spec.version;
        let shard = &mut self.shards[index];
        // Rows of another version are as good as none.
        shard.on_failure(&call.server, as_failure(outcome), pinned);
        if shard.is_superseded() {
            self.stall(context, actions);
            return;
        }
        if call.cause == AttemptCause::Probe || !shard.live.is_empty() {
            return;
        }
        shard.hedge_at = None;
        let Some(reason) = RetryReason::from_outcome(as_failure(outcome), self.spec.kind) else {
            shard.status = ShardStatus::Missing(shard.reason());
            return;
        };
        self.retry(index, reason, context, actions);
    }

    /// Tries a shard again, at once on an untried replica, or after a pause on any.
    fn retry(
        &mut self,
        index: usize,
        reason: RetryReason,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[index];
        shard.retry_at = None;
        if shard.sent >= self.spec.retry.attempts {
            let reason = shard.reason();
            self.give_up(index, reason);
            return;
        }
        let excluded = shard.excluded(&self.spec);
        let fresh = shard
            .target
            .replicas
            .iter()
            .any(|server| !excluded.contains(server) && !shard.newer.contains(server));
        if !fresh {
            self.pause(index, reason, context);
            return;
        }
        if is_shed(reason) && self.is_crowded(index, context) {
            self.give_up(index, MissingReason::Busy);
            return;
        }
        // A call that met no owner put no load on any backend server.
        let free = reason == RetryReason::NotOwner;
        if !free && !context.tables.retrier.try_spend() {
            self.await_budget(index, reason, MissingReason::Budget, context);
            return;
        }
        if self.send(index, AttemptCause::Retry(reason), context, actions) {
            return;
        }
        if !free {
            context.tables.retrier.refund();
        }
        let missing = self.shards[index].reason();
        self.await_budget(index, reason, missing, context);
    }

    /// Waits for the budget of extra calls to fill if the request fails without the shard; else
    /// gives the shard up.
    pub(super) fn await_budget(
        &mut self,
        index: usize,
        reason: RetryReason,
        missing: MissingReason,
        context: &Context<'_>,
    ) {
        let again = context.now + BUDGET_PAUSE;
        let shard = &self.shards[index];
        let bounded = self.spec.extra_calls.is_some() && shard.live.is_empty();
        if bounded && again < self.spec.deadline && self.is_needed(index) {
            self.shards[index].retry_at = Some((again, reason));
        } else {
            self.give_up(index, missing);
        }
    }

    /// Returns whether the entry is overloaded and calls wait for each untried replica.
    fn is_crowded(&self, index: usize, context: &Context<'_>) -> bool {
        let (tables, now) = (&context.tables, context.now);
        let shard = &self.shards[index];
        let mut untried = shard.target.replicas.iter();
        tables.admission.in_overload(now)
            && untried
                .all(|server| shard.tried.contains(server) || tables.replicas.is_busy(server, now))
    }

    /// Opens another round over the replicas, unless they are all in bad standing.
    fn pause(&mut self, index: usize, reason: RetryReason, context: &Context<'_>) {
        let left = self.spec.deadline.saturating_duration_since(context.now);
        let shard = &mut self.shards[index];
        let replicas = &shard.target.replicas;
        let hopeless = context
            .tables
            .replicas
            .none_available(replicas, context.now);
        if hopeless {
            let reason = shard.reason();
            self.give_up(index, reason);
            return;
        }
        shard.tried.clone_from(&shard.newer);
        let pause = left.mul_f64(ROUND_PAUSE).min(ROUND_PAUSE_MAX);
        shard.retry_at = Some((context.now + pause, reason));
    }

    /// Gives a shard up, unless a call for it may still reply.
    fn give_up(&mut self, index: usize, reason: MissingReason) {
        let shard = &mut self.shards[index];
        if shard.live.is_empty() {
            shard.status = ShardStatus::Missing(reason);
        }
    }

    pub(super) fn on_shard_timer(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        self.check_overdue(index, context, actions);
        let shard = &mut self.shards[index];
        if let Some((at, reason)) = shard.retry_at
            && at <= now
        {
            self.retry(index, reason, context, actions);
        }
        let shard = &mut self.shards[index];
        if shard.hedge_at.is_some_and(|at| at <= now) {
            shard.hedge_at = None;
            self.hedge(index, context, actions);
        }
    }

    /// Tries overdue calls elsewhere; the overdue call may still reply.
    fn check_overdue(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let shard = &mut self.shards[index];
        let mut overdue = false;
        for attempt in &mut shard.live {
            if attempt.lost.is_some_and(|at| at <= now) {
                attempt.lost = None;
            }
            if attempt.overdue.is_some_and(|at| at <= now) {
                attempt.overdue = None;
                overdue = true;
                context
                    .tables
                    .replicas
                    .on_overdue(&attempt.server, attempt.sent, now);
            }
        }
        if !overdue {
            return;
        }
        let waiting = shard.live.iter().any(|attempt| attempt.overdue.is_some());
        let excluded = shard.excluded(&self.spec);
        let replicas = &shard.target.replicas;
        let untried = replicas.iter().any(|server| !excluded.contains(server));
        if !waiting && untried && self.spec.kind.is_repeatable() {
            self.retry(index, RetryReason::Timeout, context, actions);
        }
    }

    fn hedge(&mut self, index: usize, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        if context.tables.admission.in_overload(context.now) || self.shards[index].live.len() != 1 {
            return;
        }
        if !context.tables.hedger.try_spend() {
            return;
        }
        if self.send(index, AttemptCause::Hedge, context, actions) {
            return;
        }
        // The other replica is busy now; it may have time before this call gets its reply.
        context.tables.hedger.refund();
        let hedger = &context.tables.hedger;
        let delay = hedger.delay(&self.spec.service, self.spec.kind, &self.spec.hedge);
        let again = delay.map(|delay| context.now + (delay / 2).max(HEDGE_PAUSE));
        self.shards[index].hedge_at = again;
    }

    /// Gives up shards whose replicas are all in bad standing once their calls are long overdue.
    pub(super) fn drop_hopeless(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            let late = |attempt: &Attempt| attempt.lost.is_none();
            let late = !shard.live.is_empty() && shard.live.iter().all(late);
            let replicas = &shard.target.replicas;
            let tables = &context.tables.replicas;
            // A late answer is better than none while the replicas are slow only.
            let worth_waiting =
                self.is_needed(index) && tables.any_responsive(replicas, context.now);
            if shard.is_open()
                && late
                && !worth_waiting
                && tables.none_available(replicas, context.now)
            {
                self.shards[index].status = ShardStatus::Missing(MissingReason::Unreachable);
                self.cancel_live(index, context, actions);
            }
        }
    }

    /// Returns whether the request fails without this shard.
    fn is_needed(&self, index: usize) -> bool {
        let missing = |shard: &&ShardState| matches!(shard.status, ShardStatus::Missing(_));
        let missing = self.shards.iter().filter(missing).count();
        let this = usize::from(self.shards[index].is_open());
        !self.covers(self.total() - missing - this)
    }

    fn stall(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        self.stalled = true;
        for index in 0..self.shards.len() {
            self.cancel_live(index, context, actions);
        }
        let version = self.spec.version;
        actions.push(Action::Stall { version });
    }
}

/// Returns whether a reason tells of too much load, which a retry would add to.
const fn is_shed(reason: RetryReason) -> bool {
    matches!(
        reason,
        RetryReason::QueueFull | RetryReason::Infeasible | RetryReason::Busy | RetryReason::Timeout
    )
}

/// Returns an outcome as a failure: rows of another version count as that version's refusal.
const fn as_failure(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Done(version) => CallOutcome::NotRun(NotRunCause::VersionGone(version)),
        other => other,
    }
}
