//! Execution of a search: sends and cancels shard calls as the policy's gather decides, and
//! collects the rows of their replies.

use std::{
    collections::{BTreeMap, HashMap},
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, RequestKey, ServerId, ShardId},
    policy::gather::{Action, AttemptCause, Context, Gather, GatherEnd, GatherSpec},
};
use cassialift_wire::{backend::Row, caller::SearchRequest};
use futures::{
    StreamExt,
    future::{AbortHandle, Abortable},
    stream::FuturesUnordered,
};
use tokio::sync::mpsc;

use super::{
    admit::{AdmittedSearch, targets},
    attempt::{Attempt, AttemptResult},
};
use crate::{journal::Part, process::Node, timer::Timer};

/// The period at which a stalled search checks for a newer index version.
const STALL_PERIOD: Duration = Duration::from_millis(5);

/// The rows of one search by shard, and how the search ended.
#[derive(Debug)]
pub(super) struct GatherResult {
    pub(super) rows: BTreeMap<ShardId, Vec<Row>>,
    pub(super) end: GatherEnd,
}

/// The shard calls that have no reply yet, other than probes.
type Pending = FuturesUnordered<Abortable<Pin<Box<dyn Future<Output = AttemptResult> + Send>>>>;

/// A search in progress.
struct Search {
    node: Arc<Node>,
    request: Arc<SearchRequest>,
    admitted: Arc<AdmittedSearch>,
    key: RequestKey,
    gather: Gather,
    pending: Pending,
    /// The calls without a reply, other than probes. The policy tables count them as running until
    /// their results are reported.
    in_flight: HashMap<AttemptId, (AbortHandle, ServerId)>,
    /// The results of probes, which run in tasks of their own.
    probes: mpsc::UnboundedReceiver<AttemptResult>,
    probe_sender: mpsc::UnboundedSender<AttemptResult>,
    rows: BTreeMap<ShardId, Vec<Row>>,
    stalled: bool,
    end: Option<GatherEnd>,
}

/// Runs an admitted search to its end.
pub(super) async fn gather(
    node: Arc<Node>,
    request: Arc<SearchRequest>,
    admitted: Arc<AdmittedSearch>,
) -> GatherResult {
    let mut search = Search::new(node, request, admitted);
    let actions = search.step(Gather::start);
    search.apply(actions);
    loop {
        if let Some(end) = search.end.take() {
            let rows = std::mem::take(&mut search.rows);
            return GatherResult { rows, end };
        }
        search.handle_event().await;
    }
}

impl Search {
    fn new(node: Arc<Node>, request: Arc<SearchRequest>, admitted: Arc<AdmittedSearch>) -> Self {
        let spec = GatherSpec {
            service: Arc::clone(&request.service),
            kind: request.kind,
            version: admitted.index.version,
            shards: admitted.targets.clone(),
            started_at: admitted.started_at,
            deadline: admitted.deadline,
            policy: admitted.policy.clone(),
            hedge: admitted.config.policy.hedge,
            initial_hedge: None,
            retry: admitted.config.policy.retry,
            extra_calls: None,
        };
        let (probe_sender, probes) = mpsc::unbounded_channel();
        Self {
            key: node.next_key(),
            node,
            request,
            admitted,
            gather: Gather::new(spec),
            pending: FuturesUnordered::new(),
            in_flight: HashMap::new(),
            probes,
            probe_sender,
            rows: BTreeMap::new(),
            stalled: false,
            end: None,
        }
    }

    /// Waits for the next event and handles it.
    async fn handle_event(&mut self) {
        let timer = self.wake_time();
        tokio::select! {
            Some(result) = self.pending.next(), if !self.pending.is_empty() => {
                if let Ok(result) = result {
                    self.on_result(result);
                }
            }
            Some(result) = self.probes.recv() => self.on_result(result),
            () = Timer.at(timer) => self.on_timer(),
        }
    }

    fn wake_time(&self) -> Instant {
        let due = self.gather.next_timer().unwrap_or(self.admitted.deadline);
        if self.stalled {
            return due.min(Timer.now() + STALL_PERIOD);
        }
        due
    }

    fn on_timer(&mut self) {
        if self.stalled {
            self.restart();
        }
        let actions = self.step(Gather::on_timer);
        self.apply(actions);
    }

    fn on_result(&mut self, result: AttemptResult) {
        let AttemptResult {
            attempt,
            outcome,
            rows,
        } = result;
        self.in_flight.remove(&attempt.id);
        let mut actions = Vec::new();
        let included = self
            .step(|gather, context| gather.on_reply(attempt.id, outcome, context, &mut actions));
        if included {
            self.rows.insert(attempt.shard, rows);
        } else {
            self.node.metrics.count("entry.reply_unused");
        }
        self.apply(actions);
    }

    /// Restarts the search on a newer index version, if this VM has one.
    fn restart(&mut self) {
        let view = self.node.control.snapshot();
        let Some(config) = &view.config else {
            return;
        };
        let Some(index) = config.indexes.get(&self.request.service) else {
            return;
        };
        if index.version <= self.gather.version() {
            return;
        }
        self.node.policy.sync(config);
        let wanted = targets(index, self.request.shards.as_deref());
        self.stalled = false;
        self.rows.clear();
        self.node.metrics.count("entry.restarted");
        let version = index.version;
        let actions = self.step(|gather, context| gather.restart(version, wanted, context));
        self.apply(actions);
    }

    /// Runs one step of the gather while the policy tables are locked.
    fn step<R>(&mut self, run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R) -> R {
        self.node.policy.step(&self.node, &mut self.gather, run)
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let mut stalls = false;
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    shard,
                    server,
                    cause,
                    ..
                } => self.send(attempt, shard, server, cause),
                Action::Cancel { attempt, .. } => {
                    // The gather has reported the cancellation to the tables already.
                    if let Some((handle, _)) = self.in_flight.remove(&attempt) {
                        handle.abort();
                        self.node.metrics.count("entry.cancelled");
                    }
                }
                Action::Stall { .. } => stalls = true,
                Action::Finish(end) => self.end = Some(end),
            }
        }
        if stalls && self.end.is_none() {
            self.rows.clear();
            self.stalled = true;
            self.restart();
        }
    }

    fn send(&mut self, id: AttemptId, shard: ShardId, server: ServerId, cause: AttemptCause) {
        self.node.metrics.count(match cause {
            AttemptCause::First => "entry.first",
            AttemptCause::Hedge => "entry.hedge",
            AttemptCause::Retry(reason) => reason.counter(),
            AttemptCause::Probe => "entry.probe",
        });
        if let AttemptCause::Retry(reason) = cause {
            let service = &self.request.service;
            let text = format!("Retried a shard call of {service}: {reason}.");
            self.node.journal.record(Part::Entry, &text);
        }
        let attempt = Attempt {
            id,
            shard,
            server: ServerId::clone(&server),
            version: self.gather.version(),
        };
        let call = attempt.call(&self.request, &self.admitted, self.key);
        let (node, admitted) = (Arc::clone(&self.node), Arc::clone(&self.admitted));
        let run = async move { attempt.run(&node, &admitted, call).await };
        if cause == AttemptCause::Probe {
            // The reply to a probe is useful even after the search has ended.
            let results = self.probe_sender.clone();
            tokio::spawn(async move { drop(results.send(run.await)) });
            return;
        }
        let (handle, registration) = AbortHandle::new_pair();
        let run: Pin<Box<dyn Future<Output = AttemptResult> + Send>> = Box::pin(run);
        self.pending.push(Abortable::new(run, registration));
        self.in_flight.insert(id, (handle, server));
    }
}

impl Drop for Search {
    /// Reports the calls in flight as cancelled and the search as ended to the policy tables, also
    /// when the search is dropped early because its caller disconnected.
    fn drop(&mut self) {
        let now = Timer.now();
        let mut tables = self.node.policy.lock();
        for (_, server) in self.in_flight.values() {
            tables.replicas.on_cancelled(server, Duration::ZERO, now);
        }
        tables.admission.on_end(&self.request.caller);
    }
}
