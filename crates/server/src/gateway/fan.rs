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
    ids::{AttemptId, ServerId, ShardId},
    policy::{
        gather::{Action, AttemptCause, Context, Gather, GatherEnd, GatherSpec},
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::CallReport,
    },
    routes::RouteTarget,
    view::ConfigView,
};
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
};
use crate::timer::Timer;

/// How long a call whose reply is no longer needed may keep its connection, which costs the
/// backend server more to open anew than most calls take to end.
const LINGER: Duration = Duration::from_millis(200);

/// A shard's part of an answer.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) signature: HeaderValue,
    pub(super) body: Bytes,
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

/// What came of one call.
struct Arrival {
    attempt: AttemptId,
    outcome: CallOutcome,
    reply: Option<Reply>,
}

/// A request under way.
pub(super) struct Fan {
    gateway: Arc<Gateway>,
    config: Arc<ConfigView>,
    inbound: Arc<Inbound>,
    gather: Gather,
    live: HashMap<AttemptId, Live>,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    sender: mpsc::UnboundedSender<Arrival>,
    parts: Vec<Part>,
    reply: Option<Reply>,
    counts: SendCounts,
    end: Option<GatherEnd>,
}

impl Fan {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        config: Arc<ConfigView>,
        inbound: Arc<Inbound>,
        spec: GatherSpec,
    ) -> Self {
        let (sender, arrivals) = mpsc::unbounded_channel();
        Self {
            gateway,
            config,
            inbound,
            gather: Gather::new(spec),
            live: HashMap::new(),
            arrivals,
            sender,
            parts: Vec::new(),
            reply: None,
            counts: SendCounts::default(),
            end: None,
        }
    }

    /// Runs the request to its end; dropping the future cancels its calls.
    pub(super) async fn run(mut self) -> Fanned {
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
                Some(arrival) = self.arrivals.recv() => self.on_arrival(arrival),
                () = Timer.at(due) => {
                    let actions = self.step(Gather::on_timer);
                    self.act(actions);
                }
            }
        }
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let Arrival {
            attempt,
            outcome,
            reply,
        } = arrival;
        self.live.remove(&attempt);
        let mut actions = Vec::new();
        let included =
            self.step(|gather, context| gather.on_reply(attempt, outcome, context, &mut actions));
        match (&self.inbound.route.target, reply) {
            (RouteTarget::Shards(_), Some(reply)) if included => {
                self.parts.extend(reply.signature.map(|signature| Part {
                    signature,
                    body: reply.body,
                }));
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
                drop(sender.send(Arrival {
                    attempt,
                    outcome,
                    reply,
                }));
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
