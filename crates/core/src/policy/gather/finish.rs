//! The end of a gather and its result.

use std::time::Instant;

use super::{
    machine::Gather,
    shard::{ShardState, ShardStatus},
    spec::{Action, Context, GatherEnd, GatherOutcome},
};
use crate::{
    policy::early_answer::{Progress, answer_time},
    request::{Coverage, MissingReason, MissingShard},
};

impl Gather {
    /// Ends the request if no missing shard is worth waiting for.
    pub(super) fn finish_if_done(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        if self.is_ended() {
            return;
        }
        self.drop_unreachable(context, actions);
        let is_late = context.now >= self.spec.deadline;
        let any_shard_open = self.shards.iter().any(ShardState::is_open);
        let is_open = any_shard_open || !self.delegated.open.is_empty();
        let must_wait = is_open && context.now < self.answer_time();
        if !is_late && (must_wait || self.stalled) {
            return;
        }
        self.finish(context, actions);
    }

    /// Ends the request with the included shards.
    pub(super) fn finish(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let is_late = context.now >= self.spec.deadline;
        let reason = if is_late {
            MissingReason::Deadline
        } else {
            MissingReason::Early
        };
        for index in 0..self.shards.len() {
            self.cancel_pending(index, context, actions);
            self.close(index, reason);
        }
        self.end();
        actions.push(Action::Finish(self.result()));
    }

    /// Returns the time at which the request is answered even if shards are missing.
    pub(super) fn answer_time(&self) -> Instant {
        let included = self
            .shards
            .iter()
            .filter(|s| s.status == ShardStatus::Included);
        let included = included.count() + self.delegated.included.len();
        let progress = Progress {
            included: u32::try_from(included).unwrap_or(u32::MAX),
            total: u32::try_from(self.total()).unwrap_or(u32::MAX),
            started_at: self.spec.started_at,
            deadline: self.spec.deadline,
            overdue_at: self.last_overdue(),
        };
        answer_time(self.spec.policy.answer, &progress)
    }

    /// Returns the number of requested shards, including delegated ones.
    pub(super) const fn total(&self) -> usize {
        self.shards.len() + self.delegated.open.len() + self.delegated.included.len()
    }

    /// Returns whether this number of shards is enough for an answer.
    pub(super) fn covers(&self, shards: usize) -> bool {
        self.spec.policy.is_covered(shards, self.total())
    }

    /// Returns the time at which the last pending call of the open shards becomes overdue; `None`
    /// if none becomes overdue before the deadline.
    fn last_overdue(&self) -> Option<Instant> {
        let open = self.shards.iter().filter(|shard| shard.is_open());
        let pending = open.flat_map(|shard| shard.pending.iter());
        pending.filter_map(|attempt| attempt.overdue_at).max()
    }

    fn close(&mut self, index: usize, reason: MissingReason) {
        let stalled = self.stalled;
        let shard = &mut self.shards[index];
        if stalled {
            shard.status = ShardStatus::Missing(MissingReason::VersionGone);
        } else if shard.is_open() {
            shard.status = ShardStatus::Missing(reason);
        }
    }

    fn result(&self) -> GatherEnd {
        let mut coverage = Coverage::default();
        for shard in &self.shards {
            let number = shard.target.shard;
            match shard.status {
                ShardStatus::Included => coverage.included.push(number),
                ShardStatus::Missing(reason) => coverage.missing.push(MissingShard {
                    shard: number,
                    reason,
                }),
                ShardStatus::Open => {}
            }
        }
        coverage.included.extend(&self.delegated.included);
        let open = self.delegated.open.iter();
        coverage.missing.extend(open.map(|shard| MissingShard {
            shard: *shard,
            reason: MissingReason::Early,
        }));
        coverage.included.sort_unstable();
        coverage
            .missing
            .sort_unstable_by_key(|missing| missing.shard);
        GatherEnd {
            outcome: self.outcome(&coverage),
            coverage,
            version: self.spec.version,
        }
    }

    fn outcome(&self, coverage: &Coverage) -> GatherOutcome {
        let enough = coverage.share() >= self.spec.policy.coverage;
        if enough && !coverage.included.is_empty() {
            return GatherOutcome::Answer;
        }
        if self.may_have_run {
            GatherOutcome::Unknown
        } else {
            GatherOutcome::NotRun
        }
    }
}
