//! Partial searches: requests to another VM for some shards, and searches of shards for another VM.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{
    ids::{ServerId, ServiceId, ShardId, VmId},
    policy::gather::{GatherSpec, ShardTarget},
    presets::{AnswerPolicy, KindPolicy},
    request::RequestKind,
    routes::{Route, RouteTarget, ShardSet},
    time::Millis,
    view::FleetView,
};
use cassialift_wire::peer::{GatherWithBody, PartialGather, PartialReply, RestRequest, version};
use displaydoc::Display;
use hyper::header::HeaderValue;

use super::{
    Gateway,
    body_memory::BodyShare,
    continuations::{ContinuedSearch, SearchId},
    exchange::is_list_entry,
    fan_out::{FanOut, FanOutResult},
    inbound::{Inbound, PeerRequest, header_pairs, printable},
    plan::{Part, Plan, delegation_time, initial_hedge},
    servers::{Delegation, Spread},
    trace::{Trace, TraceEnd},
};
use crate::{
    peers::{self, PeerError},
    timer::Timer,
};

/// How long after its time a VM's first reply is awaited at least before its shards are called
/// directly: a round trip between regions and the delays of a loaded VM.
const REPLY_SLACK: Duration = Duration::from_millis(60);
/// The same, as a share of the time until the last reply.
const REPLY_SLACK_SHARE: f64 = 0.25;
/// The share of the time until the last reply after which a VM sends its first one, so that the shards
/// of a VM that sends none can still be called directly in time.
const FIRST_REPLY_SHARE: f64 = 0.5;

/// Why a VM gave no usable reply to a delegation.
#[derive(Debug, Display)]
pub(super) enum DelegateError {
    /// {0}
    Peer(PeerError),
    /// no rest after an interim reply: {0}
    Rest(PeerError),
    /// no reply in time
    Timeout,
    /// the VM calls no backend server for the search
    Declined,
}

impl DelegateError {
    /// Returns whether the VM certainly sent no calls to backend servers.
    pub(super) const fn is_unsent(&self) -> bool {
        match self {
            Self::Peer(error) => error.is_unsent(),
            Self::Declined => true,
            Self::Rest(_) | Self::Timeout => false,
        }
    }

    /// Returns whether the VM is of too early a version for the search.
    pub(super) const fn is_outdated(&self) -> bool {
        matches!(self, Self::Peer(PeerError::Outdated(_)))
    }
}

/// Requests the shards of a delegation from a VM.
pub(super) async fn request_partial(
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    inbound: Arc<Inbound>,
    vm: VmId,
    partial: PartialGather,
) -> Result<PartialReply, DelegateError> {
    let request = async {
        let version = inbound.message_version();
        let client = gateway.node.peers.client_reading(version, &view, &vm);
        let client = client.await?;
        let context = peers::context_until(inbound.deadline);
        if version < version::WITH_BODIES {
            return peers::gather(&client, context, partial).await;
        }
        let search = GatherWithBody {
            gather: partial,
            body: inbound.body.clone(),
        };
        peers::gather_with_body(&client, context, search).await
    };
    let reply = request.await.map_err(|error| {
        gateway.on_call_failed(&vm, &error);
        DelegateError::Peer(error)
    })?;
    if reply.detached {
        return Err(DelegateError::Declined);
    }
    Ok(reply)
}

/// Requests the rest of a search from a VM after its interim reply.
pub(super) async fn request_continuation(
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    inbound: Arc<Inbound>,
    vm: VmId,
    search: SearchId,
) -> Result<PartialReply, DelegateError> {
    let rest = RestRequest {
        attempt: inbound.attempt.to_vec(),
        search,
    };
    let request = async {
        let client = gateway.node.peers.client(&view, &vm).await?;
        peers::rest(&client, peers::context_until(inbound.deadline), &rest).await
    };
    // Every error is a `DelegateError::Rest`, since the VM sent calls before its interim reply.
    request.await.map_err(|error| {
        gateway.on_call_failed(&vm, &error);
        DelegateError::Rest(error)
    })
}

/// Returns the time after which the first reply of a VM is overdue.
pub(super) fn first_reply_limit(partial: &PartialGather) -> Duration {
    let slack = partial.reply_after.0.mul_f64(REPLY_SLACK_SHARE);
    first_reply_after(partial) + slack.max(REPLY_SLACK)
}

/// Returns the time after which a VM replies with the shards that it has by then, and continues with
/// the others.
fn first_reply_after(partial: &PartialGather) -> Duration {
    partial.reply_after.0.mul_f64(FIRST_REPLY_SHARE)
}

/// Returns the request to the VM of a delegation.
pub(super) fn partial_request(inbound: &Inbound, delegation: &Delegation) -> PartialGather {
    let route = &inbound.route;
    let (top, coverage) = match &route.target {
        RouteTarget::Shards(set) => (set.top, set.coverage),
        RouteTarget::Service(_) | RouteTarget::Split(_) => (0, 0.0),
    };
    let shards = delegation.targets.iter();
    let remaining = inbound.deadline.saturating_duration_since(Timer.now());
    PartialGather {
        attempt: inbound.attempt.to_vec(),
        method: inbound.method.to_string(),
        target: inbound.target.to_string(),
        headers: header_pairs(&inbound.headers),
        route: Arc::clone(&route.name),
        shards: shards
            .filter_map(|target| Some((target.shard, target.service.clone()?)))
            .collect(),
        top,
        max_servers: route.servers,
        remaining: remaining.into(),
        reply_after: delegation.reply_after.saturating_sub(inbound.age()).into(),
        spread: delegation.spread,
        min_coverage: coverage,
    }
}

/// Returns the part in a VM's reply; `None` if it includes a shard that was not requested, a shard
/// twice or an invalid signature.
pub(super) fn checked_part(reply: PartialReply, targets: &[ShardTarget]) -> Option<Part> {
    let mut seen = HashSet::new();
    let is_requested = |shard: ShardId| targets.iter().any(|target| target.shard == shard);
    let is_valid = |(shard, _): &(ShardId, Vec<u8>)| is_requested(*shard) && seen.insert(*shard);
    if !reply.included.iter().all(is_valid) {
        return None;
    }
    let shards = reply.included.iter().map(|(shard, signature)| {
        let signature = HeaderValue::from_bytes(signature).ok()?;
        is_list_entry(&signature).then_some((*shard, signature))
    });
    Some(Part {
        shards: shards.collect::<Option<_>>()?,
        body: Bytes::from(reply.records),
    })
}

impl Gateway {
    /// Returns the VMs that are known to read too early a version of the messages to work for a request.
    pub(super) fn outdated_vms(&self, inbound: &Inbound) -> HashSet<VmId> {
        self.node.peers.outdated(inbound.message_version())
    }

    pub(super) fn on_call_failed(&self, vm: &VmId, error: &PeerError) {
        self.node
            .peers
            .on_call_failed(vm, error, &self.node.metrics);
    }

    /// Searches shards for another VM and merges their parts; `body` is `None` if the VM's message has no
    /// room for one.
    pub(crate) async fn gather_partial(
        self: Arc<Self>,
        partial: PartialGather,
        body: Option<Bytes>,
    ) -> PartialReply {
        let started_at = Timer.now();
        if self.reach.is_detached() {
            return declined(partial.attempt);
        }
        let view = self.node.control.snapshot();
        let may_lack_body = body.is_none();
        let body = body.unwrap_or_default();
        let Ok(body_share) = self.bodies.reserve(body.len()) else {
            return declined(partial.attempt);
        };
        let inbound = inbound(&partial, body, body_share, started_at);
        let (Some(config), Some(inbound)) = (view.config.clone(), inbound) else {
            return PartialReply::empty(partial.attempt);
        };
        if may_lack_body && inbound.suggests_body() {
            // VMs of versions that know no bodies send such searches without theirs.
            self.node.metrics.count("gateway.partial_declined");
            log_declined(&partial, started_at);
            return declined(partial.attempt);
        }
        self.sync(&view, &config);
        self.node.metrics.count("gateway.partial");
        let route = &inbound.route;
        let mut targets = self.servers.targets(&route.name, &route.target, started_at);
        for (target, (shard, _)) in targets.iter_mut().zip(&partial.shards) {
            target.shard = *shard;
        }
        self.with_tables(|tables| {
            let now = Timer.now();
            let accepts = |server: &ServerId| tables.replicas.accepts_calls(server, now);
            self.servers
                .limit_replicas(&view, &inbound, &mut targets, accepts);
        });
        let preset = &config.policy;
        let policy = KindPolicy {
            answer: AnswerPolicy::Within {
                share: partial.min_coverage,
                time: partial.reply_after,
            },
            ..KindPolicy::default()
        };
        let mut delegations = Vec::new();
        if partial.spread && inbound.fits_message() {
            let outdated = self.outdated_vms(&inbound);
            let request = Spread {
                view: &view,
                inbound: &inbound,
                outdated: &outdated,
                capacity: self.settings.capacity(),
                reply_after: delegation_time(&policy, &inbound),
            };
            delegations = self.servers.spread(&request, &mut targets);
        }
        let spec = GatherSpec {
            service: Arc::clone(&partial.route),
            kind: RequestKind::WideSearch,
            version: config.position.revision,
            shards: targets,
            started_at,
            deadline: inbound.deadline,
            hedge: preset.hedge,
            initial_hedge: initial_hedge(&policy),
            policy,
            retry: preset.retry,
            extra_calls: Some(self.delegate_extra_calls(partial.max_servers)),
        };
        let run = PartialRun {
            started_at,
            revision: config.position.revision,
            body_bytes: inbound.body.len(),
        };
        let plan = Plan {
            view,
            config,
            inbound: Arc::new(inbound),
            spec,
            delegations,
        };
        let mut fan_out = FanOut::new(Arc::clone(&self), plan);
        fan_out.start();
        let Some(mut result) = fan_out
            .run_until(started_at + first_reply_after(&partial))
            .await
        else {
            return self.reply_interim(fan_out, partial, run);
        };
        log_partial(&partial, run, &mut result);
        let parts = std::mem::take(&mut result.parts);
        PartialReply {
            leaving: result.leaving,
            ..merged_reply(partial.attempt, &parts, partial.top)
        }
    }

    /// Returns an interim reply with the shards included so far and continues the search.
    fn reply_interim(
        self: Arc<Self>,
        mut fan_out: FanOut,
        partial: PartialGather,
        run: PartialRun,
    ) -> PartialReply {
        self.node.metrics.count("gateway.partial_open");
        let parts = fan_out.take_parts();
        let leaving = fan_out.take_leaving();
        let attempt = partial.attempt.clone();
        let search = ContinuedSearch::new(&self.continuations, attempt, partial.top, fan_out);
        let reply = PartialReply {
            pending: true,
            leaving,
            search: search.id(),
            ..merged_reply(partial.attempt.clone(), &parts, partial.top)
        };
        tokio::spawn(async move {
            let on_end = |result: &mut FanOutResult| log_partial(&partial, run, result);
            search.run(&self.continuations, on_end).await;
        });
        reply
    }

    /// Waits for more shards of a search after its interim reply, and returns them.
    pub(crate) async fn gather_rest(self: Arc<Self>, request: RestRequest) -> PartialReply {
        let Some(rest) = self.continuations.next(&request).await else {
            return PartialReply::empty(request.attempt);
        };
        PartialReply {
            pending: rest.pending,
            leaving: rest.leaving,
            search: request.search,
            ..merged_reply(request.attempt, &rest.parts, rest.top)
        }
    }
}

/// Merges parts into a reply.
fn merged_reply(attempt: Vec<u8>, parts: &[Part], top: usize) -> PartialReply {
    let bodies = parts.iter().map(|part| &*part.body);
    let shards = parts.iter().flat_map(|part| &part.shards);
    let included = shards.map(|(shard, signature)| (*shard, signature.as_bytes().to_vec()));
    PartialReply {
        records: cassialift_core::records::merge(bodies, top),
        included: included.collect(),
        ..PartialReply::empty(attempt)
    }
}

/// What the log says about the work for another VM's request, apart from its result.
#[derive(Clone, Copy, Debug)]
struct PartialRun {
    started_at: Instant,
    revision: u64,
    body_bytes: usize,
}

/// Returns the reply to a search for which no backend server is called.
fn declined(attempt: Vec<u8>) -> PartialReply {
    PartialReply {
        detached: true,
        ..PartialReply::empty(attempt)
    }
}

/// Returns the trace of work for another VM's request.
fn partial_trace(partial: &PartialGather, started_at: Instant) -> Trace {
    Trace {
        id: printable(&partial.attempt),
        route: partial.route.to_string(),
        ..Trace::new(started_at)
    }
}

/// Logs that a search is declined, since its body may have been left out.
fn log_declined(partial: &PartialGather, started_at: Instant) {
    partial_trace(partial, started_at).log(TraceEnd {
        event: "partial",
        status: 0,
        reason: "body_unknown",
        took: Timer.now().saturating_duration_since(started_at),
    });
}

/// Logs the work for another VM's request; moves the decisions and the coverage out of `result`.
fn log_partial(partial: &PartialGather, run: PartialRun, result: &mut FanOutResult) {
    let took = Timer.now().saturating_duration_since(run.started_at);
    let mut trace = Trace {
        revision: run.revision,
        body_bytes: run.body_bytes,
        counts: result.counts,
        coverage: std::mem::take(&mut result.end.coverage),
        decisions: std::mem::take(&mut result.decisions),
        ..partial_trace(partial, run.started_at)
    };
    let service = |shard: ShardId| {
        let mut shards = partial.shards.iter();
        let (_, service) = shards.find(|(other, _)| *other == shard)?;
        Some(ServiceId::clone(service))
    };
    let missing = &trace.coverage.missing;
    trace.decisions.record_left_out(took, missing, service);
    trace.log(TraceEnd {
        event: "partial",
        status: 0,
        reason: "handed_over",
        took,
    });
}

/// Builds a request from a VM's message; `None` if the message is not a valid HTTP request.
fn inbound(
    partial: &PartialGather,
    body: Bytes,
    body_share: BodyShare,
    started_at: Instant,
) -> Option<Inbound> {
    let services = partial.shards.iter().map(|(_, service)| service);
    let route = Route {
        name: Arc::clone(&partial.route),
        host: String::new(),
        prefix: String::new(),
        kind: RequestKind::WideSearch,
        target: RouteTarget::Shards(ShardSet {
            services: services.map(ServiceId::clone).collect(),
            top: partial.top,
            coverage: partial.min_coverage,
        }),
        timeout: partial.remaining,
        objective: Millis::default(),
        servers: partial.max_servers,
        priority: 0,
    };
    let request = PeerRequest {
        method: &partial.method,
        target: &partial.target,
        headers: &partial.headers,
        body,
        attempt: &partial.attempt,
    };
    let remaining = partial.remaining.0;
    Inbound::from_peer(request, route, body_share, started_at, remaining)
}
