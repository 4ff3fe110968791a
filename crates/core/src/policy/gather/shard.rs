//! The state of one shard in a gather.

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

/// A call that was sent.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerId,
    pub(super) sent_at: Instant,
    pub(super) cause: AttemptCause,
    /// The time at which the call becomes overdue; `None` if the call was counted as overdue, or
    /// does not become overdue before the deadline.
    pub(super) overdue_at: Option<Instant>,
    /// The time at which the call is given up if all replicas are ejected or leaving; `None` once
    /// that time has passed.
    pub(super) give_up_at: Option<Instant>,
}

/// Whether the rows of a shard are part of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ShardStatus {
    /// Rows of the shard may still arrive.
    Open,
    /// The rows of the shard have arrived.
    Included,
    /// The shard was given up.
    Missing(MissingReason),
}

/// One shard of a gather.
#[derive(Clone, Debug)]
pub(super) struct ShardState {
    pub(super) target: ShardTarget,
    pub(super) status: ShardStatus,
    /// The calls without a reply.
    pub(super) pending: Vec<Attempt>,
    /// The backend servers that were called in this round, and those that hold only a newer
    /// version.
    pub(super) round_servers: Vec<ServerId>,
    /// The backend servers that were called in any round.
    pub(super) called_servers: Vec<ServerId>,
    /// The number of calls sent, except for probes.
    pub(super) sent_calls: u32,
    /// The time of the next hedge.
    pub(super) hedge_at: Option<Instant>,
    /// The time and the reason of the next retry.
    pub(super) retry_at: Option<(Instant, RetryReason)>,
    /// The outcome of the last failed call.
    pub(super) last_failure: Option<CallOutcome>,
    /// The backend servers that hold only a newer index version.
    pub(super) newer_servers: Vec<ServerId>,
}

impl ShardState {
    pub(super) const fn new(target: ShardTarget) -> Self {
        Self {
            target,
            status: ShardStatus::Open,
            pending: Vec::new(),
            round_servers: Vec::new(),
            called_servers: Vec::new(),
            sent_calls: 0,
            hedge_at: None,
            retry_at: None,
            last_failure: None,
            newer_servers: Vec::new(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.status == ShardStatus::Open
    }

    /// Returns whether the maximum number of backend servers has been called.
    pub(super) fn at_server_limit(&self, spec: &GatherSpec) -> bool {
        let policy = spec.extra_calls.as_ref();
        policy.is_some_and(|policy| self.called_servers.len() >= policy.max_servers as usize)
    }

    /// Returns the backend servers that get no call in this round: those that were already called
    /// in the round and, once the maximum number has been called, all that have not been called
    /// before.
    pub(super) fn excluded_servers(&self, spec: &GatherSpec) -> Vec<ServerId> {
        let at_limit = self.at_server_limit(spec);
        let is_excluded = |server: &&ServerId| {
            self.round_servers.contains(server) || at_limit && !self.called_servers.contains(server)
        };
        let replicas = self.target.replicas.iter();
        replicas.filter(is_excluded).map(ServerId::clone).collect()
    }

    /// Removes and returns the call of an attempt that has received its reply.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.id == attempt)?;
        Some(self.pending.swap_remove(index))
    }

    /// Returns whether every replica holds only newer index versions than the pinned one.
    pub(super) fn is_superseded(&self) -> bool {
        let replicas = &self.target.replicas;
        !replicas.is_empty()
            && replicas
                .iter()
                .all(|server| self.newer_servers.contains(server))
    }

    /// Records a failed call.
    pub(super) fn on_failure(
        &mut self,
        server: &ServerId,
        outcome: CallOutcome,
        pinned: IndexVersion,
    ) {
        self.last_failure = Some(outcome);
        let CallOutcome::NotRun(NotRunCause::VersionGone(version)) = outcome else {
            return;
        };
        if version > pinned && !self.newer_servers.contains(server) {
            self.newer_servers.push(ServerId::clone(server));
        }
    }

    /// Returns the time of the next step for this shard.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        if !self.is_open() {
            return None;
        }
        let times = |attempt: &Attempt| [attempt.overdue_at, attempt.give_up_at];
        let calls = self.pending.iter().flat_map(times).flatten();
        let retry = self.retry_at.map(|(at, _)| at);
        calls.chain(self.hedge_at).chain(retry).min()
    }

    /// Returns the reason why the shard is missing if no further call is sent.
    pub(super) const fn missing_reason(&self) -> MissingReason {
        match self.last_failure {
            None | Some(CallOutcome::Done(_) | CallOutcome::Unknown(_)) => {
                MissingReason::Unreachable
            }
            Some(CallOutcome::NotRun(cause)) => match cause {
                NotRunCause::NotOwner => MissingReason::NoOwner,
                NotRunCause::QueueFull
                | NotRunCause::Infeasible
                | NotRunCause::Busy
                | NotRunCause::Paused => MissingReason::Busy,
                NotRunCause::Expired | NotRunCause::Cancelled => MissingReason::Deadline,
                NotRunCause::VersionGone(_) => MissingReason::VersionGone,
                NotRunCause::Leaving
                | NotRunCause::Evacuated
                | NotRunCause::UnknownShard
                | NotRunCause::Connect => MissingReason::Unreachable,
            },
        }
    }
}
