//! The steps of a gather.

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

/// The shards of a search that another VM asks.
#[derive(Clone, Debug, Default)]
pub(super) struct Elsewhere {
    /// Those that may still come in.
    pub(super) open: Vec<ShardId>,
    /// Those that are in.
    pub(super) included: Vec<ShardId>,
}

/// The state machine of one search.
#[derive(Clone, Debug)]
pub struct Gather {
    pub(super) spec: GatherSpec,
    pub(super) shards: Vec<ShardState>,
    pub(super) stalled: bool,
    /// Whether any call may have run.
    pub(super) may_have_run: bool,
    pub(super) elsewhere: Elsewhere,
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
            elsewhere: Elsewhere::default(),
            ended: false,
            next_attempt: 0,
        }
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
                self.shards[index].status = ShardStatus::Missing(MissingReason::Unreachable);
            }
            self.send_probe(index, context, &mut actions);
        }
        self.conclude(context, &mut actions);
        actions
    }

    /// Notes shards that another VM asks; to be called before [`Self::start`].
    pub fn delegate(&mut self, shards: Vec<ShardId>) {
        self.elsewhere.open.extend(shards);
        self.may_have_run = true;
    }

    /// Takes in the shards that another VM included; returns whether they enter the answer.
    pub fn on_delegated(
        &mut self,
        included: &[ShardId],
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.ended {
            return false;
        }
        let Elsewhere {
            open,
            included: all,
        } = &mut self.elsewhere;
        open.retain(|shard| !included.contains(shard));
        all.extend(included);
        self.conclude(context, actions);
        true
    }

    /// Asks shards directly that another VM was to ask and did not include.
    ///
    /// `repeated` says that the other VM may have sent calls for them, so that those sent now are
    /// extra.
    pub fn undelegate(
        &mut self,
        targets: Vec<ShardTarget>,
        repeated: bool,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.ended {
            return;
        }
        let cause = if repeated {
            AttemptCause::Retry(RetryReason::Timeout)
        } else {
            AttemptCause::First
        };
        for target in targets {
            self.elsewhere.open.retain(|shard| *shard != target.shard);
            let index = self.shards.len();
            self.shards.push(ShardState::new(target));
            if !self.send(index, cause, context, actions) {
                let (reason, missing) = (RetryReason::Timeout, MissingReason::Unreachable);
                self.await_budget(index, reason, missing, context);
            }
        }
        self.conclude(context, actions);
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

    /// Ends the request at once with what is in.
    pub fn answer_now(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.ended {
            self.drop_hopeless(context, &mut actions);
            self.finish(context, &mut actions);
        }
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
