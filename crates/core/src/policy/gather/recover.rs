//! The handling of failed, slow and overdue calls of a gather.

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

/// The pause before the next round over replicas that have all failed, as a share of the remaining
/// time.
const ROUND_PAUSE: f64 = 0.05;
/// The minimum pause before the next try to send a hedge whose replica was busy.
const HEDGE_PAUSE: Duration = Duration::from_millis(1);
/// The pause before the next try to send a call for which the budget of the service was used up.
/// First calls of other requests earn new extra calls in the meantime.
const BUDGET_PAUSE: Duration = Duration::from_millis(40);
/// The maximum pause before the next round over replicas that have all failed.
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
        // Rows of another version cannot be used, so they count as a failure.
        shard.on_failure(&call.server, as_failure(outcome), pinned);
        if shard.is_superseded() {
            self.stall(context, actions);
            return;
        }
        if call.cause == AttemptCause::Probe || !shard.pending.is_empty() {
            return;
        }
        shard.hedge_at = None;
        let Some(reason) = RetryReason::from_outcome(as_failure(outcome), self.spec.kind) else {
            shard.status = ShardStatus::Missing(shard.missing_reason());
            return;
        };
        self.retry(index, reason, context, actions);
    }

    /// Retries a shard: at once on an untried replica, or after a pause on any replica if all have
    /// been tried.
    fn retry(
        &mut self,
        index: usize,
        reason: RetryReason,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let shard = &mut self.shards[index];
        shard.retry_at = None;
        if shard.sent_calls >= self.spec.retry.attempts {
            let reason = shard.missing_reason();
            self.give_up(index, reason);
            return;
        }
        let excluded = shard.excluded_servers(&self.spec);
        let has_untried = shard
            .target
            .replicas
            .iter()
            .any(|server| !excluded.contains(server) && !shard.newer_servers.contains(server));
        if !has_untried {
            self.start_round(index, reason, context);
            return;
        }
        if is_shed(reason) && self.is_overloaded(index, context) {
            self.give_up(index, MissingReason::Busy);
            return;
        }
        // The failed call put no load on any backend server if the called VM did not own the
        // server.
        let is_free = reason == RetryReason::NotOwner;
        if !is_free && !context.tables.retrier.try_spend() {
            self.await_budget(index, reason, MissingReason::Budget, context);
            return;
        }
        if self.send(index, AttemptCause::Retry(reason), context, actions) {
            return;
        }
        if !is_free {
            context.tables.retrier.refund();
        }
        let missing = self.shards[index].missing_reason();
        self.await_budget(index, reason, missing, context);
    }

    /// Schedules another try after [`BUDGET_PAUSE`] if the request fails without the shard.
    /// Otherwise gives up the shard.
    pub(super) fn await_budget(
        &mut self,
        index: usize,
        reason: RetryReason,
        missing: MissingReason,
        context: &Context<'_>,
    ) {
        let retry_at = context.now + BUDGET_PAUSE;
        let shard = &self.shards[index];
        let may_wait = self.spec.extra_calls.is_some() && shard.pending.is_empty();
        if may_wait && retry_at < self.spec.deadline && self.is_needed(index) {
            self.shards[index].retry_at = Some((retry_at, reason));
        } else {
            self.give_up(index, missing);
        }
    }

    /// Returns whether the entry is overloaded and every untried replica is busy.
    fn is_overloaded(&self, index: usize, context: &Context<'_>) -> bool {
        let (tables, now) = (&context.tables, context.now);
        let shard = &self.shards[index];
        let mut untried = shard.target.replicas.iter();
        tables.admission.in_overload(now)
            && untried.all(|server| {
                shard.round_servers.contains(server) || tables.replicas.is_busy(server, now)
            })
    }

    /// Schedules another round over the replicas, unless all of them are ejected or leaving.
    fn start_round(&mut self, index: usize, reason: RetryReason, context: &Context<'_>) {
        let remaining = self.spec.deadline.saturating_duration_since(context.now);
        let shard = &mut self.shards[index];
        let replicas = &shard.target.replicas;
        let none_available = context
            .tables
            .replicas
            .none_available(replicas, context.now);
        if none_available {
            let reason = shard.missing_reason();
            self.give_up(index, reason);
            return;
        }
        shard.round_servers.clone_from(&shard.newer_servers);
        let pause = remaining.mul_f64(ROUND_PAUSE).min(ROUND_PAUSE_MAX);
        shard.retry_at = Some((context.now + pause, reason));
    }

    /// Gives up a shard, unless a pending call may still reply.
    fn give_up(&mut self, index: usize, reason: MissingReason) {
        let shard = &mut self.shards[index];
        if shard.pending.is_empty() {
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

    /// Retries a shard on an untried replica when its last pending call becomes overdue. The
    /// overdue calls may still reply.
    fn check_overdue(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let shard = &mut self.shards[index];
        let mut overdue = false;
        for attempt in &mut shard.pending {
            if attempt.give_up_at.is_some_and(|at| at <= now) {
                attempt.give_up_at = None;
                self.given_up_calls += 1;
            }
            if attempt.overdue_at.is_some_and(|at| at <= now) {
                attempt.overdue_at = None;
                overdue = true;
                context
                    .tables
                    .replicas
                    .on_overdue(&attempt.server, attempt.sent_at, now);
            }
        }
        if !overdue {
            return;
        }
        let any_on_time = shard
            .pending
            .iter()
            .any(|attempt| attempt.overdue_at.is_some());
        let excluded = shard.excluded_servers(&self.spec);
        let replicas = &shard.target.replicas;
        let untried = replicas.iter().any(|server| !excluded.contains(server));
        if !any_on_time && untried && self.spec.kind.is_idempotent() {
            self.retry(index, RetryReason::Timeout, context, actions);
        }
    }

    fn hedge(&mut self, index: usize, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        if context.tables.admission.in_overload(context.now)
            || self.shards[index].pending.len() != 1
            || self.is_outranked(index, context)
        {
            return;
        }
        if !context.tables.hedger.try_spend() {
            return;
        }
        if self.send(index, AttemptCause::Hedge, context, actions) {
            return;
        }
        // The other replica is busy now, but it may have a free slot before this call gets its
        // reply.
        context.tables.hedger.refund();
        let hedger = &context.tables.hedger;
        let delay = hedger.delay(&self.spec.service, self.spec.kind, &self.spec.hedge);
        let hedge_at = delay.map(|delay| context.now + (delay / 2).max(HEDGE_PAUSE));
        self.shards[index].hedge_at = hedge_at;
    }

    /// Returns whether calls of a higher priority need the room that a second call to a shard would take.
    fn is_outranked(&self, index: usize, context: &Context<'_>) -> bool {
        let priority = &context.tables.priority;
        let (service, target) = (&self.spec.service, &self.shards[index].target);
        priority.rank(service) > 0 && priority.is_congested(target.service(service))
    }

    /// Gives up shards whose replicas are all ejected or leaving and whose calls have all passed
    /// the time at which they are given up.
    pub(super) fn drop_unreachable(
        &mut self,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        // This runs at each event of a search, which may have hundreds of shards.
        if self.given_up_calls == 0 {
            return;
        }
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            let is_late = |attempt: &Attempt| attempt.give_up_at.is_none();
            let all_late = !shard.pending.is_empty() && shard.pending.iter().all(is_late);
            let replicas = &shard.target.replicas;
            let tables = &context.tables.replicas;
            // If the replicas are only slow, a late answer is better than none.
            let worth_waiting =
                self.is_needed(index) && tables.any_responsive(replicas, context.now);
            if shard.is_open()
                && all_late
                && !worth_waiting
                && tables.none_available(replicas, context.now)
            {
                self.shards[index].status = ShardStatus::Missing(MissingReason::Unreachable);
                self.cancel_pending(index, context, actions);
            }
        }
    }

    /// Returns whether the request fails without this shard.
    fn is_needed(&self, index: usize) -> bool {
        let missing = |shard: &&ShardState| matches!(shard.status, ShardStatus::Missing(_));
        let missing = self.shards.iter().filter(missing).count();
        let this_open = usize::from(self.shards[index].is_open());
        !self.covers(self.total() - missing - this_open)
    }

    fn stall(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        self.stalled = true;
        for index in 0..self.shards.len() {
            self.cancel_pending(index, context, actions);
        }
        let version = self.spec.version;
        actions.push(Action::Stall { version });
    }
}

/// Returns whether a reason indicates overload, which a retry would increase.
const fn is_shed(reason: RetryReason) -> bool {
    matches!(
        reason,
        RetryReason::QueueFull | RetryReason::Infeasible | RetryReason::Busy | RetryReason::Timeout
    )
}

/// Converts an outcome to a failure: rows of another version count as [`NotRunCause::VersionGone`].
const fn as_failure(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Done(version) => CallOutcome::NotRun(NotRunCause::VersionGone(version)),
        other => other,
    }
}
