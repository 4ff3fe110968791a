//! Forwards one request of a caller, from its head to its answer.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32},
    },
    time::Duration,
};

use cassialift_core::{
    ids::{CallerId, ServerId, ShardId},
    policy::{
        admission::AdmissionRequest,
        gather::{GatherOutcome, ShardTarget},
        poison::Verdict,
        replica::WaitEstimate,
        shutdown::ends_in_time,
    },
    request::{ExecutionStatus::NotRun, MissingReason, RefusalReason},
    routes::RouteTarget,
    view::{ConfigView, FleetView},
};
use cassialift_wire::platform::HeaderNames;
use futures::future::{self, Either};
use hyper::{Request, body::Incoming};

use super::{
    Gateway,
    answer::{self, Answer, Refusal},
    decision::{AdmissionEstimate, Decision},
    fan_out::{FanOut, FanOutResult},
    inbound::{self, Head, Inbound, origin_form, printable, read_body, strip_hop_headers},
    readiness::Readiness,
    reply_memory::ReplyMemory,
    trace::{Trace, TraceEnd},
};
use crate::{http::Caller, timer::Timer};

/// The part of a request's timeout that is reserved for the answer's way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// The delay after which to retry at a VM that has no configuration yet.
const RETRY_NO_CONFIG: Duration = Duration::from_millis(250);

/// The delay after which to retry a request that no backend server could take.
pub(super) const RETRY_UNREACHABLE: Duration = Duration::from_millis(150);

/// The delay after which to retry a request whose body found no memory.
const RETRY_BODY: Duration = Duration::from_millis(500);

/// The caller that all requests are counted under, since platforms of this kind do not name their
/// callers.
const SHARED_CALLER: &str = "any";

impl Gateway {
    /// Serves one request; dropping the future, as a disconnect does, cancels its calls.
    pub(super) async fn serve(
        self: Arc<Self>,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Answer {
        let _running = self.node.drain.enter();
        let mut trace = Trace::new(Timer.now());
        let ip = caller.address.ip();
        let result = self.try_serve(ip, request, &mut trace).await;
        let took = Timer.now().saturating_duration_since(trace.started_at);
        let metrics = &self.node.metrics;
        let (reason, answer) = match result {
            Ok(answer) => {
                metrics.count(if answer.status().is_success() {
                    "gateway.answered"
                } else {
                    "gateway.passed_failure"
                });
                metrics.observe("gateway.answer_ms", took);
                ("answered", answer)
            }
            Err(refusal) => {
                let reason = refusal.reason.name();
                metrics.count(&format!("refused.{reason}"));
                metrics.observe("gateway.refusal_ms", took);
                (reason, refusal.response())
            }
        };
        trace.log(TraceEnd {
            event: "end",
            status: answer.status().as_u16(),
            reason,
            took,
        });
        answer.map(|body| self.replies.deliver(body, caller.closer))
    }

    async fn try_serve(
        self: &Arc<Self>,
        caller: IpAddr,
        request: Request<Incoming>,
        trace: &mut Trace,
    ) -> Result<Answer, Refusal> {
        let names = self.dialect.headers();
        let head = Head::read(request.headers(), names);
        let head = head.map_err(|reason| Refusal::not_run(reason, None))?;
        trace.id = printable(&head.attempt);
        let view = self.node.control.snapshot();
        let (config, inbound) = self
            .read_request(&view, caller, request, head, trace)
            .await?;
        let inbound = Arc::new(inbound);
        if self.reach.is_detached()
            && let Some(result) = Box::pin(self.relay(&inbound, trace)).await
        {
            return result;
        }
        // Its own calls may still run while another VM serves the request.
        let may_run_twice = inbound.route.kind.is_idempotent()
            && !matches!(inbound.route.target, RouteTarget::Shards(_));
        let mut relay_trace = Trace::new(trace.started_at);
        let mut here = Box::pin(self.serve_here(view, config, &inbound, trace));
        let result = tokio::select! {
            result = &mut here => result,
            () = self.reach.wait_for_loss(), if may_run_twice => {
                let relay = Box::pin(self.relay(&inbound, &mut relay_trace));
                match future::select(&mut here, relay).await {
                    // Replies may still arrive on connections that live on.
                    Either::Left((Err(refusal), relay)) => relay.await.unwrap_or(Err(refusal)),
                    Either::Right((Some(Ok(answer)), _)) | Either::Left((Ok(answer), _)) => {
                        Ok(answer)
                    }
                    Either::Right((relayed, here)) => match (relayed, here.await) {
                        // The other VM may have run what this one has not.
                        (Some(Err(relayed)), Err(refusal)) if refusal.ran == NotRun => Err(relayed),
                        (_, result) => result,
                    },
                }
            }
        };
        drop(here);
        trace.decisions.append(relay_trace.decisions);
        match result {
            // The links may have been lost meanwhile.
            Err(refusal) if refusal.ran == NotRun => {
                let relayed = Box::pin(self.relay(&inbound, trace)).await;
                relayed.unwrap_or(Err(refusal))
            }
            result => result,
        }
    }

    /// Serves a request with calls of this VM, and of those that it delegates shards to.
    pub(super) async fn serve_here(
        self: &Arc<Self>,
        view: Arc<FleetView>,
        config: Arc<ConfigView>,
        inbound: &Arc<Inbound>,
        trace: &mut Trace,
    ) -> Result<Answer, Refusal> {
        let names = self.dialect.headers();
        let verdict = self.check_poison(inbound, trace)?;
        let route = &inbound.route;
        let targets = self
            .servers
            .targets(&route.name, &route.target, trace.started_at);
        let (_admitted, readiness) = self.admit(&config, inbound, &targets, trace)?;
        self.await_servers(readiness, inbound, &targets, trace)
            .await?;
        let is_search = matches!(inbound.route.target, RouteTarget::Shards(_));
        let is_tried = is_search && verdict == Verdict::Suspect;
        if is_tried {
            self.try_one_shard(&view, &config, inbound, &targets, trace)
                .await?;
        }
        let plan = self.plan(view, config, inbound, targets);
        let mut result = tokio::select! {
            result = FanOut::new(Arc::clone(self), plan).run() => result,
            () = self.wait_for_shutdown() => return Err(Refusal::unknown(RefusalReason::Leaving)),
        };
        trace.add(&mut result);
        if result.reply.is_some() || result.end.outcome == GatherOutcome::Answer {
            self.absolve(inbound.fingerprint);
        }
        let service = |shard: ShardId| match &inbound.route.target {
            RouteTarget::Shards(set) => set.services.get(shard as usize).cloned(),
            RouteTarget::Service(_) | RouteTarget::Split(_) => None,
        };
        let missing = &trace.coverage.missing;
        trace
            .decisions
            .record_left_out(inbound.age(), missing, service);
        answer(inbound, result, names, &self.replies).map_err(|refusal| {
            if is_tried {
                // The shard that was tried has run the search.
                return Refusal::unknown(refusal.reason);
            }
            self.name_retry(refusal, inbound)
        })
    }

    /// Raises the time after which to retry a refused request to the end of the pauses that its
    /// backend servers asked for, and to when their limits allow a call.
    fn name_retry(&self, refusal: Refusal, inbound: &Inbound) -> Refusal {
        let route = &inbound.route;
        let (Some(retry), RouteTarget::Service(_) | RouteTarget::Shards(_)) =
            (refusal.retry, &route.target)
        else {
            return refusal;
        };
        let now = Timer.now();
        let targets = self.servers.targets(&route.name, &route.target, now);
        let share = coverage(&route.target);
        let ready_in =
            self.with_tables(|tables| tables.permitted_in(replica_sets(&targets), share, now));
        Refusal {
            retry: Some(retry.max(ready_in.unwrap_or_default())),
            ..refusal
        }
    }

    /// Reads a whole request and finds its route.
    async fn read_request(
        &self,
        view: &FleetView,
        caller: IpAddr,
        request: Request<Incoming>,
        head: Head,
        trace: &mut Trace,
    ) -> Result<(Arc<ConfigView>, Inbound), Refusal> {
        if self.node.drain.is_closed() {
            return Err(Refusal::not_run(
                RefusalReason::Leaving,
                Some(Duration::ZERO),
            ));
        }
        let no_config = || Refusal::not_run(RefusalReason::NoConfig, Some(RETRY_NO_CONFIG));
        let config = view.config.clone().ok_or_else(no_config)?;
        let routes = config.routes.clone().ok_or_else(no_config)?;
        trace.version = routes.version;
        trace.revision = config.position.revision;
        let host = inbound::host(&request).unwrap_or_default().to_owned();
        let Some(route) = routes.find(&host, request.uri().path()) else {
            return Err(Refusal::not_run(RefusalReason::UnknownService, None));
        };
        let route = Arc::clone(route);
        route.name.as_ref().clone_into(&mut trace.route);
        trace.objective = route.objective.0;
        self.sync(view, &config);
        let (mut parts, body) = request.into_parts();
        let body_share = self.bodies.begin();
        let body = read_body(body, &routes.limits, &body_share).await;
        let body = body.map_err(|reason| {
            let retry = (reason == RefusalReason::Overloaded).then_some(RETRY_BODY);
            Refusal::not_run(reason, retry)
        })?;
        trace.body_bytes = body.len();
        strip_hop_headers(&mut parts.headers);
        let timeout = head.timeout.unwrap_or(route.timeout.0).min(route.timeout.0);
        let target = origin_form(&parts.uri);
        let inbound = Inbound {
            route,
            caller: Some(caller),
            fingerprint: inbound::fingerprint(&parts.method, &host, &target, &body),
            method: parts.method,
            target,
            headers: parts.headers,
            body,
            body_share,
            attempt: head.attempt,
            started_at: trace.started_at,
            deadline: trace.started_at + timeout.saturating_sub(RETURN_MARGIN),
            sends: AtomicU32::new(0),
            relayed: AtomicBool::new(false),
        };
        Ok((config, inbound))
    }

    /// Refuses a request that would be cut off because the process is leaving.
    fn check_shutdown(
        &self,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(), Refusal> {
        let now = Timer.now();
        let Some(remaining) = self.shutdown_in(now) else {
            return Ok(());
        };
        let route = &inbound.route;
        let estimate = self.with_tables(|tables| match (&route.target, targets) {
            (RouteTarget::Shards(set), _) => {
                tables.estimate(replica_sets(targets), set.coverage, now)
            }
            // The request may go to any of the replicas.
            (_, [target, ..]) => tables.replicas.slowest_estimate(&target.replicas, now),
            (_, []) => WaitEstimate::default(),
        });
        if ends_in_time(route.kind, estimate, remaining) {
            return Ok(());
        }
        let leaving = Decision::Leaving(AdmissionEstimate::new(estimate, remaining));
        trace.decisions.record(inbound.age(), leaving);
        let retry = Some(Duration::ZERO);
        Err(Refusal::not_run(RefusalReason::Leaving, retry))
    }

    /// Admits a request, or refuses it at once if it cannot be answered in time; returns whether enough
    /// of its backend servers take calls, too.
    fn admit(
        self: &Arc<Self>,
        config: &ConfigView,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<(AdmittedRequest, Readiness), Refusal> {
        let now = Timer.now();
        let preset = &config.policy;
        let kind = inbound.route.kind;
        let share = coverage(&inbound.route.target);
        self.check_shutdown(inbound, targets, trace)?;
        self.check_priority(config, inbound, targets, trace)?;
        let (estimate, readiness, admitted) = self.with_tables(|tables| {
            let request = AdmissionRequest {
                caller: CallerId::from(SHARED_CALLER),
                kind,
                remaining: inbound.deadline.saturating_duration_since(now),
                estimate: tables.estimate(replica_sets(targets), share, now),
            };
            let policy = preset.kind(kind);
            let admission = &mut tables.admission;
            let admitted = admission.admit(&request, &policy, &preset.queue, now);
            let readiness = Readiness::new(tables, &inbound.route.target, targets, now);
            let estimate = AdmissionEstimate::new(request.estimate, request.remaining);
            (estimate, readiness, admitted)
        });
        let decision = match &admitted {
            Ok(()) => Decision::Admitted(estimate),
            Err(_) => Decision::Rejected(estimate),
        };
        trace.decisions.record(inbound.age(), decision);
        admitted.map_err(|refusal| Refusal::not_run(refusal.reason, refusal.retry_after))?;
        Ok((AdmittedRequest(Arc::clone(self)), readiness))
    }
}

/// Returns the replicas of each shard.
pub(super) fn replica_sets(targets: &[ShardTarget]) -> impl Iterator<Item = &[ServerId]> {
    targets.iter().map(|target| target.replicas.as_slice())
}

/// Returns the share of a request's shards that its answer needs.
pub(super) const fn coverage(target: &RouteTarget) -> f64 {
    match target {
        RouteTarget::Shards(set) => set.coverage,
        RouteTarget::Service(_) | RouteTarget::Split(_) => 1.0,
    }
}

/// Builds the answer from the results of the backend servers.
fn answer(
    inbound: &Inbound,
    mut result: FanOutResult,
    names: &HeaderNames,
    memory: &ReplyMemory,
) -> Result<Answer, Refusal> {
    let answer = match (&inbound.route.target, result.end.outcome) {
        (RouteTarget::Shards(set), GatherOutcome::Answer) => {
            let missing = result.end.coverage.missing.len();
            answer::merge(&result.parts, missing, set.top, names, memory)
        }
        (RouteTarget::Shards(_), GatherOutcome::NotRun | GatherOutcome::Unknown) => None,
        // Without a successful reply, the last failure of a backend server is the answer.
        (RouteTarget::Service(_) | RouteTarget::Split(_), _) => {
            result.reply.take().map(answer::forward)
        }
    };
    answer.ok_or_else(|| refusal(inbound, &result))
}

/// An admitted request; its end is reported to admission when this is dropped.
struct AdmittedRequest(Arc<Gateway>);

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let caller = CallerId::from(SHARED_CALLER);
        self.0
            .with_tables(|tables| tables.admission.on_end(&caller));
    }
}

/// Returns the refusal of a request without an answer: its reason, and whether it may have run.
pub(super) fn refusal(inbound: &Inbound, result: &FanOutResult) -> Refusal {
    if result.end.outcome == GatherOutcome::NotRun {
        let missing = &result.end.coverage.missing;
        let is_busy = missing
            .iter()
            .any(|shard| shard.reason == MissingReason::Busy);
        let reason = if is_busy {
            RefusalReason::Overloaded
        } else {
            RefusalReason::Unreachable
        };
        return Refusal::not_run(reason, Some(RETRY_UNREACHABLE));
    }
    let reason = if matches!(inbound.route.target, RouteTarget::Shards(_)) {
        RefusalReason::Coverage
    } else {
        RefusalReason::NoReply
    };
    unanswered(inbound, reason)
}

/// Returns the refusal of a request that may have run, for `reason` unless its deadline has passed.
pub(super) fn unanswered(inbound: &Inbound, reason: RefusalReason) -> Refusal {
    if Timer.now() >= inbound.deadline {
        return Refusal::unknown(RefusalReason::DeadlinePast);
    }
    Refusal::unknown(reason)
}
