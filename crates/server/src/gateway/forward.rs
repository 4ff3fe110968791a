//! One request of a caller, from its head to its answer.

use std::{sync::Arc, time::Duration};

use cassialift_core::{
    ids::{CallerId, ShardId},
    policy::{
        admission::AdmissionRequest,
        gather::{ShardTarget, Verdict},
    },
    request::{MissingReason, RefusalReason},
    routes::RouteTarget,
    view::{ConfigView, FleetView},
};
use cassialift_wire::platform::HeaderNames;
use hyper::{Request, body::Incoming};

use super::{
    Gateway,
    answer::{self, Answer, Refused},
    decision::{Decision, Outlook},
    fan::{Fan, Fanned},
    inbound::{self, Head, Inbound, origin, printable, read_body, strip_hop_headers},
    trace::{Trace, TraceEnd},
};
use crate::timer::Timer;

/// What of a request's time is kept for the way back to its caller.
const RETURN_TIME: Duration = Duration::from_millis(10);

/// When to come back to a VM that has no configuration yet.
const RETRY_NO_CONFIG: Duration = Duration::from_millis(250);

/// When to come back after no backend server could take a request.
const RETRY_UNREACHABLE: Duration = Duration::from_millis(150);

/// The caller that all requests are counted under: platforms of this kind do not name theirs.
const CALLER: &str = "any";

impl Gateway {
    /// Serves one request; dropping the future, as a hang-up does, cancels its calls.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let _running = self.node.drain.enter();
        let mut trace = Trace::new(Timer.now());
        let served = self.try_serve(request, &mut trace).await;
        let took = Timer.now().saturating_duration_since(trace.started);
        let metrics = &self.node.metrics;
        let (reason, answer) = match served {
            Ok(answer) => {
                metrics.count(if answer.status().is_success() {
                    "gateway.answered"
                } else {
                    "gateway.passed_failure"
                });
                metrics.observe("gateway.answer_ms", took);
                ("answered", answer)
            }
            Err(refused) => {
                let reason = refused.reason.name();
                metrics.count(&format!("refused.{reason}"));
                metrics.observe("gateway.refusal_ms", took);
                (reason, refused.response())
            }
        };
        trace.log(TraceEnd {
            event: "end",
            status: answer.status().as_u16(),
            reason,
            took,
        });
        answer
    }

    async fn try_serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
        trace: &mut Trace,
    ) -> Result<Answer, Refused> {
        let names = self.dialect.headers();
        let head = Head::read(request.headers(), names);
        let head = head.map_err(|reason| Refused::not_run(reason, None))?;
        trace.id = printable(&head.attempt);
        let view = self.node.control.snapshot();
        let (config, inbound) = self.admit_head(&view, request, head, trace).await?;
        let route = &inbound.route;
        let targets = self
            .servers
            .targets(&route.name, &route.target, trace.started);
        let _load = self.admit_load(&config, &inbound, &targets, trace)?;
        let inbound = Arc::new(inbound);
        let plan = self.plan(view, config, &inbound, targets);
        let mut fanned = tokio::select! {
            fanned = Fan::new(Arc::clone(self), plan).run() => fanned,
            () = self.cut() => return Err(Refused::unknown(RefusalReason::Leaving)),
        };
        trace.counts = fanned.counts;
        trace
            .decisions
            .append(std::mem::take(&mut fanned.decisions));
        trace.coverage = fanned.end.coverage.clone();
        let service = |shard: ShardId| match &inbound.route.target {
            RouteTarget::Shards(set) => set.services.get(shard as usize).cloned(),
            RouteTarget::Service(_) | RouteTarget::Split(_) => None,
        };
        let missing = &trace.coverage.missing;
        trace
            .decisions
            .note_left_out(inbound.age(), missing, service);
        answer(&inbound, fanned, names)
    }

    /// Reads a request whole and finds its route.
    async fn admit_head(
        &self,
        view: &FleetView,
        request: Request<Incoming>,
        head: Head,
        trace: &mut Trace,
    ) -> Result<(Arc<ConfigView>, Inbound), Refused> {
        if self.node.drain.is_closed() {
            return Err(Refused::not_run(
                RefusalReason::Leaving,
                Some(Duration::ZERO),
            ));
        }
        let no_config = || Refused::not_run(RefusalReason::NoConfig, Some(RETRY_NO_CONFIG));
        let config = view.config.clone().ok_or_else(no_config)?;
        let routes = config.routes.clone().ok_or_else(no_config)?;
        trace.version = routes.version;
        trace.revision = config.revision;
        let host = inbound::host(&request).unwrap_or_default();
        let Some(route) = routes.find(host, request.uri().path()) else {
            return Err(Refused::not_run(RefusalReason::UnknownService, None));
        };
        let route = Arc::clone(route);
        route.name.as_ref().clone_into(&mut trace.route);
        trace.objective = route.objective.0;
        self.sync(view, &config);
        let (mut parts, body) = request.into_parts();
        let body = read_body(body, &routes.limits)
            .await
            .map_err(|reason| Refused::not_run(reason, None))?;
        strip_hop_headers(&mut parts.headers);
        let allowed = head
            .patience
            .unwrap_or(route.timeout.0)
            .min(route.timeout.0);
        let inbound = Inbound {
            route,
            method: parts.method,
            target: origin(&parts.uri),
            headers: parts.headers,
            body,
            attempt: head.attempt,
            started: trace.started,
            deadline: trace.started + allowed.saturating_sub(RETURN_TIME),
        };
        Ok((config, inbound))
    }

    /// Refuses at once what can't be done in time.
    fn admit_load(
        self: &Arc<Self>,
        config: &ConfigView,
        inbound: &Inbound,
        targets: &[ShardTarget],
        trace: &mut Trace,
    ) -> Result<Load, Refused> {
        let now = Timer.now();
        let preset = &config.policy;
        let kind = inbound.route.kind;
        let needed = match &inbound.route.target {
            RouteTarget::Shards(set) => set.coverage,
            RouteTarget::Service(_) | RouteTarget::Split(_) => 1.0,
        };
        let (outlook, admitted) = self.decide(|tables| {
            let sets = targets.iter().map(|target| target.replicas.as_slice());
            let asked = AdmissionRequest {
                caller: CallerId::from(CALLER),
                kind,
                remaining: inbound.deadline.saturating_duration_since(now),
                estimate: tables.estimate(sets, needed, now),
            };
            let policy = preset.kind(kind);
            let admission = &mut tables.admission;
            let admitted = admission.admit(&asked, &policy, &preset.queue, now);
            (Outlook::new(&asked), admitted)
        });
        let decision = match &admitted {
            Ok(()) => Decision::Admitted(outlook),
            Err(_) => Decision::Rejected(outlook),
        };
        trace.decisions.note(inbound.age(), decision);
        admitted.map_err(|refusal| Refused::not_run(refusal.reason, refusal.retry_after))?;
        Ok(Load(Arc::clone(self)))
    }
}

/// Makes the answer of what came from the backend servers.
fn answer(inbound: &Inbound, mut fanned: Fanned, names: &HeaderNames) -> Result<Answer, Refused> {
    let answer = match (&inbound.route.target, fanned.end.verdict) {
        (RouteTarget::Shards(set), Verdict::Answer) => {
            let missing = fanned.end.coverage.missing.len();
            Some(answer::merge(&fanned.parts, missing, set.top, names))
        }
        (RouteTarget::Shards(_), Verdict::NotRun | Verdict::Unknown) => None,
        // Without a good reply the last failure of a backend server is the answer.
        (RouteTarget::Service(_) | RouteTarget::Split(_), _) => {
            fanned.reply.take().map(answer::pass)
        }
    };
    answer.ok_or_else(|| refusal(inbound, &fanned))
}

/// A request that was taken on, until it is dropped.
struct Load(Arc<Gateway>);

impl Drop for Load {
    fn drop(&mut self) {
        let caller = CallerId::from(CALLER);
        self.0.decide(|tables| tables.admission.on_end(&caller));
    }
}

/// Tells why there is no answer, and whether anything ran.
fn refusal(inbound: &Inbound, fanned: &Fanned) -> Refused {
    if fanned.end.verdict == Verdict::NotRun {
        let missing = &fanned.end.coverage.missing;
        let busy = missing.iter().any(|one| one.reason == MissingReason::Busy);
        let reason = if busy {
            RefusalReason::Overloaded
        } else {
            RefusalReason::Unreachable
        };
        return Refused::not_run(reason, Some(RETRY_UNREACHABLE));
    }
    let reason = if Timer.now() >= inbound.deadline {
        RefusalReason::DeadlinePast
    } else if matches!(inbound.route.target, RouteTarget::Shards(_)) {
        RefusalReason::Coverage
    } else {
        RefusalReason::NoReply
    };
    Refused::unknown(reason)
}
