//! The state machine of a gather.

use std::time::Instant;

use super::{
    shard::{ShardState, ShardStatus},
    spec::{Action, AttemptCause, Context, GatherSpec, ShardTarget},
};
use crate::{
    ids::{AttemptId, IndexVersion, ShardId},
    policy::{outcome::CallOutcome, retry::RetryReason},
    request::MissingReason,
};

/// The shards of a search that are delegated to other VMs.
#[derive(Clone, Debug, Default)]
pub(super) struct DelegatedShards {
    /// The shards that may still be included.
    pub(super) open: Vec<ShardId>,
    /// The included shards.
    pub(super) included: Vec<ShardId>,
}

/// The state machine of one search.
#[derive(Clone, Debug)]
pub struct Gather {
    pub(super) spec: GatherSpec,
    pub(super) shards: Vec<ShardState>,
    /// Whether the pinned index version is gone and [`Self::restart`] is awaited.
    pub(super) stalled: bool,
    /// Whether any call, by this or another VM, may have run.
    pub(super) may_have_run: bool,
    pub(super) delegated: DelegatedShards,
    ended: bool,
    /// The number of calls that have passed the time at which they are given up.
    pub(super) given_up_calls: u32,
    pub(super) next_attempt: AttemptId,
}

impl Gather {
    /// Creates a gather. [`Self::start`] must be called next.
    #[must_use]
    pub fn new(spec: GatherSpec) -> Self {
        let shards = spec.shards.iter().cloned().map(ShardState::new).collect();
        Self {
            spec,
            shards,
            stalled: false,
            may_have_run: false,
            delegated: DelegatedShards::default(),
            ended: false,
            given_up_calls: 0,
            next_attempt: 0,
        }
    }

    /// Ends the search, to be called before [`Self::start`], if so many shards lack permits for their
    /// calls that there can be no answer. Calls to the other shards would be wasted.
    ///
    /// `delegated` is the number of shards that other VMs are to search.
    pub fn refuse_without_permits(
        &mut self,
        delegated: usize,
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        let replicas = &mut context.tables.replicas;
        if !replicas.has_limits() {
            return Vec::new();
        }
        let lacks_permits =
            |shard: &&mut ShardState| replicas.lacks_permits(&shard.target.replicas, context.now);
        let lacking: Vec<_> = self.shards.iter_mut().filter(lacks_permits).collect();
        let total = self.spec.shards.len() + delegated;
        if self.spec.policy.is_covered(total - lacking.len(), total) {
            return Vec::new();
        }
        for shard in lacking {
            replicas.want_permits(&shard.target.replicas, context.now);
            shard.status = ShardStatus::Missing(MissingReason::Busy);
        }
        let mut actions = Vec::new();
        self.finish(context, &mut actions);
        actions
    }

    /// Sends the first call of each shard.
    pub fn start(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let calls = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        context
            .tables
            .hedger
            .on_first_calls(calls, &self.spec.hedge);
        context
            .tables
            .retrier
            .on_first_calls(calls, &self.spec.retry);
        for index in 0..self.shards.len() {
            if !self.send(index, AttemptCause::First, context, &mut actions) {
                let replicas = &self.shards[index].target.replicas;
                let lacks_permits = context.tables.replicas.lacks_permits(replicas, context.now);
                let reason = if lacks_permits {
                    MissingReason::Busy
                } else {
                    MissingReason::Unreachable
                };
                self.shards[index].status = ShardStatus::Missing(reason);
            }
            self.send_probe(index, context, &mut actions);
        }
        self.finish_if_done(context, &mut actions);
        actions
    }

    /// Adds shards that are delegated to another VM, before [`Self::start`].
    pub fn delegate(&mut self, shards: Vec<ShardId>) {
        self.delegated.open.extend(shards);
        self.may_have_run = true;
    }

    /// Records the shards that another VM included. Returns `false` if the request has ended, so
    /// that the shards are too late for the answer.
    ///
    /// Shards that are called directly since the VM was late count as well; their calls are
    /// cancelled.
    pub fn on_delegated(
        &mut self,
        included: &[ShardId],
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.ended {
            return false;
        }
        let DelegatedShards {
            open,
            included: all,
        } = &mut self.delegated;
        let (on_time, late): (Vec<ShardId>, Vec<ShardId>) =
            included.iter().partition(|shard| open.contains(shard));
        open.retain(|shard| !on_time.contains(shard));
        all.extend(on_time);
        for shard in late {
            let mut shards = self.shards.iter();
            if let Some(index) = shards.position(|state| state.target.shard == shard) {
                self.shards[index].status = ShardStatus::Included;
                self.cancel_pending(index, context, actions);
            }
        }
        self.finish_if_done(context, actions);
        true
    }

    /// Calls shards directly that were delegated to another VM and that the VM did not include.
    ///
    /// `may_repeat` states whether the other VM may have sent calls for these shards. If so, the
    /// calls that are sent now count as extra calls.
    pub fn undelegate(
        &mut self,
        targets: Vec<ShardTarget>,
        may_repeat: bool,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.ended {
            return;
        }
        let cause = if may_repeat {
            AttemptCause::Retry(RetryReason::Timeout)
        } else {
            AttemptCause::First
        };
        for target in targets {
            self.delegated.open.retain(|shard| *shard != target.shard);
            let index = self.shards.len();
            self.shards.push(ShardState::new(target));
            if !self.send(index, cause, context, actions) {
                let (reason, missing) = (RetryReason::Timeout, MissingReason::Unreachable);
                self.await_budget(index, reason, missing, context);
            }
        }
        self.finish_if_done(context, actions);
    }

    /// Records the outcome of a call and returns whether its rows are part of the answer.
    ///
    /// The caller of this method reports the call to the tables, even if the reply arrives after
    /// the end.
    pub fn on_reply(
        &mut self,
        attempt: AttemptId,
        outcome: CallOutcome,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !matches!(outcome, CallOutcome::NotRun(_)) {
            self.may_have_run = true;
        }
        let mut shards = self.shards.iter_mut().enumerate();
        let found = shards.find_map(|(index, shard)| Some((index, shard.remove_attempt(attempt)?)));
        let Some((index, call)) = found else {
            return false;
        };
        if self.ended || !self.shards[index].is_open() {
            return false;
        }
        let included = outcome == CallOutcome::Done(self.spec.version);
        if included {
            self.shards[index].status = ShardStatus::Included;
            self.cancel_pending(index, context, actions);
        } else {
            self.on_failure(index, &call, outcome, context, actions);
        }
        self.finish_if_done(context, actions);
        included
    }

    /// Performs the steps that are due. To be called at [`Self::next_timer`]; an earlier call is
    /// harmless.
    pub fn on_timer(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.ended {
            return actions;
        }
        for index in 0..self.shards.len() {
            if self.shards[index].is_open() && !self.stalled {
                self.on_shard_timer(index, context, &mut actions);
            }
        }
        self.finish_if_done(context, &mut actions);
        actions
    }

    /// Ends the request at once with the included shards.
    pub fn answer_now(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.ended {
            self.drop_unreachable(context, &mut actions);
            self.finish(context, &mut actions);
        }
        actions
    }

    /// Returns the time at which [`Self::on_timer`] is due; `None` after the end.
    #[must_use]
    pub fn next_timer(&self) -> Option<Instant> {
        if self.ended {
            return None;
        }
        let answer = self.answer_time();
        if self.stalled {
            return Some(self.spec.deadline);
        }
        let shards = self.shards.iter().filter_map(ShardState::next_timer);
        shards.chain([answer]).min()
    }

    /// Restarts the search on a newer index version after [`Action::Stall`]. The numbering of
    /// attempts continues.
    pub fn restart(
        &mut self,
        version: IndexVersion,
        shards: Vec<ShardTarget>,
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        if self.ended || version <= self.spec.version {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for index in 0..self.shards.len() {
            self.cancel_pending(index, context, &mut actions);
        }
        self.spec.version = version;
        self.shards = shards.iter().cloned().map(ShardState::new).collect();
        self.spec.shards = shards;
        self.stalled = false;
        actions.extend(self.start(context));
        actions
    }

    /// Returns the index version from which rows are currently accepted.
    #[must_use]
    pub const fn version(&self) -> IndexVersion {
        self.spec.version
    }

    /// Returns whether the request has ended.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended
    }

    pub(super) const fn end(&mut self) {
        self.ended = true;
    }
}
