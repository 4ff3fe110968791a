//! The plan of a request: its policy, its budget of extra calls and its delegations to other VMs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cassialift_core::{
    ids::ShardId,
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

use super::{
    Gateway,
    inbound::Inbound,
    servers::{Delegation, Spread},
};

/// The part of a request's time that is reserved for the way back from a VM that searches shards
/// for it.
const DELEGATION_RETURN_MARGIN: Duration = Duration::from_millis(8);

/// The share of the time until the answer after which calls are hedged while their latency is
/// unknown; a second call then has time to end.
const INITIAL_HEDGE_SHARE: f64 = 0.4;

/// The share of a service's extra calls that a VM may send for shards delegated to it; the rest is
/// reserved for the delegating VM in case the other one fails.
const DELEGATE_SHARE: f64 = 0.85;

/// The share of the allowed extra calls that is used, since VMs may count each other wrongly.
const EXTRA_CALL_MARGIN: f64 = 0.85;

/// A part of an answer: from one shard, or merged from several by another VM.
#[derive(Clone, Debug)]
pub(super) struct Part {
    /// The shards that the records come from, each with the signature of its backend server.
    pub(super) shards: Vec<(ShardId, HeaderValue)>,
    /// The records of the part.
    pub(super) body: Bytes,
}

/// The data that a request runs under: its view, configuration, policy and delegations.
pub(super) struct Plan {
    pub(super) view: Arc<FleetView>,
    pub(super) config: Arc<ConfigView>,
    pub(super) inbound: Arc<Inbound>,
    pub(super) spec: GatherSpec,
    pub(super) delegations: Vec<Delegation>,
}

impl Gateway {
    /// Plans a request: which shards this VM searches itself, and under which policy.
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
        let policy = request_policy(route, preset.kind(route.kind), outside);
        let mut delegations = Vec::new();
        if matches!(route.target, RouteTarget::Shards(_)) && inbound.fits_message() {
            let reply_after = delegation_time(&policy, inbound);
            let outdated = self.outdated_vms(inbound);
            let request = Spread {
                view: &view,
                inbound,
                outdated: &outdated,
                capacity: self.settings.capacity(),
                reply_after,
            };
            delegations = self.servers.delegate(&request, &mut targets);
            delegations.extend(self.servers.spread(&request, &mut targets));
        }
        let spec = GatherSpec {
            service: Arc::clone(&route.name),
            kind: route.kind,
            version: config.position.revision,
            shards: targets,
            started_at: inbound.started_at,
            deadline: inbound.deadline,
            hedge: preset.hedge,
            initial_hedge: initial_hedge(&policy),
            policy,
            retry: preset.retry,
            extra_calls: Some(self.extra_calls(1.0, route.servers)),
        };
        self.credit_reserved(&delegations);
        Plan {
            view,
            config,
            inbound: Arc::clone(inbound),
            spec,
            delegations,
        }
    }

    /// Credits the extra calls for delegated shards that are reserved for this VM.
    fn credit_reserved(&self, delegations: &[Delegation]) {
        // Most requests delegate nothing and need no lock.
        if delegations.is_empty() {
            return;
        }
        let targets = delegations
            .iter()
            .flat_map(|delegation| &delegation.targets);
        let policy = self.extra_calls(1.0 - DELEGATE_SHARE, 1);
        self.with_tables(|tables| {
            for service in targets.filter_map(|target| target.service.as_ref()) {
                tables.extra_calls.on_first_call(service, &policy);
            }
        });
    }

    /// Returns the limits on the extra calls that this VM may send for shards delegated to it.
    pub(super) fn delegate_extra_calls(&self, servers: u32) -> ExtraCallPolicy {
        self.extra_calls(DELEGATE_SHARE, servers)
    }

    /// Returns the limits on extra calls through this VM, with `share` of the ratio.
    fn extra_calls(&self, share: f64, servers: u32) -> ExtraCallPolicy {
        let settings = &self.settings;
        let burst = settings.repeat_burst * EXTRA_CALL_MARGIN / f64::from(self.servers.peak_vms());
        ExtraCallPolicy {
            ratio: settings.repeat_ratio * EXTRA_CALL_MARGIN * share,
            burst,
            initial: if settings.first_start { burst } else { 0.0 },
            max_servers: servers,
        }
    }
}

/// Returns the delay of hedges before enough latencies were measured; `None` for no such hedges.
pub(super) fn initial_hedge(policy: &KindPolicy) -> Option<Duration> {
    match policy.answer {
        AnswerPolicy::Within { time, .. } => Some(time.0.mul_f64(INITIAL_HEDGE_SHARE)),
        AnswerPolicy::Wait | AnswerPolicy::Early { .. } => None,
    }
}

/// Returns the time after the request's start at which other VMs reply: the time of its answer,
/// less the way back.
pub(super) fn delegation_time(policy: &KindPolicy, inbound: &Inbound) -> Duration {
    let total = inbound
        .deadline
        .saturating_duration_since(inbound.started_at);
    let time = match policy.answer {
        AnswerPolicy::Within { time, .. } => time.0,
        AnswerPolicy::Wait | AnswerPolicy::Early { .. } => total,
    };
    time.min(total).saturating_sub(DELEGATION_RETURN_MARGIN)
}

/// Returns the policy of a request: the preset's, with the coverage and the answer time of a route
/// over shards.
fn request_policy(route: &Route, preset: KindPolicy, outside: Duration) -> KindPolicy {
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
