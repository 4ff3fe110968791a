//! What a request goes by: its policy, its budget, and which shards another VM asks.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassialift_core::{
    ids::{ShardId, VmId},
    policy::{
        extra_calls::ExtraCallPolicy,
        gather::{GatherSpec, ShardTarget},
    },
    presets::{AnswerPolicy, KindPolicy},
    routes::{Route, RouteTarget},
    time::Millis,
    view::{ConfigView, FleetView},
};
use hyper::header::HeaderValue;

use super::{Gateway, inbound::Inbound};

/// What of a request's time is kept for the way back from a VM that asked shards for it.
const DELEGATION_RETURN: Duration = Duration::from_millis(8);

/// The share of the time until an answer after which calls are hedged while it is not known how
/// long they take: a second call has time to end.
const FIRST_HEDGE_SHARE: f64 = 0.4;

/// The share of a service's extra calls that the VM which asks a delegated shard may send; the
/// rest is for the VM that delegated it, should the other one fail.
const ASKED_SHARE: f64 = 0.85;

/// The share of the allowed extra calls that is used: VMs may count each other wrongly.
const REPEAT_MARGIN: f64 = 0.85;

/// A part of an answer: of one shard, or of several that another VM merged.
#[derive(Clone, Debug)]
pub(super) struct Part {
    /// The shard; none when the part was merged of several.
    pub(super) shard: Option<ShardId>,
    /// The signatures of the backend servers whose records it holds.
    pub(super) signatures: Vec<HeaderValue>,
    /// Records.
    pub(super) body: Bytes,
}

/// Shards that another VM is to ask.
#[derive(Clone, Debug)]
pub(super) struct Delegation {
    pub(super) vm: VmId,
    pub(super) targets: Vec<ShardTarget>,
    /// How long after its start the request waits for what the VM has by then.
    pub(super) within: Duration,
}

/// What a request goes by: what it was admitted under, and how it is decided.
pub(super) struct Plan {
    pub(super) view: Arc<FleetView>,
    pub(super) config: Arc<ConfigView>,
    pub(super) inbound: Arc<Inbound>,
    pub(super) spec: GatherSpec,
    pub(super) delegations: Vec<Delegation>,
}

impl Gateway {
    /// Decides which shards this VM asks itself, and how.
    pub(super) fn plan(
        &self,
        view: Arc<FleetView>,
        config: Arc<ConfigView>,
        inbound: &Arc<Inbound>,
        mut targets: Vec<ShardTarget>,
    ) -> Plan {
        let route = &inbound.route;
        let preset = &config.policy;
        let outside = self.settings.outside.0;
        let policy = policy(route, preset.kind(route.kind), outside);
        let mut delegations = Vec::new();
        if matches!(route.target, RouteTarget::Shards(_)) {
            let within = delegation_time(&policy, inbound);
            let delegated = self.servers.delegate(&view, inbound, &mut targets);
            delegations.extend(delegated.into_iter().map(|(vm, targets)| Delegation {
                vm,
                targets,
                within,
            }));
        }
        let spec = GatherSpec {
            service: Arc::clone(&route.name),
            kind: route.kind,
            version: config.revision,
            shards: targets,
            started: inbound.started,
            deadline: inbound.deadline,
            hedge: preset.hedge,
            initial_hedge: first_hedge(&policy),
            policy,
            retry: preset.retry,
            extra_calls: Some(self.repeat(1.0, route.servers)),
        };
        self.earn(&delegations);
        Plan {
            view,
            config,
            inbound: Arc::clone(inbound),
            spec,
            delegations,
        }
    }

    /// Earns the extra calls for delegated shards that are left to this VM.
    fn earn(&self, delegations: &[Delegation]) {
        // Most requests delegate nothing; those take no lock.
        if delegations.is_empty() {
            return;
        }
        let targets = delegations.iter().flat_map(|one| &one.targets);
        let policy = self.repeat(1.0 - ASKED_SHARE, 1);
        self.decide(|tables| {
            for service in targets.filter_map(|target| target.service.as_ref()) {
                tables.extra_calls.on_first_call(service, &policy);
            }
        });
    }

    /// Returns the extra calls that this VM may send for shards that another one delegated to it.
    pub(super) fn asked_repeat(&self, servers: u32) -> ExtraCallPolicy {
        self.repeat(ASKED_SHARE, servers)
    }

    /// Returns a share of the extra calls that a service may get through this VM.
    fn repeat(&self, share: f64, servers: u32) -> ExtraCallPolicy {
        let settings = &self.settings;
        let burst = settings.repeat_burst * REPEAT_MARGIN / f64::from(self.servers.vms());
        ExtraCallPolicy {
            ratio: settings.repeat_ratio * REPEAT_MARGIN * share,
            burst,
            initial: if settings.first_start { burst } else { 0.0 },
            max_servers: servers,
        }
    }
}

/// Returns after how long calls are hedged before enough latencies were seen.
pub(super) fn first_hedge(policy: &KindPolicy) -> Option<Duration> {
    match policy.answer {
        AnswerPolicy::Within { time, .. } => Some(time.0.mul_f64(FIRST_HEDGE_SHARE)),
        AnswerPolicy::Wait | AnswerPolicy::Early { .. } => None,
    }
}

/// Returns how long after its start a request waits for what other VMs have by then: until it is
/// answered, less the way back.
fn delegation_time(policy: &KindPolicy, inbound: &Inbound) -> Duration {
    let whole = inbound.deadline.saturating_duration_since(inbound.started);
    let time = match policy.answer {
        AnswerPolicy::Within { time, .. } => time.0,
        AnswerPolicy::Wait | AnswerPolicy::Early { .. } => whole,
    };
    time.min(whole).saturating_sub(DELEGATION_RETURN)
}

/// Returns the policy of a request: the preset's, and of the route how much an answer must cover
/// and until when it waits for the rest.
fn policy(route: &Route, preset: KindPolicy, outside: Duration) -> KindPolicy {
    let RouteTarget::Shards(set) = &route.target else {
        return preset;
    };
    let objective = route.objective.0;
    let time = objective.saturating_sub(outside).max(objective / 2);
    let answer = if objective.is_zero() {
        AnswerPolicy::Wait
    } else {
        let share = set.coverage;
        let time = Millis(time);
        AnswerPolicy::Within { share, time }
    };
    KindPolicy {
        coverage: set.coverage,
        answer,
        ..preset
    }
}
