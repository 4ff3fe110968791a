//! A simulated request, driven by the server's policy or by the naive gather.

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

/// The state machine that gathers the results of one request.
#[derive(Clone, Debug)]
pub(super) enum GatherState {
    /// The gather of the server's policy.
    Policy(Box<Gather>),
    /// The naive gather that the policy is compared with.
    Naive(Box<NaiveGather>),
}

/// A simulated request.
#[derive(Clone, Debug)]
pub(super) struct Search {
    pub(super) gather: GatherState,
    pub(super) entry: usize,
    pub(super) service: usize,
    pub(super) kind: RequestKind,
    pub(super) caller: CallerId,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
    /// Whether the request asks for every shard.
    pub(super) all_shards: bool,
    /// The requested shards.
    pub(super) shards: Vec<ShardId>,
    /// The identifiers of calls without a reply, by attempt.
    pub(super) open_calls: HashMap<AttemptId, u64>,
    /// The index version of the rows received so far, for each shard.
    pub(super) row_versions: Vec<(ShardId, IndexVersion)>,
    /// The number of calls that a backend server has started to run.
    pub(super) started_calls: u32,
    /// When the scheduled timer is due.
    pub(super) timer_at: Option<Instant>,
    /// Whether the request waits for a newer index version.
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
