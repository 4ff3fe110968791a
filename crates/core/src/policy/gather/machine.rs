//! The steps of a gather.

use std::time::Instant;

use super::{
    shard::{ShardState, ShardStatus},
    spec::{Action, AttemptCause, Context, GatherSpec, ShardTarget},
};
use crate::{
    ids::{AttemptId, IndexVersion},
    policy::outcome::CallOutcome,
    request::MissingReason,
};

/// The state machine of one search.
#[derive(Clone, Debug)]
pub struct Gather {
    pub(super) spec: GatherSpec,
    pub(super) shards: Vec<ShardState>,
    pub(super) stalled: bool,
    /// Whether any call may have run.
    pub(super) may_have_run: bool,
    ended: bool,
    pub(super) next_attempt: AttemptId,
}

impl Gather {
    /// Makes a gather; [`Self::start`] must follow.
    #[must_use]
    pub fn new(spec: GatherSpec) -> Self {
        let shards = spec.shards.iter().cloned().map(ShardState::new).collect();
        Self {
            spec,
            shards,
            stalled: false,
            may_have_run: false,
            ended: false,
            next_attempt: 0,
        }
    }

    /// Sends the first call of each shard.
    pub fn start(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let calls = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        context.tables.hedger.on_first(calls, &self.spec.hedge);
        context.tables.retrier.on_first(calls, &self.spec.retry);
        for index in 0..self.shards.len() {
            if !self.send(index, AttemptCause::First, context, &mut actions) {
                self.shards[index].status = ShardStatus::Missing(MissingReason::Unreachable);
            }
            self.send_probe(index, context, &mut actions);
        }
        self.conclude(context, &mut actions);
        actions
    }

    /// Takes in the outcome of a call; returns whether its rows enter the answer.
    ///
    /// The driver reports the call to the tables itself, also when it comes after the end.
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
        let found = shards.find_map(|(index, shard)| Some((index, shard.take(attempt)?)));
        let Some((index, call)) = found else {
            return false;
        };
        if self.ended || !self.shards[index].is_open() {
            return false;
        }
        let included = outcome == CallOutcome::Done(self.spec.version);
        if included {
            self.shards[index].status = ShardStatus::Included;
            self.cancel_live(index, context, actions);
        } else {
            self.on_failure(index, &call, outcome, context, actions);
        }
        self.conclude(context, actions);
        included
    }

    /// Acts on the time; to be called at [`Self::next_timer`], and harmless earlier.
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
        self.conclude(context, &mut actions);
        actions
    }

    /// Returns when [`Self::on_timer`] is due; none after the end.
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

    /// Starts over on a newer index version, after [`Action::Stall`]; attempts are numbered on.
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
            self.cancel_live(index, context, &mut actions);
        }
        self.spec.version = version;
        self.shards = shards.iter().cloned().map(ShardState::new).collect();
        self.spec.shards = shards;
        self.stalled = false;
        actions.extend(self.start(context));
        actions
    }

    /// Returns the index version that the rows are drawn from at present.
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
