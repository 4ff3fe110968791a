//! Drives the policy's gather over HTTP: sends and cancels calls and collects the replies.

use std::{
    collections::{HashMap, HashSet},
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, ServerId, ShardId, VmId},
    policy::{
        gather::{Action, AttemptCause, Context, Gather, GatherEnd, ShardTarget},
        outcome::CallOutcome,
        retry::RetryReason,
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
    continuations::SearchId,
    decision::{Decision, Decisions, millis},
    exchange::Reply,
    inbound::Inbound,
    partial::{self, DelegateError},
    plan::{Part, Plan},
    server_call::{CallEnd, ServerCall},
    servers::Delegation,
};
use crate::timer::Timer;

/// The result of a request at the backend servers.
#[derive(Debug)]
pub(super) struct FanOutResult {
    pub(super) end: GatherEnd,
    /// The parts of the included shards.
    pub(super) parts: Vec<Part>,
    /// The last complete reply, where a single backend server answers the request.
    pub(super) reply: Option<Reply>,
    /// The called backend servers that announced that they leave.
    pub(super) leaving: Vec<ServerId>,
    pub(super) counts: SendCounts,
    pub(super) decisions: Decisions,
}

/// The number of calls that a request sent, and how many of them were hedges, retries and probes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(super) struct SendCounts {
    #[serde(rename = "calls")]
    pub(super) sent: u32,
    pub(super) hedges: u32,
    pub(super) retries: u32,
    pub(super) probes: u32,
}

impl SendCounts {
    pub(super) const fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.hedges += other.hedges;
        self.retries += other.retries;
        self.probes += other.probes;
    }
}

/// A call that has no reply yet.
struct PendingCall {
    server: ServerId,
    task: AbortHandle,
    /// Signals the call that its reply is no longer needed.
    cancel: oneshot::Sender<()>,
}

/// An event during a request.
enum Event {
    Call(CallCompletion),
    /// The VM of the delegation at this index replied, or its request failed.
    Delegated(usize, Result<PartialReply, DelegateError>),
    /// The first reply of the VM of the delegation at this index is overdue; it may still arrive.
    DelegateOverdue(usize),
}

/// The outcome of one call.
struct CallCompletion {
    attempt: AttemptId,
    shard: ShardId,
    end: CallEnd,
}

/// A request in progress.
pub(super) struct FanOut {
    gateway: Arc<Gateway>,
    view: Arc<FleetView>,
    config: Arc<ConfigView>,
    inbound: Arc<Inbound>,
    gather: Gather,
    delegations: Vec<Delegation>,
    /// The delegations whose shards are called directly, since the first reply is overdue.
    overdue: HashSet<usize>,
    pending: HashMap<AttemptId, PendingCall>,
    delegate_tasks: Vec<AbortHandle>,
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
    parts: Vec<Part>,
    /// The shards whose parts were taken before the end.
    taken: HashSet<ShardId>,
    reply: Option<Reply>,
    leaving: Vec<ServerId>,
    counts: SendCounts,
    decisions: Decisions,
    end: Option<GatherEnd>,
}

impl FanOut {
    pub(super) fn new(gateway: Arc<Gateway>, plan: Plan) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            gateway,
            view: plan.view,
            config: plan.config,
            inbound: plan.inbound,
            gather: Gather::new(plan.spec),
            delegations: plan.delegations,
            overdue: HashSet::new(),
            pending: HashMap::new(),
            delegate_tasks: Vec::new(),
            events,
            sender,
            parts: Vec::new(),
            taken: HashSet::new(),
            reply: None,
            leaving: Vec::new(),
            counts: SendCounts::default(),
            decisions: Decisions::default(),
            end: None,
        }
    }

    /// Runs the request to its end; dropping the future cancels its calls.
    pub(super) async fn run(mut self) -> FanOutResult {
        // Most requests meet no limit and need no further lock.
        if self.gateway.has_limits() {
            let delegated = self.delegations.iter().map(|to| to.targets.len()).sum();
            let refused =
                self.step(|gather, context| gather.refuse_without_permits(delegated, context));
            self.perform(refused);
        }
        if self.end.is_none() {
            self.start();
        }
        self.finish().await
    }

    /// Sends the first calls; must be called once.
    pub(super) fn start(&mut self) {
        self.delegate();
        let actions = self.step(Gather::start);
        self.perform(actions);
    }

    /// Continues until the request ends.
    pub(super) async fn finish(&mut self) -> FanOutResult {
        loop {
            if let Some(result) = self.take_result() {
                return result;
            }
            self.process_event().await;
        }
    }

    /// Continues until the request ends or until `time`; returns `None` if the request has not
    /// ended by then.
    pub(super) async fn run_until(&mut self, time: Instant) -> Option<FanOutResult> {
        loop {
            if let Some(result) = self.take_result() {
                return Some(result);
            }
            tokio::select! {
                () = self.process_event() => {}
                () = Timer.at(time) => {
                    self.on_timer();
                    return self.take_result();
                }
            }
        }
    }

    /// Ends the request with the shards included so far, since nobody waits for more.
    pub(super) fn stop(mut self) -> FanOutResult {
        let actions = self.step(Gather::answer_now);
        self.perform(actions);
        self.take_result()
            .expect("Gather::answer_now ends the gather")
    }

    /// Removes and returns the parts received so far.
    pub(super) fn take_parts(&mut self) -> Vec<Part> {
        let parts = std::mem::take(&mut self.parts);
        let shards = parts.iter().flat_map(|part| &part.shards);
        self.taken.extend(shards.map(|(shard, _)| *shard));
        parts
    }

    /// Removes and returns the called backend servers that announced that they leave.
    pub(super) fn take_leaving(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.leaving)
    }

    fn take_result(&mut self) -> Option<FanOutResult> {
        let end = self.end.take()?;
        Some(FanOutResult {
            end,
            parts: std::mem::take(&mut self.parts),
            reply: self.reply.take(),
            leaving: self.take_leaving(),
            counts: self.counts,
            decisions: std::mem::take(&mut self.decisions),
        })
    }

    /// Waits for the next event or timer and handles it.
    async fn process_event(&mut self) {
        let due = self.gather.next_timer().unwrap_or(self.inbound.deadline);
        tokio::select! {
            Some(event) = self.events.recv() => match event {
                Event::Call(completion) => self.on_completion(completion),
                Event::Delegated(index, reply) => self.on_delegated(index, reply),
                Event::DelegateOverdue(index) => self.on_delegate_overdue(index),
            },
            () = Timer.at(due) => self.on_timer(),
        }
    }

    fn on_timer(&mut self) {
        let actions = self.step(Gather::on_timer);
        self.perform(actions);
    }

    /// Requests the shards of each delegation from its VM.
    fn delegate(&mut self) {
        for index in 0..self.delegations.len() {
            let delegation = &self.delegations[index];
            let decision = Decision::Delegated {
                vm: VmId::clone(&delegation.vm),
                shards: delegation.targets.len(),
                body_bytes: self.inbound.body.len(),
                within_ms: millis(delegation.reply_after),
            };
            let shards = delegation.targets.iter().map(|target| target.shard);
            self.gather.delegate(shards.collect());
            let partial = partial::partial_request(&self.inbound, delegation);
            let limit = partial::first_reply_limit(&partial);
            let request = partial::request_partial(
                Arc::clone(&self.gateway),
                Arc::clone(&self.view),
                Arc::clone(&self.inbound),
                VmId::clone(&delegation.vm),
                partial,
            );
            self.record(decision);
            self.spawn_request(index, Some(limit), request);
        }
    }

    /// Handles the end of a request to the VM of a delegation.
    fn on_delegated(&mut self, index: usize, reply: Result<PartialReply, DelegateError>) {
        match reply {
            Ok(reply) => self.on_partial_reply(index, reply),
            // The delegation has failed before, when the first reply was overdue.
            Err(_) if self.overdue.contains(&index) => {}
            Err(error) => self.fail_delegation(index, &error),
        }
    }

    /// Calls backend servers directly for the shards of a VM whose first reply is overdue.
    fn on_delegate_overdue(&mut self, index: usize) {
        self.overdue.insert(index);
        self.fail_delegation(index, &DelegateError::Timeout);
    }

    /// Excludes the VM of a delegation from further ones, unless it only can't read this one, and calls
    /// backend servers directly for its shards.
    fn fail_delegation(&mut self, index: usize, error: &DelegateError) {
        let vm = VmId::clone(&self.delegations[index].vm);
        let targets = self.delegations[index].targets.clone();
        self.gateway.node.metrics.count("gateway.delegation_failed");
        if !error.is_outdated() {
            self.gateway.servers.exclude_vm(&vm, Timer.now());
        }
        self.record(Decision::DelegationFailed {
            vm,
            shards: targets.len(),
            cause: error.to_string(),
        });
        self.undelegate(targets, !error.is_unsent());
    }

    /// Calls backend servers directly for shards that another VM did not include.
    fn undelegate(&mut self, targets: Vec<ShardTarget>, may_repeat: bool) {
        let mut actions = Vec::new();
        self.step(|gather, context| gather.undelegate(targets, may_repeat, context, &mut actions));
        self.perform(actions);
    }

    /// Uses the shards of a VM's reply; calls backend servers directly for those that it did not
    /// include, unless the VM continues with them.
    ///
    /// The shards of an overdue VM are called directly already. Its records replace those of such
    /// calls, as merged records cannot be told apart.
    fn on_partial_reply(&mut self, index: usize, reply: PartialReply) {
        self.gateway.on_leaving(&reply.leaving);
        let is_overdue = self.overdue.contains(&index);
        let shards: Vec<_> = reply.included.iter().map(|(shard, _)| *shard).collect();
        let search = reply.pending.then_some(reply.search);
        let mut targets = std::mem::take(&mut self.delegations[index].targets);
        let is_taken = shards.iter().any(|shard| self.taken.contains(shard));
        let part = partial::checked_part(reply, &targets).filter(|_| !is_taken);
        let mut actions = Vec::new();
        if let Some(part) = part
            && self.step(|gather, context| gather.on_delegated(&shards, context, &mut actions))
        {
            if is_overdue {
                let is_replaced = |(shard, _): &(ShardId, _)| shards.contains(shard);
                self.parts.retain(|old| !old.shards.iter().any(is_replaced));
                self.record(Decision::LateReply {
                    vm: VmId::clone(&self.delegations[index].vm),
                    shards: shards.len(),
                });
            }
            self.parts.push(part);
            targets.retain(|target| !shards.contains(&target.shard));
        }
        self.perform(actions);
        if targets.is_empty() {
            return;
        }
        match search {
            Some(search) => self.await_continuation(index, targets, search),
            None if is_overdue => {}
            None => self.undelegate(targets, true),
        }
    }

    /// Requests the shards that a VM still searches after its interim reply.
    fn await_continuation(&mut self, index: usize, targets: Vec<ShardTarget>, search: SearchId) {
        let vm = VmId::clone(&self.delegations[index].vm);
        let decision = Decision::Continued {
            vm: VmId::clone(&vm),
            shards: targets.len(),
        };
        self.record(decision);
        self.delegations[index].targets = targets;
        let request = partial::request_continuation(
            Arc::clone(&self.gateway),
            Arc::clone(&self.view),
            Arc::clone(&self.inbound),
            vm,
            search,
        );
        self.spawn_request(index, None, request);
    }

    /// Spawns a request to the VM of a delegation; its result arrives as an event, and so does the
    /// end of the time limit, if there is one.
    fn spawn_request(
        &mut self,
        index: usize,
        limit: Option<Duration>,
        request: impl Future<Output = Result<PartialReply, DelegateError>> + Send + 'static,
    ) {
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let mut request = pin!(request);
            let limit = async {
                match limit {
                    Some(limit) => Timer.after(limit).await,
                    None => std::future::pending().await,
                }
            };
            let reply = tokio::select! {
                reply = &mut request => reply,
                () = limit => {
                    // Sending fails if the request has ended.
                    drop(sender.send(Event::DelegateOverdue(index)));
                    request.await
                }
            };
            drop(sender.send(Event::Delegated(index, reply)));
        });
        self.delegate_tasks.push(task.abort_handle());
    }

    fn on_completion(&mut self, completion: CallCompletion) {
        let CallCompletion {
            attempt,
            shard,
            end,
        } = completion;
        let CallEnd {
            outcome,
            reply,
            leaving,
        } = end;
        let call = self.pending.remove(&attempt);
        if leaving {
            let server = call.as_ref().map(|call| ServerId::clone(&call.server));
            self.leaving.extend(server);
        }
        if let (Some(call), CallOutcome::NotRun(_) | CallOutcome::Unknown(_)) = (call, outcome) {
            let decision = Decision::Failed {
                shard,
                server: call.server,
                outcome,
            };
            self.record(decision);
        }
        let mut actions = Vec::new();
        let included =
            self.step(|gather, context| gather.on_reply(attempt, outcome, context, &mut actions));
        match (&self.inbound.route.target, reply) {
            (RouteTarget::Shards(_), Some(reply)) if included => {
                self.parts.push(Part {
                    shards: reply.signature.map(|s| (shard, s)).into_iter().collect(),
                    body: reply.body,
                });
            }
            (RouteTarget::Shards(_), _) | (_, None) => {}
            (RouteTarget::Service(_) | RouteTarget::Split(_), Some(reply)) => {
                self.reply = Some(reply);
            }
        }
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        // A search sends its first calls together, so one reading of the clock serves them all.
        let age = self.inbound.age();
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    shard,
                    server,
                    cause,
                    expected,
                } => {
                    self.count_send(cause);
                    if let AttemptCause::Hedge | AttemptCause::Retry(RetryReason::Timeout) = cause {
                        self.gateway.reach.on_overdue();
                    }
                    let sent = Decision::Sent {
                        shard,
                        server: ServerId::clone(&server),
                        cause,
                        wait_ms: millis(expected.queue_wait),
                        patience_ms: millis(expected.overdue_after),
                    };
                    self.decisions.record(age, sent);
                    self.send(attempt, shard, server);
                }
                Action::Cancel { attempt, .. } => {
                    if let Some(call) = self.pending.remove(&attempt) {
                        // Sending fails if the call has already ended.
                        let _ = call.cancel.send(());
                    }
                }
                // Backend servers behind the gateway hold one version each.
                Action::Stall { .. } => {}
                Action::Finish(end) => self.end = Some(end),
            }
        }
    }

    fn send(&mut self, attempt: AttemptId, shard: ShardId, server: ServerId) {
        let is_idempotent = self.inbound.route.kind.is_idempotent();
        let (cancel, cancelled) = oneshot::channel();
        let call = ServerCall {
            gateway: Arc::clone(&self.gateway),
            config: Arc::clone(&self.config),
            inbound: Arc::clone(&self.inbound),
            server: ServerId::clone(&server),
            version: self.gather.version(),
            fresh: !is_idempotent,
        };
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            if let Some(end) = call.run(cancelled).await {
                // Sending fails if the request has ended.
                drop(sender.send(Event::Call(CallCompletion {
                    attempt,
                    shard,
                    end,
                })));
            }
        });
        let task = task.abort_handle();
        let call = PendingCall {
            server,
            task,
            cancel,
        };
        self.pending.insert(attempt, call);
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

    fn record(&mut self, decision: Decision) {
        self.decisions.record(self.inbound.age(), decision);
    }

    /// Runs one step of the policy while holding its lock.
    fn step<R>(&mut self, run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R) -> R {
        let node = &self.gateway.node;
        node.policy.step(node, &mut self.gather, run)
    }
}

impl Drop for FanOut {
    /// Cancels the calls of a request that was dropped, for example because its caller
    /// disconnected.
    fn drop(&mut self) {
        let now = Timer.now();
        for call in self.pending.values() {
            call.task.abort();
        }
        for task in &self.delegate_tasks {
            task.abort();
        }
        let pending = &self.pending;
        self.gateway.with_tables(|tables| {
            for call in pending.values() {
                let replicas = &mut tables.replicas;
                replicas.on_cancelled(&call.server, Duration::ZERO, now);
            }
        });
    }
}
