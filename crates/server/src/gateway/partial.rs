//! Asking another VM for some shards of a search, and doing so for another VM.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{
    ids::{ServerId, ServiceId, ShardId, VmId},
    policy::{
        delegate::limit_replicas,
        gather::{GatherSpec, ShardTarget},
    },
    presets::{AnswerPolicy, KindPolicy},
    request::RequestKind,
    routes::{Route, RouteTarget, ShardSet},
    time::Millis,
    view::FleetView,
};
use cassialift_wire::peer::{PartialGather, PartialReply};
use displaydoc::Display;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use tarpc::context;
use tokio::{sync::oneshot, time::timeout};

use super::{
    Gateway,
    fan::{Fan, Fanned},
    inbound::{Inbound, printable},
    plan::{Delegation, Part, Plan, first_hedge},
    rests::{OpenSearch, Rest},
    trace::{Trace, TraceEnd},
};
use crate::{
    peers::{self, PeerError},
    timer::Timer,
};

/// How much later than it was told a VM may reply: the way there and back between regions, and the
/// lateness of a loaded VM. A reply that is thrown away takes the work of a whole group of shards
/// with it.
const REPLY_SLACK: Duration = Duration::from_millis(60);

/// Why a VM gave no reply for a delegation.
#[derive(Debug, Display)]
pub(super) enum DelegateError {
    /// {0}
    Peer(PeerError),
    /// no rest after an open reply: {0}
    Rest(PeerError),
    /// no reply in time
    Timeout,
}

impl DelegateError {
    /// Returns whether the VM certainly sent no call.
    pub(super) const fn is_unsent(&self) -> bool {
        match self {
            Self::Peer(error) => error.is_unsent(),
            Self::Rest(_) | Self::Timeout => false,
        }
    }
}

/// Asks a VM for the shards of a delegation.
pub(super) async fn ask(
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    inbound: Arc<Inbound>,
    vm: VmId,
    partial: PartialGather,
) -> Result<PartialReply, DelegateError> {
    let limit = partial.within.0 + REPLY_SLACK;
    let asking = async {
        let client = gateway.node.peers.client(&view, &vm).await?;
        peers::gather(&client, until(inbound.deadline), partial).await
    };
    let Ok(replied) = timeout(limit, asking).await else {
        return Err(DelegateError::Timeout);
    };
    replied.map_err(|error| {
        gateway.failed(&vm, &error);
        DelegateError::Peer(error)
    })
}

/// Asks a VM for what comes after its open reply.
pub(super) async fn ask_rest(
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    inbound: Arc<Inbound>,
    vm: VmId,
) -> Result<PartialReply, DelegateError> {
    let asking = async {
        let client = gateway.node.peers.client(&view, &vm).await?;
        peers::rest(&client, until(inbound.deadline), &inbound.attempt).await
    };
    // Whatever fails now, the VM has sent calls before.
    asking.await.map_err(|error| {
        gateway.failed(&vm, &error);
        DelegateError::Rest(error)
    })
}

fn until(deadline: Instant) -> context::Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}

/// Makes the question to the VM of a delegation.
pub(super) fn message(inbound: &Inbound, delegation: &Delegation) -> PartialGather {
    let route = &inbound.route;
    let (top, coverage) = match &route.target {
        RouteTarget::Shards(set) => (set.top, set.coverage),
        RouteTarget::Service(_) | RouteTarget::Split(_) => (0, 0.0),
    };
    let headers = inbound.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    let shards = delegation.targets.iter();
    let left = inbound.deadline.saturating_duration_since(Timer.now());
    PartialGather {
        attempt: inbound.attempt.to_vec(),
        method: inbound.method.to_string(),
        target: inbound.target.to_string(),
        headers: headers.collect(),
        route: Arc::clone(&route.name),
        shards: shards
            .filter_map(|target| Some((target.shard, target.service.clone()?)))
            .collect(),
        top,
        servers: route.servers,
        remaining: left.into(),
        within: delegation.within.saturating_sub(inbound.age()).into(),
        coverage,
    }
}

/// Reads a VM's reply; none if it includes a shard that was not asked for, or one twice.
pub(super) fn part(reply: PartialReply, targets: &[ShardTarget]) -> Option<Part> {
    let mut seen = HashSet::new();
    let asked = |shard: ShardId| targets.iter().any(|target| target.shard == shard);
    let sound = |(shard, _): &(ShardId, Vec<u8>)| asked(*shard) && seen.insert(*shard);
    if !reply.included.iter().all(sound) {
        return None;
    }
    let signatures = reply.included.iter();
    let signatures = signatures.map(|(_, signature)| HeaderValue::from_bytes(signature));
    Some(Part {
        shard: None,
        signatures: signatures.collect::<Result<_, _>>().ok()?,
        body: Bytes::from(reply.records),
    })
}

impl Gateway {
    fn failed(&self, vm: &VmId, error: &PeerError) {
        self.node
            .peers
            .on_call_failed(vm, error, &self.node.metrics);
    }

    /// Asks shards of a search for another VM and merges their parts.
    pub(crate) async fn gather_partial(self: Arc<Self>, partial: PartialGather) -> PartialReply {
        let started = Timer.now();
        let view = self.node.control.snapshot();
        let (Some(config), Some(inbound)) = (view.config.clone(), inbound(&partial, started))
        else {
            return PartialReply::empty(partial.attempt);
        };
        self.sync(&view, &config);
        self.node.metrics.count("gateway.partial");
        let route = &inbound.route;
        let mut targets = self.servers.targets(&route.name, &route.target, started);
        for (target, (shard, _)) in targets.iter_mut().zip(&partial.shards) {
            target.shard = *shard;
            let near = |server: &ServerId| self.servers.is_near(server, &view.own.centre);
            limit_replicas(
                &mut target.replicas,
                near,
                &partial.attempt,
                partial.servers,
            );
        }
        let preset = &config.policy;
        let policy = KindPolicy {
            answer: AnswerPolicy::Within {
                share: partial.coverage,
                time: partial.within,
            },
            ..KindPolicy::default()
        };
        let spec = GatherSpec {
            service: Arc::clone(&partial.route),
            kind: RequestKind::WideSearch,
            version: config.revision,
            shards: targets,
            started,
            deadline: inbound.deadline,
            hedge: preset.hedge,
            initial_hedge: first_hedge(&policy),
            policy,
            retry: preset.retry,
            extra_calls: Some(self.asked_repeat(partial.servers)),
        };
        let revision = config.revision;
        let plan = Plan {
            view,
            config,
            inbound: Arc::new(inbound),
            spec,
            delegations: Vec::new(),
        };
        let mut fan = Fan::new(Arc::clone(&self), plan);
        fan.start();
        let Some(mut fanned) = fan.run_until(started + partial.within.0).await else {
            return self.reply_open(fan, partial, started, revision);
        };
        log_partial(&partial, started, revision, &mut fanned);
        reply(partial.attempt, &fanned.parts, partial.top)
    }

    /// Replies with what is in, and goes on.
    fn reply_open(
        self: Arc<Self>,
        mut fan: Fan,
        partial: PartialGather,
        started: Instant,
        revision: u64,
    ) -> PartialReply {
        self.node.metrics.count("gateway.partial_open");
        let parts = fan.take_parts();
        let (waiter, ended) = oneshot::channel();
        let top = partial.top;
        self.rests
            .keep(partial.attempt.clone(), Rest { top, ended });
        let open = PartialReply {
            open: true,
            ..reply(partial.attempt.clone(), &parts, top)
        };
        tokio::spawn(async move {
            let search = OpenSearch {
                fan,
                attempt: partial.attempt.clone(),
                waiter,
            };
            let ended = |fanned: &mut Fanned| log_partial(&partial, started, revision, fanned);
            search.run(&self.rests, ended).await;
        });
        open
    }

    /// Waits for the rest of a search that an open reply was given for.
    pub(crate) async fn gather_rest(self: Arc<Self>, attempt: Vec<u8>) -> PartialReply {
        let Some(rest) = self.rests.claim(&attempt) else {
            return PartialReply::empty(attempt);
        };
        let Ok(fanned) = rest.ended.await else {
            return PartialReply::empty(attempt);
        };
        reply(attempt, &fanned.parts, rest.top)
    }
}

/// Makes a reply of parts.
fn reply(attempt: Vec<u8>, parts: &[Part], top: usize) -> PartialReply {
    let bodies = parts.iter().map(|part| &*part.body);
    let included = parts.iter().filter_map(|part| {
        let signature = part.signatures.first()?;
        Some((part.shard?, signature.as_bytes().to_vec()))
    });
    PartialReply {
        records: cassialift_core::records::merge(bodies, top),
        included: included.collect(),
        ..PartialReply::empty(attempt)
    }
}

/// Logs what this VM did for a request of another one; takes its decisions and coverage out.
fn log_partial(partial: &PartialGather, started: Instant, revision: u64, fanned: &mut Fanned) {
    let took = Timer.now().saturating_duration_since(started);
    let mut trace = Trace {
        id: printable(&partial.attempt),
        route: partial.route.to_string(),
        revision,
        counts: fanned.counts,
        coverage: std::mem::take(&mut fanned.end.coverage),
        decisions: std::mem::take(&mut fanned.decisions),
        ..Trace::new(started)
    };
    let service = |shard: ShardId| {
        let mut shards = partial.shards.iter();
        let (_, service) = shards.find(|(one, _)| *one == shard)?;
        Some(ServiceId::clone(service))
    };
    let missing = &trace.coverage.missing;
    trace.decisions.note_left_out(took, missing, service);
    trace.log(TraceEnd {
        event: "partial",
        status: 0,
        reason: "handed_over",
        took,
    });
}

/// Makes a request of a VM's message; none if it is no HTTP request.
fn inbound(partial: &PartialGather, started: Instant) -> Option<Inbound> {
    let mut headers = HeaderMap::new();
    for (name, value) in &partial.headers {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let services = partial.shards.iter().map(|(_, service)| service);
    let route = Route {
        name: Arc::clone(&partial.route),
        host: String::new(),
        prefix: String::new(),
        kind: RequestKind::WideSearch,
        target: RouteTarget::Shards(ShardSet {
            services: services.map(ServiceId::clone).collect(),
            top: partial.top,
            coverage: 0.0,
        }),
        timeout: partial.remaining,
        objective: Millis::default(),
        servers: partial.servers,
        priority: 0,
    };
    Some(Inbound {
        route: Arc::new(route),
        method: partial.method.parse().ok()?,
        target: partial.target.parse().ok()?,
        headers,
        body: Bytes::new(),
        attempt: Bytes::from(partial.attempt.clone()),
        started,
        deadline: started + partial.remaining.0,
    })
}
