//! The state of one shard within a gather.

use std::time::Instant;

use crate::{
    ids::{AttemptId, IndexVersion, ServerId},
    policy::{
        outcome::{CallOutcome, NotRunCause},
        retry::RetryReason,
    },
    request::MissingReason,
};

use super::spec::{AttemptCause, GatherSpec, ShardTarget};

/// One call that was sent.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerId,
    pub(super) sent: Instant,
    pub(super) cause: AttemptCause,
    /// When it counts as overdue; none once it was counted, or when that is not known.
    pub(super) overdue: Option<Instant>,
    /// When it is given up if no replica is in good standing; none once that time has passed.
    pub(super) lost: Option<Instant>,
}

/// Whether a shard is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ShardStatus {
    /// Its rows may still come.
    Open,
    /// Its rows are in.
    Included,
    /// It was given up.
    Missing(MissingReason),
}

/// One shard of a gather.
#[derive(Clone, Debug)]
pub(super) struct ShardState {
    pub(super) target: ShardTarget,
    pub(super) status: ShardStatus,
    /// Calls without a reply.
    pub(super) live: Vec<Attempt>,
    /// The backend servers called in this round.
    pub(super) tried: Vec<ServerId>,
    /// The backend servers called in any round.
    pub(super) asked: Vec<ServerId>,
    /// The calls sent, probes apart.
    pub(super) sent: u32,
    /// When to hedge.
    pub(super) hedge_at: Option<Instant>,
    /// When to try again, and why.
    pub(super) retry_at: Option<(Instant, RetryReason)>,
    /// Why the last call failed.
    pub(super) failure: Option<CallOutcome>,
    /// The backend servers that hold a newer version only.
    pub(super) newer: Vec<ServerId>,
}

impl ShardState {
    pub(super) const fn new(target: ShardTarget) -> Self {
        Self {
            target,
            status: ShardStatus::Open,
            live: Vec::new(),
            tried: Vec::new(),
            asked: Vec::new(),
            sent: 0,
            hedge_at: None,
            retry_at: None,
            failure: None,
            newer: Vec::new(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.status == ShardStatus::Open
    }

    /// Returns whether as many backend servers were asked as may be.
    pub(super) fn is_full(&self, spec: &GatherSpec) -> bool {
        let bound = spec.extra_calls.as_ref();
        bound.is_some_and(|bound| self.asked.len() >= bound.max_servers as usize)
    }

    /// Returns the backend servers that get no call in this round: those that had theirs and, once
    /// as many were asked as may be, all others.
    pub(super) fn excluded(&self, spec: &GatherSpec) -> Vec<ServerId> {
        let full = self.is_full(spec);
        let barred = |server: &&ServerId| {
            self.tried.contains(server) || full && !self.asked.contains(server)
        };
        let replicas = self.target.replicas.iter();
        replicas.filter(barred).map(ServerId::clone).collect()
    }

    /// Takes a call out that has got its reply.
    pub(super) fn take(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let index = self.live.iter().position(|live| live.id == attempt)?;
        Some(self.live.swap_remove(index))
    }

    /// Returns whether every replica holds only newer versions than `pinned`.
    pub(super) fn is_superseded(&self) -> bool {
        let replicas = &self.target.replicas;
        !replicas.is_empty() && replicas.iter().all(|server| self.newer.contains(server))
    }

    /// Notes a failed call.
    pub(super) fn on_failure(
        &mut self,
        server: &ServerId,
        outcome: CallOutcome,
        pinned: IndexVersion,
    ) {
        self.failure = Some(outcome);
        let CallOutcome::NotRun(NotRunCause::VersionGone(held)) = outcome else {
            return;
        };
        if held > pinned && !self.newer.contains(server) {
            self.newer.push(ServerId::clone(server));
        }
    }

    /// Returns the next time at which something is to be decided.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        if !self.is_open() {
            return None;
        }
        let times = |attempt: &Attempt| [attempt.overdue, attempt.lost];
        let calls = self.live.iter().flat_map(times).flatten();
        let retry = self.retry_at.map(|(at, _)| at);
        calls.chain(self.hedge_at).chain(retry).min()
    }

    /// Returns why the shard is missing when no further call is made.
    pub(super) const fn reason(&self) -> MissingReason {
        match self.failure {
            None | Some(CallOutcome::Done(_) | CallOutcome::Unknown(_)) => {
                MissingReason::Unreachable
            }
            Some(CallOutcome::NotRun(cause)) => match cause {
                NotRunCause::NotOwner => MissingReason::NoOwner,
                NotRunCause::QueueFull | NotRunCause::Infeasible | NotRunCause::Busy => {
                    MissingReason::Busy
                }
                NotRunCause::Expired | NotRunCause::Cancelled => MissingReason::Deadline,
                NotRunCause::VersionGone(_) => MissingReason::VersionGone,
                NotRunCause::Leaving | NotRunCause::UnknownShard | NotRunCause::Connect => {
                    MissingReason::Unreachable
                }
            },
        }
    }
}
