//! Drives the policy's gather over HTTP: sends and cancels calls and keeps the replies.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassialift_core::{
    ids::{AttemptId, ServerId, ShardId},
    policy::{
        gather::{Action, AttemptCause, Context, Gather, GatherEnd},
        outcome::CallOutcome,
    },
    routes::RouteTarget,
    view::{ConfigView, FleetView},
};
use cassialift_wire::peer::PartialReply;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
};

use super::{
    Gateway,
    call::Reply,
    inbound::Inbound,
    one_call::OneCall,
    partial::{self, DelegateError},
    plan::{Delegation, Part, Plan},
};
use crate::timer::Timer;

/// The most notes on one log line.
const MOST_NOTES: usize = 24;

/// How a request ended at the backend servers.
#[derive(Debug)]
pub(super) struct Fanned {
    pub(super) end: GatherEnd,
    /// The parts of the shards that are in.
    pub(super) parts: Vec<Part>,
    /// The last whole reply, where a single backend server answers.
    pub(super) reply: Option<Reply>,
    pub(super) counts: SendCounts,
    /// What a log line tells of the calls that were not first ones.
    pub(super) notes: Vec<String>,
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
    notes: Vec<String>,
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
            notes: Vec::new(),
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
                    notes: std::mem::take(&mut self.notes),
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
            let shards = delegation.targets.len();
            self.notes.push(format!("{shards}:asked:{}", delegation.vm));
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
        let after = self.inbound.age().as_millis();
        self.note(format!("{shard}:{why}:{server}:{after}ms"));
    }

    /// Keeps something for the request's log line, up to a bound.
    fn note(&mut self, text: String) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push(text);
        }
    }

    /// Takes one step of the policy under its lock.
    fn step<R>(&mut self, run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R) -> R {
        let node = &self.gateway.node;
        node.policy.step(node, &mut self.gather, run)
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
