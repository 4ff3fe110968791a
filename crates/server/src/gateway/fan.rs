//! Drives the policy's gather over HTTP: sends and cancels calls and keeps the replies.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, ServerId, ShardId, VmId},
    policy::{
        gather::{Action, AttemptCause, Context, Gather, GatherEnd, ShardTarget},
        outcome::CallOutcome,
    },
    routes::RouteTarget,
    view::{ConfigView, FleetView},
};
use cassialift_wire::peer::PartialReply;
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
};

use super::{
    Gateway,
    call::Reply,
    decision::{Decision, Decisions, millis},
    inbound::Inbound,
    one_call::OneCall,
    partial::{self, DelegateError},
    plan::{Delegation, Part, Plan},
};
use crate::timer::Timer;

/// How a request ended at the backend servers.
#[derive(Debug)]
pub(super) struct Fanned {
    pub(super) end: GatherEnd,
    /// The parts of the shards that are in.
    pub(super) parts: Vec<Part>,
    /// The last whole reply, where a single backend server answers.
    pub(super) reply: Option<Reply>,
    pub(super) counts: SendCounts,
    pub(super) decisions: Decisions,
}

/// The calls that a request took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(super) struct SendCounts {
    #[serde(rename = "calls")]
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
    decisions: Decisions,
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
            decisions: Decisions::default(),
            end: None,
        }
    }

    /// Runs the request to its end; dropping the future cancels its calls.
    pub(super) async fn run(mut self) -> Fanned {
        self.start();
        self.finish().await
    }

    /// Sends the first calls; to be called once.
    pub(super) fn start(&mut self) {
        self.delegate();
        let actions = self.step(Gather::start);
        self.act(actions);
    }

    /// Goes on until the request's end.
    pub(super) async fn finish(&mut self) -> Fanned {
        loop {
            if let Some(fanned) = self.ended() {
                return fanned;
            }
            self.turn().await;
        }
    }

    /// Goes on until the request's end, or until a time; none if it has not ended by then.
    pub(super) async fn run_until(&mut self, time: Instant) -> Option<Fanned> {
        loop {
            if let Some(fanned) = self.ended() {
                return Some(fanned);
            }
            tokio::select! {
                () = self.turn() => {}
                () = Timer.at(time) => {
                    self.on_timer();
                    return self.ended();
                }
            }
        }
    }

    /// Ends the request with what is in, for nobody waits for more.
    pub(super) fn give_up(mut self) -> Fanned {
        let actions = self.step(Gather::answer_now);
        self.act(actions);
        self.ended().expect("a gather that is given up has ended")
    }

    /// Takes out the parts that are in so far.
    pub(super) fn take_parts(&mut self) -> Vec<Part> {
        std::mem::take(&mut self.parts)
    }

    fn ended(&mut self) -> Option<Fanned> {
        let end = self.end.take()?;
        Some(Fanned {
            end,
            parts: self.take_parts(),
            reply: self.reply.take(),
            counts: self.counts,
            decisions: std::mem::take(&mut self.decisions),
        })
    }

    /// Waits for the next event and acts on it.
    async fn turn(&mut self) {
        let due = self.gather.next_timer().unwrap_or(self.inbound.deadline);
        tokio::select! {
            Some(event) = self.events.recv() => match event {
                Event::Call(arrival) => self.on_arrival(arrival),
                Event::Delegated(index, reply) => self.on_delegated(index, reply),
            },
            () = Timer.at(due) => self.on_timer(),
        }
    }

    fn on_timer(&mut self) {
        let actions = self.step(Gather::on_timer);
        self.act(actions);
    }

    /// Hands the shards of each delegation to its VM.
    fn delegate(&mut self) {
        for index in 0..self.delegations.len() {
            let delegation = &self.delegations[index];
            let asked = Decision::Asked {
                vm: VmId::clone(&delegation.vm),
                shards: delegation.targets.len(),
                within_ms: millis(delegation.within),
            };
            let shards = delegation.targets.iter().map(|target| target.shard);
            self.gather.delegate(shards.collect());
            let asking = partial::ask(
                Arc::clone(&self.gateway),
                Arc::clone(&self.view),
                Arc::clone(&self.inbound),
                VmId::clone(&delegation.vm),
                partial::message(&self.inbound, delegation),
            );
            self.note(asked);
            self.ask(index, asking);
        }
    }

    /// Takes in what a VM replied; shards that it did not include are asked directly.
    fn on_delegated(&mut self, index: usize, reply: Result<PartialReply, DelegateError>) {
        let mut targets = std::mem::take(&mut self.delegations[index].targets);
        let repeated = !matches!(&reply, Err(error) if error.is_unsent());
        if let Err(error) = &reply {
            let vm = VmId::clone(&self.delegations[index].vm);
            self.gateway.node.metrics.count("gateway.delegation_failed");
            self.gateway.servers.shun(&vm, Timer.now());
            self.note(Decision::AskFailed {
                vm,
                shards: targets.len(),
                cause: error.to_string(),
            });
        }
        let mut actions = Vec::new();
        let goes_on = reply.as_ref().is_ok_and(|reply| reply.open);
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
        if goes_on {
            self.await_rest(index, targets);
        } else if !targets.is_empty() {
            self.step(|gather, context| {
                gather.undelegate(targets, repeated, context, &mut actions);
            });
        }
        self.act(actions);
    }

    /// Waits for the shards that a VM goes on with.
    fn await_rest(&mut self, index: usize, targets: Vec<ShardTarget>) {
        let vm = VmId::clone(&self.delegations[index].vm);
        let goes_on = Decision::GoesOn {
            vm: VmId::clone(&vm),
            shards: targets.len(),
        };
        self.note(goes_on);
        self.delegations[index].targets = targets;
        let asking = partial::ask_rest(
            Arc::clone(&self.gateway),
            Arc::clone(&self.view),
            Arc::clone(&self.inbound),
            vm,
        );
        self.ask(index, asking);
    }

    /// Runs a question to the VM of a delegation.
    fn ask(
        &mut self,
        index: usize,
        asking: impl Future<Output = Result<PartialReply, DelegateError>> + Send + 'static,
    ) {
        let sender = self.sender.clone();
        let asked = tokio::spawn(async move {
            // The request has ended if nobody receives.
            drop(sender.send(Event::Delegated(index, asking.await)));
        });
        self.asked.push(asked.abort_handle());
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let Arrival {
            attempt,
            shard,
            outcome,
            reply,
        } = arrival;
        let live = self.live.remove(&attempt);
        if let (Some(live), CallOutcome::NotRun(_) | CallOutcome::Unknown(_)) = (live, outcome) {
            let failed = Decision::Failed {
                shard,
                server: live.server,
                outcome,
            };
            self.note(failed);
        }
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
        if actions.is_empty() {
            return;
        }
        // A search sends its first calls at once; they share one look at the clock.
        let age = self.inbound.age();
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    shard,
                    server,
                    cause,
                    basis,
                } => {
                    self.count_send(cause);
                    let sent = Decision::Sent {
                        shard,
                        server: ServerId::clone(&server),
                        cause,
                        wait_ms: millis(basis.wait),
                        patience_ms: millis(basis.overdue_after),
                    };
                    self.decisions.note(age, sent);
                    self.send(attempt, shard, server);
                }
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

    fn send(&mut self, attempt: AttemptId, shard: ShardId, server: ServerId) {
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

    fn count_send(&mut self, cause: AttemptCause) {
        let metrics = &self.gateway.node.metrics;
        self.counts.sent += 1;
        match cause {
            AttemptCause::First => metrics.count("gateway.first"),
            AttemptCause::Hedge => {
                self.counts.hedges += 1;
                metrics.count("gateway.hedge");
            }
            AttemptCause::Retry(reason) => {
                self.counts.retries += 1;
                metrics.count(reason.counter());
            }
            AttemptCause::Probe => {
                self.counts.probes += 1;
                metrics.count("gateway.probe");
            }
        }
    }

    fn note(&mut self, decision: Decision) {
        self.decisions.note(self.inbound.age(), decision);
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
