//! Drives the policy's gather over HTTP: sends and cancels calls and keeps the replies.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::{
    ids::{AttemptId, ServerId, ShardId, VmId},
    policy::{
        gather::{Action, AttemptCause, Context, Gather, GatherEnd, GatherSpec, ShardTarget},
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::CallReport,
    },
    routes::RouteTarget,
    view::{ConfigView, FleetView},
};
use cassialift_wire::peer::PartialReply;
use hyper::header::HeaderValue;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
    time::timeout,
};

use super::{
    Gateway,
    call::{Call, CallEnd, Reply},
    inbound::Inbound,
    lanes::LaneRequest,
    partial::{self, DelegateError},
};
use crate::timer::Timer;

/// How long a call whose reply is no longer needed may keep its connection, which costs the
/// backend server more to open anew than most calls take to end.
const LINGER: Duration = Duration::from_millis(200);

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

/// How a request ended at the backend servers.
#[derive(Debug)]
pub(super) struct Fanned {
    pub(super) end: GatherEnd,
    /// The parts of the shards that are in.
    pub(super) parts: Vec<Part>,
    /// The last whole reply, where a single backend server answers.
    pub(super) reply: Option<Reply>,
    pub(super) counts: SendCounts,
}

/// The calls that a request took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SendCounts {
    pub(super) sent: u32,
    pub(super) hedges: u32,
    pub(super) retries: u32,
    pub(super) probes: u32,
}

/// A call without a reply.
struct Live {
    server: ServerId,
    task: AbortHandle,
    /// Tells the call that its reply is no longer needed.
    dismiss: oneshot::Sender<()>,
}

/// What a request under way is told.
enum Event {
    Call(Arrival),
    /// A VM replied for the delegation of this number, or did not.
    Delegated(usize, Result<PartialReply, DelegateError>),
}

/// What came of one call.
struct Arrival {
    attempt: AttemptId,
    shard: ShardId,
    outcome: CallOutcome,
    reply: Option<Reply>,
}

/// A request under way.
pub(super) struct Fan {
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    config: Arc<ConfigView>,
    inbound: Arc<Inbound>,
    gather: Gather,
    delegations: Vec<Delegation>,
    live: HashMap<AttemptId, Live>,
    asked: Vec<AbortHandle>,
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
    parts: Vec<Part>,
    reply: Option<Reply>,
    counts: SendCounts,
    end: Option<GatherEnd>,
}

impl Fan {
    pub(super) fn new(gateway: Arc<Gateway>, plan: Plan) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            gateway,
            view: plan.view,
            config: plan.config,
            inbound: plan.inbound,
            gather: Gather::new(plan.spec),
            delegations: plan.delegations,
            live: HashMap::new(),
            asked: Vec::new(),
            events,
            sender,
            parts: Vec::new(),
            reply: None,
            counts: SendCounts::default(),
            end: None,
        }
    }

    /// Runs the request to its end; dropping the future cancels its calls.
    pub(super) async fn run(mut self) -> Fanned {
        self.delegate();
        let actions = self.step(Gather::start);
        self.act(actions);
        loop {
            if let Some(end) = self.end.take() {
                return Fanned {
                    end,
                    parts: std::mem::take(&mut self.parts),
                    reply: self.reply.take(),
                    counts: self.counts,
                };
            }
            let due = self.gather.next_timer().unwrap_or(self.inbound.deadline);
            tokio::select! {
                Some(event) = self.events.recv() => match event {
                    Event::Call(arrival) => self.on_arrival(arrival),
                    Event::Delegated(index, reply) => self.on_delegated(index, reply),
                },
                () = Timer.at(due) => {
                    let actions = self.step(Gather::on_timer);
                    self.act(actions);
                }
            }
        }
    }

    /// Hands the shards of each delegation to its VM.
    fn delegate(&mut self) {
        for (index, delegation) in self.delegations.iter().enumerate() {
            let shards = delegation.targets.iter().map(|target| target.shard);
            self.gather.delegate(shards.collect());
            let asking = partial::ask(
                Arc::clone(&self.gateway),
                Arc::clone(&self.view),
                Arc::clone(&self.inbound),
                delegation.clone(),
            );
            let sender = self.sender.clone();
            let asked = tokio::spawn(async move {
                // The request has ended if nobody receives.
                drop(sender.send(Event::Delegated(index, asking.await)));
            });
            self.asked.push(asked.abort_handle());
        }
    }

    /// Takes in what a VM replied; shards that it did not include are asked directly.
    fn on_delegated(&mut self, index: usize, reply: Result<PartialReply, DelegateError>) {
        let mut targets = std::mem::take(&mut self.delegations[index].targets);
        let repeated = !matches!(&reply, Err(error) if error.is_unsent());
        if let Err(error) = &reply {
            let vm = &self.delegations[index].vm;
            self.gateway.node.metrics.count("gateway.delegation_failed");
            log::info!(
                target: "request",
                "event=delegation_failed id={} vm={vm} shards={} cause=\"{error}\" after_ms={}",
                self.inbound.id(),
                targets.len(),
                self.inbound.age().as_millis(),
            );
            self.gateway.servers.shun(vm, Timer.now());
        }
        let mut actions = Vec::new();
        if let Ok(reply) = reply {
            let shards: Vec<_> = reply.included.iter().map(|(shard, _)| *shard).collect();
            let part = partial::part(reply, &targets);
            if let Some(part) = part
                && self.step(|gather, context| gather.on_delegated(&shards, context, &mut actions))
            {
                self.parts.push(part);
                targets.retain(|target| !shards.contains(&target.shard));
            }
        }
        if !targets.is_empty() {
            self.step(|gather, context| gather.adopt(targets, repeated, context, &mut actions));
        }
        self.act(actions);
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let Arrival {
            attempt,
            shard,
            outcome,
            reply,
        } = arrival;
        self.live.remove(&attempt);
        let mut actions = Vec::new();
        let included =
            self.step(|gather, context| gather.on_reply(attempt, outcome, context, &mut actions));
        match (&self.inbound.route.target, reply) {
            (RouteTarget::Shards(_), Some(reply)) if included => {
                self.parts.push(Part {
                    shard: Some(shard),
                    signatures: reply.signature.into_iter().collect(),
                    body: reply.body,
                });
            }
            (RouteTarget::Shards(_), _) | (_, None) => {}
            (RouteTarget::Service(_) | RouteTarget::Split(_), Some(reply)) => {
                self.reply = Some(reply);
            }
        }
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    shard,
                    server,
                    cause,
                } => self.send(attempt, shard, server, cause),
                Action::Cancel { attempt, .. } => {
                    if let Some(live) = self.live.remove(&attempt) {
                        // The call has ended already if it does not listen.
                        let _ = live.dismiss.send(());
                    }
                }
                // Backend servers of this kind hold one version each.
                Action::Stall { .. } => {}
                Action::Finish(end) => self.end = Some(end),
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, shard: ShardId, server: ServerId, cause: AttemptCause) {
        self.note_send(shard, &server, cause);
        let repeatable = self.inbound.route.kind.is_repeatable();
        let (dismiss, dismissed) = oneshot::channel();
        let run = OneCall {
            gateway: Arc::clone(&self.gateway),
            config: Arc::clone(&self.config),
            inbound: Arc::clone(&self.inbound),
            server: ServerId::clone(&server),
            version: self.gather.version(),
            fresh: !repeatable,
        };
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            if let Some((outcome, reply)) = run.run(dismissed).await {
                // The request has ended if nobody receives.
                drop(sender.send(Event::Call(Arrival {
                    attempt,
                    shard,
                    outcome,
                    reply,
                })));
            }
        });
        let task = task.abort_handle();
        let live = Live {
            server,
            task,
            dismiss,
        };
        self.live.insert(attempt, live);
    }

    fn note_send(&mut self, shard: ShardId, server: &ServerId, cause: AttemptCause) {
        self.counts.sent += 1;
        let metrics = &self.gateway.node.metrics;
        let why = match cause {
            AttemptCause::First => {
                metrics.count("gateway.first");
                return;
            }
            AttemptCause::Hedge => {
                self.counts.hedges += 1;
                metrics.count("gateway.hedge");
                "hedge".to_owned()
            }
            AttemptCause::Retry(reason) => {
                self.counts.retries += 1;
                metrics.count(reason.counter());
                reason.to_string()
            }
            AttemptCause::Probe => {
                self.counts.probes += 1;
                metrics.count("gateway.probe");
                "probe".to_owned()
            }
        };
        log::debug!(
            target: "request",
            "event=extra_call id={} route={} shard={shard} server={server} cause=\"{why}\" after_ms={}",
            self.inbound.id(),
            self.inbound.route.name,
            self.inbound.age().as_millis(),
        );
    }

    /// Takes one step of the policy under its lock.
    fn step<R>(&mut self, run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R) -> R {
        let mut rng = rand::rng();
        let gather = &mut self.gather;
        self.gateway.decide(|tables| {
            let mut context = Context {
                tables,
                now: Timer.now(),
                rng: &mut rng,
            };
            run(gather, &mut context)
        })
    }
}

impl Drop for Fan {
    /// Cancels the calls of a request that was dropped, as when its caller has gone.
    fn drop(&mut self) {
        let now = Timer.now();
        for live in self.live.values() {
            live.task.abort();
        }
        for asked in &self.asked {
            asked.abort();
        }
        let live = &self.live;
        self.gateway.decide(|tables| {
            for live in live.values() {
                let replicas = &mut tables.replicas;
                replicas.on_cancelled(&live.server, Duration::ZERO, now);
            }
        });
    }
}

/// One call of a request.
struct OneCall {
    gateway: Arc<Gateway>,
    config: Arc<ConfigView>,
    inbound: Arc<Inbound>,
    server: ServerId,
    version: u64,
    fresh: bool,
}

impl OneCall {
    /// Runs the call and reports it to the policy; none if it was dismissed before its reply.
    async fn run(
        self,
        mut dismissed: oneshot::Receiver<()>,
    ) -> Option<(CallOutcome, Option<Reply>)> {
        let began = Timer.now();
        let sent = AtomicBool::new(false);
        let ended = {
            let mut calling = std::pin::pin!(self.call(&sent));
            tokio::select! {
                end = calling.as_mut() => Some(end),
                _ = &mut dismissed => {
                    if sent.load(Ordering::Relaxed) {
                        // Only the connection is worth the wait.
                        drop(timeout(LINGER, calling).await);
                    }
                    None
                }
            }
        };
        let (outcome, reply) = self.classify(ended?);
        self.report(outcome, began);
        Some((outcome, reply))
    }

    async fn call(&self, sent: &AtomicBool) -> CallEnd {
        let gateway = &self.gateway;
        let Some(found) = gateway.servers.address(&self.server, &self.config) else {
            return CallEnd::NotRun(NotRunCause::Leaving);
        };
        let call = Call {
            inbound: Arc::clone(&self.inbound),
            lane: LaneRequest {
                server: ServerId::clone(&self.server),
                address: found.address,
                most: found.connections,
                attempt: self.inbound.attempt.clone(),
                fresh: self.fresh,
            },
            deadline: self.inbound.deadline,
        };
        call.run(&gateway.lanes, gateway.dialect.headers(), sent)
            .await
    }

    fn classify(&self, end: CallEnd) -> (CallOutcome, Option<Reply>) {
        let reply = match end {
            CallEnd::Reply(reply) => reply,
            CallEnd::NotRun(cause) => return (CallOutcome::NotRun(cause), None),
            CallEnd::Unknown(cause) => return (CallOutcome::Unknown(cause), None),
        };
        let route = &self.inbound.route;
        let is_part = matches!(route.target, RouteTarget::Shards(_));
        let failed = if is_part {
            !reply.status.is_success()
        } else {
            reply.status.is_server_error() && route.kind.is_repeatable()
        };
        if failed {
            // The backend server ran it and failed; another may not.
            let outcome = CallOutcome::Unknown(UnknownCause::BadReply);
            return (outcome, Some(reply));
        }
        (CallOutcome::Done(self.version), Some(reply))
    }

    fn report(&self, outcome: CallOutcome, began: Instant) {
        let now = Timer.now();
        let report = CallReport {
            outcome,
            latency: now.saturating_duration_since(began),
            queued: Some(self.gateway.lanes.waiting(&self.server)),
            wait: Duration::ZERO,
        };
        let route = &self.inbound.route;
        self.gateway.decide(|tables| {
            tables.on_report(&route.name, route.kind, &self.server, &report, now);
        });
    }
}
