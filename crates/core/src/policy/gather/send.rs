//! Sending and cancelling the calls of a gather.

use std::time::Duration;

use super::{
    machine::Gather,
    shard::Attempt,
    spec::{Action, AttemptCause, Context, ExpectedTimes},
};
use crate::ids::ServerId;

/// The maximum time after which a call is overdue, apart from its expected wait, as a share of the
/// time between admission and deadline. This time also applies while too few latencies are known.
const OVERDUE_SHARE: f64 = 0.25;
/// The multiple of the overdue time after which calls are given up if all replicas are ejected or
/// leaving.
const GIVE_UP_FACTOR: u32 = 2;
/// The minimum time after which such calls are given up, as a share of the time between admission
/// and deadline.
///
/// Replicas that were delayed for a moment together with this process all appear unavailable at
/// once.
const GIVE_UP_SHARE: f64 = 0.2;

impl Gather {
    /// Sends a call to the best untried replica. Returns `false` if there is no such replica, if
    /// the call is a hedge and the replica is busy, ejected or limited, or if the budget of extra calls is
    /// used up.
    pub(super) fn send(
        &mut self,
        index: usize,
        cause: AttemptCause,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (now, tables) = (context.now, &mut *context.tables);
        let shard = &mut self.shards[index];
        let replicas = &shard.target.replicas;
        let excluded = shard.excluded_servers(&self.spec);
        let pick = tables
            .replicas
            .choose(replicas, &excluded, now, context.rng);
        let Some(pick) = pick else {
            return false;
        };
        let is_unsuitable = pick.last_resort
            || tables.replicas.is_busy(&pick.server, now)
            || tables.replicas.has_limit(&pick.server);
        if cause == AttemptCause::Hedge && is_unsuitable {
            return false;
        }
        let (service, kind) = (&self.spec.service, self.spec.kind);
        let target = shard.target.service(service);
        if let Some(policy) = &self.spec.extra_calls {
            let allowed = match cause {
                AttemptCause::First => {
                    tables.extra_calls.on_first_call(target, policy);
                    true
                }
                AttemptCause::Retry(reason) if reason.is_unsent() => true,
                AttemptCause::Retry(_) | AttemptCause::Probe => {
                    tables.extra_calls.try_spend(target)
                }
                AttemptCause::Hedge => tables.extra_calls.try_spend_hedge(target, policy),
            };
            if !allowed {
                return false;
            }
        }
        if shard.sent_calls == 0 {
            let delay = tables.hedger.delay(service, kind, &self.spec.hedge);
            let delay = delay.or(self.spec.initial_hedge.filter(|_| kind.is_idempotent()));
            shard.hedge_at = delay.map(|delay| now + delay);
        }
        shard.sent_calls += 1;
        shard.round_servers.push(ServerId::clone(&pick.server));
        self.push_call(index, pick.server, cause, context, actions);
        true
    }

    /// Sends a copy of the first call to an ejected replica whose probe is due.
    pub(super) fn send_probe(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if !self.spec.kind.is_idempotent() {
            return;
        }
        let shard = &mut self.shards[index];
        let replicas = &shard.target.replicas;
        let probe = context.tables.replicas.take_probe(replicas, context.now);
        let Some(server) = probe else {
            return;
        };
        let target = shard.target.service(&self.spec.service);
        let budgets = &mut context.tables.extra_calls;
        let policy = self.spec.extra_calls.as_ref();
        let allowed = !shard.at_server_limit(&self.spec)
            && !shard.round_servers.contains(&server)
            && policy.is_none_or(|policy| budgets.try_spend_hedge(target, policy));
        if allowed {
            shard.round_servers.push(ServerId::clone(&server));
            self.push_call(index, server, AttemptCause::Probe, context, actions);
        }
    }

    fn push_call(
        &mut self,
        index: usize,
        server: ServerId,
        cause: AttemptCause,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        context.tables.replicas.on_send(&server);
        context.tables.replicas.use_permit(&server, context.now);
        let queue_wait = context.tables.replicas.queue_wait(&server, context.now);
        let overdue_after = self.usual_timeout(context) + queue_wait;
        let overdue_at = context.now + overdue_after;
        let give_up_at = context.now
            + (overdue_after * GIVE_UP_FACTOR).max(self.time_budget().mul_f64(GIVE_UP_SHARE));
        let id = self.next_attempt;
        self.next_attempt += 1;
        let shard = &mut self.shards[index];
        if !shard.called_servers.contains(&server) {
            shard.called_servers.push(ServerId::clone(&server));
        }
        shard.pending.push(Attempt {
            id,
            server: ServerId::clone(&server),
            sent_at: context.now,
            cause,
            overdue_at: (overdue_at < self.spec.deadline).then_some(overdue_at),
            give_up_at: Some(give_up_at),
        });
        actions.push(Action::Send {
            attempt: id,
            shard: shard.target.shard,
            server,
            cause,
            expected: ExpectedTimes {
                queue_wait,
                overdue_after,
            },
        });
    }

    /// Returns the time between the admission and the deadline of the request.
    fn time_budget(&self) -> Duration {
        let (started_at, deadline) = (self.spec.started_at, self.spec.deadline);
        deadline.saturating_duration_since(started_at)
    }

    fn usual_timeout(&self, context: &Context<'_>) -> Duration {
        let limit = self.time_budget().mul_f64(OVERDUE_SHARE);
        let hedger = &context.tables.hedger;
        let learned = hedger.overdue_after(&self.spec.service, self.spec.kind);
        learned.map_or(limit, |learned| learned.min(limit))
    }

    /// Cancels the calls of a shard, except for probes: the tables learn from their replies.
    pub(super) fn cancel_pending(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        for attempt in self.shards[index].pending.drain(..) {
            self.may_have_run = true;
            if attempt.cause == AttemptCause::Probe {
                continue;
            }
            let elapsed = context.now.saturating_duration_since(attempt.sent_at);
            let tables = &mut context.tables.replicas;
            tables.on_cancelled(&attempt.server, elapsed, context.now);
            actions.push(Action::Cancel {
                attempt: attempt.id,
                server: attempt.server,
            });
        }
    }
}
