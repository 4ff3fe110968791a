//! Requests under which backend servers have ended: refused, or tried on one shard first.

use std::sync::Arc;

use cassialift_core::{
    policy::{
        gather::{GatherOutcome, ShardTarget},
        poison::Verdict,
    },
    request::RefusalReason,
    view::{ConfigView, FleetView},
};

use super::{
    Gateway,
    answer::Refusal,
    decision::{self, Decision},
    fan_out::FanOut,
    forward::refusal,
    inbound::Inbound,
    trace::Trace,
};

impl Gateway {
    /// Refuses a request under which several backend servers have ended.
    pub(super) fn check_poison(
        &self,
        inbound: &Inbound,
        trace: &mut Trace,
    ) -> Result<Verdict, Refusal> {
        let fingerprint = inbound.fingerprint;
        let verdict = self.poison.verdict(fingerprint);
        if let Verdict::Poison(time) = verdict {
            let ends_ms = decision::millis(time);
            let poison = Decision::Poison {
                fingerprint,
                ends_ms,
            };
            trace.decisions.record(inbound.age(), poison);
            return Err(Refusal::not_run(RefusalReason::Poison, Some(time)));
        }
        Ok(verdict)
    }

    /// Calls one shard of a search under which backend servers have ended, and refuses the search unless
    /// the shard replies. The whole search could end a server of each shard.
    pub(super) async fn try_one_shard(
        self: &Arc<Self>,
        view: &Arc<FleetView>,
        config: &Arc<ConfigView>,
        inbound: &Arc<Inbound>,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        let Some(target) = targets.iter().find(|target| !target.replicas.is_empty()) else {
            return Ok(());
        };
        let trial = Decision::Trial {
            fingerprint: inbound.fingerprint,
            shard: target.shard,
        };
        trace.decisions.record(inbound.age(), trial);
        let targets = vec![target.clone()];
        let mut plan = self.plan(Arc::clone(view), Arc::clone(config), inbound, targets);
        plan.spec.retry.attempts = 1;
        if let Some(policy) = &mut plan.spec.extra_calls {
            policy.max_servers = 1;
        }
        let mut result = tokio::select! {
            result = FanOut::new(Arc::clone(self), plan).run() => result,
            () = self.wait_for_shutdown() => return Err(Refusal::unknown(RefusalReason::Leaving)),
        };
        trace.add(&mut result);
        if result.end.outcome != GatherOutcome::Answer {
            return Err(refusal(inbound, &result));
        }
        self.absolve(inbound.fingerprint);
        Ok(())
    }
}
