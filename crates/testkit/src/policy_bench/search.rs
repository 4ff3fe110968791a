//! One request of a run, driven by the policy or by the naive version.

use std::{collections::HashMap, time::Instant};

use cassialift_core::{
    ids::{AttemptId, CallerId, IndexVersion, ShardId},
    policy::{
        gather::{Action, Context, Gather},
        outcome::CallOutcome,
    },
    request::RequestKind,
};

use crate::naive::NaiveGather;

/// The state gather of one request.
#[derive(Clone, Debug)]
pub(super) enum GatherState {
    /// The policy's.
    Policy(Box<Gather>),
    /// The naive one.
    Naive(Box<NaiveGather>),
}

/// One request of a run.
#[derive(Clone, Debug)]
pub(super) struct Search {
    pub(super) gather: GatherState,
    pub(super) entry: usize,
    pub(super) service: usize,
    pub(super) kind: RequestKind,
    pub(super) caller: CallerId,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
    /// Whether it asked for every shard.
    pub(super) all_shards: bool,
    /// The shards asked for.
    pub(super) shards: Vec<ShardId>,
    /// The calls without a reply, by attempt.
    pub(super) open_calls: HashMap<AttemptId, u64>,
    /// The versions that the rows taken so far were drawn from.
    pub(super) row_versions: Vec<(ShardId, IndexVersion)>,
    /// The calls that a backend server began to run.
    pub(super) started_calls: u32,
    /// When the next timer was set for.
    pub(super) timer_at: Option<Instant>,
    /// Whether it waits for a newer index version.
    pub(super) stalled: bool,
}

impl GatherState {
    pub(super) fn start(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        match self {
            Self::Policy(gather) => gather.start(context),
            Self::Naive(gather) => gather.start(context.now),
        }
    }

    pub(super) fn on_reply(
        &mut self,
        attempt: AttemptId,
        outcome: CallOutcome,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        match self {
            Self::Policy(gather) => gather.on_reply(attempt, outcome, context, actions),
            Self::Naive(gather) => gather.on_reply(attempt, outcome, context.now, actions),
        }
    }

    pub(super) fn on_timer(&mut self, context: &mut Context<'_>) -> Vec<Action> {
        match self {
            Self::Policy(gather) => gather.on_timer(context),
            Self::Naive(gather) => gather.on_timer(context.now),
        }
    }

    pub(super) fn next_timer(&self) -> Option<Instant> {
        match self {
            Self::Policy(gather) => gather.next_timer(),
            Self::Naive(gather) => gather.next_timer(),
        }
    }
}
