//! The calls that a gather sends and cancels.

use std::time::Duration;

use super::{
    machine::Gather,
    shard::Attempt,
    spec::{Action, AttemptCause, Context, SendBasis},
};
use crate::ids::ServerId;

/// The share of the deadline that makes a call overdue while no latencies are known.
const OVERDUE_SHARE: f64 = 0.25;
/// The multiple of the overdue time after which calls to replicas in bad standing are given up.
const HOPELESS_FACTOR: u32 = 2;
/// The share of the deadline before which they are not given up.
///
/// Replicas that were held up for a moment together with this process all look lost at once.
const HOPELESS_SHARE: f64 = 0.2;

impl Gather {
    /// Sends a call to the best untried replica; returns false when there is none.
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
        let excluded = shard.excluded(&self.spec);
        let pick = tables
            .replicas
            .choose(replicas, &excluded, now, context.rng);
        let Some(pick) = pick else {
            return false;
        };
        let useless = pick.last_resort || tables.replicas.is_busy(&pick.server, now);
        if cause == AttemptCause::Hedge && useless {
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
        if shard.sent == 0 {
            let delay = tables.hedger.delay(service, kind, &self.spec.hedge);
            let delay = delay.or(self.spec.initial_hedge.filter(|_| kind.is_repeatable()));
            shard.hedge_at = delay.map(|delay| now + delay);
        }
        shard.sent += 1;
        shard.tried.push(ServerId::clone(&pick.server));
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
        if !self.spec.kind.is_repeatable() {
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
        let allowed = !shard.is_full(&self.spec)
            && !shard.tried.contains(&server)
            && policy.is_none_or(|policy| budgets.try_spend_hedge(target, policy));
        if allowed {
            shard.tried.push(ServerId::clone(&server));
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
        let wait = context.tables.replicas.wait(&server, context.now);
        let overdue_after = self.usual_timeout(context) + wait;
        let overdue = context.now + overdue_after;
        let lost = context.now
            + (overdue_after * HOPELESS_FACTOR).max(self.whole().mul_f64(HOPELESS_SHARE));
        let id = self.next_attempt;
        self.next_attempt += 1;
        let shard = &mut self.shards[index];
        if !shard.asked.contains(&server) {
            shard.asked.push(ServerId::clone(&server));
        }
        shard.live.push(Attempt {
            id,
            server: ServerId::clone(&server),
            sent: context.now,
            cause,
            overdue: (overdue < self.spec.deadline).then_some(overdue),
            lost: Some(lost),
        });
        actions.push(Action::Send {
            attempt: id,
            shard: shard.target.shard,
            server,
            cause,
            basis: SendBasis {
                wait,
                overdue_after,
            },
        });
    }

    /// Returns the time that the request was given.
    fn whole(&self) -> Duration {
        let (started, deadline) = (self.spec.started, self.spec.deadline);
        deadline.saturating_duration_since(started)
    }

    fn usual_timeout(&self, context: &Context<'_>) -> Duration {
        let most = self.whole().mul_f64(OVERDUE_SHARE);
        let hedger = &context.tables.hedger;
        let usual = hedger.overdue(&self.spec.service, self.spec.kind);
        usual.map_or(most, |usual| usual.min(most))
    }

    /// Cancels the calls of a shard, but for probes, whose replies the tables learn from.
    pub(super) fn cancel_live(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        for attempt in self.shards[index].live.drain(..) {
            self.may_have_run = true;
            if attempt.cause == AttemptCause::Probe {
                continue;
            }
            let elapsed = context.now.saturating_duration_since(attempt.sent);
            let tables = &mut context.tables.replicas;
            tables.on_cancelled(&attempt.server, elapsed, context.now);
            actions.push(Action::Cancel {
                attempt: attempt.id,
                server: attempt.server,
            });
        }
    }
}
