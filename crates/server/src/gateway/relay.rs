//! Relays whole requests to other VMs while this VM reaches no backend server, and serves those of
//! other VMs.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use cassialift_core::{
    ids::VmId,
    request::RefusalReason,
    routes::{Route, RouteTable, RouteTarget},
    view::FleetView,
};
use cassialift_wire::peer::{RelayOutcome, RelayReply, RelayRequest};
use hyper::{Response, StatusCode};

use super::{
    Gateway,
    answer::{Answer, Refusal},
    decision::{Decision, millis},
    exchange::is_final,
    forward::unanswered,
    inbound::{Inbound, PeerRequest, header_map, header_pairs},
    trace::{Trace, TraceEnd},
};
use crate::{
    peers::{self, PeerError},
    timer::Timer,
};

/// The number of VMs that a request is offered to at most.
const MAX_OFFERS: usize = 3;
/// The part of a request's time that is reserved for the way back from the VM that serves it.
const RETURN_MARGIN: Duration = Duration::from_millis(8);
/// The latency objective of a request that is already late; none would let the VM take all the time
/// until the deadline.
const LATE_OBJECTIVE: Duration = Duration::from_millis(1);

impl Gateway {
    /// Has another VM serve a request while this one reaches no backend server; `None` if it does
    /// reach them, if no other VM took the request, or if no message holds it.
    ///
    /// A request that may have been sent to a VM is not offered to another.
    pub(super) async fn relay(
        self: &Arc<Self>,
        inbound: &Inbound,
        trace: &mut Trace,
    ) -> Option<Result<Answer, Refusal>> {
        if !self.reach.is_detached() || !inbound.fits_message() {
            return None;
        }
        inbound.relayed.store(true, Ordering::SeqCst);
        let result = self.offer_to_others(inbound, trace).await;
        if result.is_none() {
            inbound.relayed.store(false, Ordering::SeqCst);
        }
        result
    }

    /// Offers a request to other VMs, one after the other; `None` if none took it.
    async fn offer_to_others(
        self: &Arc<Self>,
        inbound: &Inbound,
        trace: &mut Trace,
    ) -> Option<Result<Answer, Refusal>> {
        let route = self.relayed_route(inbound)?;
        let view = self.node.control.snapshot();
        let mut offered = Vec::new();
        while offered.len() < MAX_OFFERS && Timer.now() < inbound.deadline {
            let outdated = self.outdated_vms(inbound);
            let is_candidate = |vm: &VmId| !offered.contains(vm) && !outdated.contains(vm);
            let vm = self.servers.pick_relay(&view, is_candidate, Timer.now())?;
            offered.push(VmId::clone(&vm));
            let request = relay_request(inbound, &route);
            let relayed = Decision::Relayed {
                vm: VmId::clone(&vm),
                within_ms: millis(request.remaining.0),
            };
            trace.decisions.record(inbound.age(), relayed);
            self.node.metrics.count("gateway.relayed");
            let outcome = tokio::select! {
                outcome = self.offer(&view, inbound, &vm, request) => outcome,
                () = self.wait_for_shutdown() => {
                    return Some(Err(Refusal::unknown(RefusalReason::Leaving)));
                }
            };
            let cause = match outcome {
                Ok(outcome) => match caller_answer(outcome) {
                    Some(answer) => return Some(answer.and_then(|answer| self.hold(answer))),
                    None => "the VM does not take it".to_owned(),
                },
                Err(error) if !error.is_unsent() => {
                    record_failure(trace, inbound, &vm, error.to_string());
                    return Some(Err(unanswered(inbound, RefusalReason::NoReply)));
                }
                Err(error @ PeerError::Outdated(_)) => {
                    record_failure(trace, inbound, &vm, error.to_string());
                    continue;
                }
                Err(error) => error.to_string(),
            };
            self.servers.exclude_vm(&vm, Timer.now());
            record_failure(trace, inbound, &vm, cause);
        }
        None
    }

    /// Returns an answer of another VM with the memory that it takes.
    fn hold(&self, answer: Answer) -> Result<Answer, Refusal> {
        let (parts, body) = answer.into_parts();
        let body = self.replies.hold(body);
        let body = body.ok_or(Refusal::unknown(RefusalReason::NoReply))?;
        Ok(Response::from_parts(parts, body))
    }

    async fn offer(
        &self,
        view: &FleetView,
        inbound: &Inbound,
        vm: &VmId,
        request: RelayRequest,
    ) -> Result<RelayOutcome, PeerError> {
        let call = async {
            let version = inbound.message_version();
            let client = self.node.peers.client_reading(version, view, vm).await?;
            peers::relay(&client, peers::context_until(inbound.deadline), request).await
        };
        call.await
            .inspect_err(|error| self.on_call_failed(vm, error))
    }

    /// Returns the route for another VM, with the service that a split chooses and the number of servers
    /// that may still get the request; `None` if there are none.
    fn relayed_route(&self, inbound: &Inbound) -> Option<Route> {
        let route = &*inbound.route;
        let sends = inbound.sends.load(Ordering::SeqCst);
        if sends == 0 {
            return self.unsent_route(route);
        }
        // What this VM sent may still run.
        let is_single = !matches!(route.target, RouteTarget::Shards(_));
        let servers = route.servers.saturating_sub(sends);
        if servers == 0 || !is_single || !route.kind.is_idempotent() {
            return None;
        }
        Some(Route {
            servers,
            ..self.unsent_route(route)?
        })
    }

    fn unsent_route(&self, route: &Route) -> Option<Route> {
        let mut route = route.clone();
        if let RouteTarget::Split(shares) = &route.target {
            route.target = RouteTarget::Service(self.servers.pick_service(&route.name, shares)?);
        }
        Some(route)
    }

    /// Reports a request whose route the version of this VM does not have, since the VM that passed it on
    /// has another version.
    fn report_route(&self, routes: &RouteTable, inbound: &Inbound) {
        let own = routes.find(&inbound.route.host, inbound.target.path());
        let chosen = &inbound.route.target;
        if own.is_some_and(|own| allows(&own.target, chosen)) {
            return;
        }
        self.node.metrics.count("gateway.relayed_other_route");
        log::info!(
            "gateway: Request {} was passed on with another route than version {} has for it: {}.",
            inbound.id(),
            routes.version,
            inbound.route.name
        );
    }

    /// Serves a request that another VM passed on.
    pub(crate) async fn serve_relayed(self: Arc<Self>, request: RelayRequest) -> RelayReply {
        let attempt = request.attempt.clone();
        let outcome = self.try_serve_relayed(request).await;
        RelayReply { attempt, outcome }
    }

    async fn try_serve_relayed(self: &Arc<Self>, request: RelayRequest) -> RelayOutcome {
        let view = self.node.control.snapshot();
        let (Some(config), false) = (view.config.clone(), self.node.drain.is_closed()) else {
            return RelayOutcome::Unavailable;
        };
        if self.reach.is_detached() {
            return RelayOutcome::Unavailable;
        }
        let mut trace = Trace::new(Timer.now());
        let Ok(body_share) = self.bodies.reserve(request.body.len()) else {
            return RelayOutcome::Unavailable;
        };
        let message = PeerRequest {
            method: &request.method,
            target: &request.target,
            headers: &request.headers,
            body: Bytes::from(request.body),
            attempt: &request.attempt,
        };
        let remaining = request.remaining.0;
        let started_at = trace.started_at;
        let inbound = Inbound::from_peer(message, request.route, body_share, started_at, remaining);
        let Some(inbound) = inbound else {
            return refused(Refusal::not_run(RefusalReason::Malformed, None));
        };
        let route = &inbound.route;
        trace.id = inbound.id();
        route.name.as_ref().clone_into(&mut trace.route);
        trace.revision = config.position.revision;
        trace.objective = route.objective.0;
        trace.body_bytes = inbound.body.len();
        if let Some(routes) = &config.routes {
            trace.version = routes.version;
            self.report_route(routes, &inbound);
        }
        self.sync(&view, &config);
        let result = self
            .serve_here(view, config, &Arc::new(inbound), &mut trace)
            .await;
        let (status, reason) = match &result {
            Ok(answer) => (answer.status(), "answered"),
            Err(refusal) => (refusal.status(), refusal.reason.name()),
        };
        trace.log(TraceEnd {
            event: "relayed",
            status: status.as_u16(),
            reason,
            took: Timer.now().saturating_duration_since(trace.started_at),
        });
        match result {
            Ok(answer) => answered(answer),
            Err(refusal) => refused(refusal),
        }
    }
}

/// Returns whether a route allows a target that another VM chose: its own, or a service of its split.
fn allows(own: &RouteTarget, chosen: &RouteTarget) -> bool {
    match (own, chosen) {
        (RouteTarget::Split(shares), RouteTarget::Service(service)) => {
            shares.iter().any(|share| share.service == *service)
        }
        _ => own == chosen,
    }
}

fn record_failure(trace: &mut Trace, inbound: &Inbound, vm: &VmId, cause: String) {
    let vm = VmId::clone(vm);
    let failed = Decision::RelayFailed { vm, cause };
    trace.decisions.record(inbound.age(), failed);
}

/// Returns the message that passes a request on.
fn relay_request(inbound: &Inbound, route: &Route) -> RelayRequest {
    let objective = match route.objective.0 {
        Duration::ZERO => Duration::ZERO,
        time => time
            .saturating_sub(inbound.age() + RETURN_MARGIN)
            .max(LATE_OBJECTIVE),
    };
    let remaining = inbound.deadline.saturating_duration_since(Timer.now());
    RelayRequest {
        attempt: inbound.attempt.to_vec(),
        method: inbound.method.to_string(),
        target: inbound.target.to_string(),
        headers: header_pairs(&inbound.headers),
        body: inbound.body.to_vec(),
        route: Route {
            objective: objective.into(),
            ..route.clone()
        },
        remaining: remaining.saturating_sub(RETURN_MARGIN).into(),
    }
}

/// Returns the outcome of a request with an answer.
fn answered(answer: Answer) -> RelayOutcome {
    let (parts, body) = answer.into_parts();
    if body.len() > peers::MAX_CONTENT {
        let bytes = body.len();
        log::warn!(
            "gateway: Dropped an answer of {bytes} bytes, which no message to another VM holds."
        );
        return refused(Refusal::unknown(RefusalReason::NoReply));
    }
    RelayOutcome::Answered {
        status: parts.status.as_u16(),
        headers: header_pairs(&parts.headers),
        body: body.to_vec(),
    }
}

fn refused(refusal: Refusal) -> RelayOutcome {
    RelayOutcome::Refused {
        reason: refusal.reason,
        ran: refusal.ran,
        retry: refusal.retry.map(Into::into),
    }
}

/// Returns what the caller gets for the outcome at another VM; `None` if the VM did nothing. An answer
/// that is not valid HTTP is no answer, and the request may have run.
pub(super) fn caller_answer(outcome: RelayOutcome) -> Option<Result<Answer, Refusal>> {
    match outcome {
        RelayOutcome::Answered {
            status,
            headers,
            body,
        } => {
            let answer = response(status, &headers, body);
            Some(answer.ok_or(Refusal::unknown(RefusalReason::NoReply)))
        }
        RelayOutcome::Refused { reason, ran, retry } => Some(Err(Refusal {
            reason,
            ran,
            retry: retry.map(|retry| retry.0),
        })),
        RelayOutcome::Unavailable => None,
    }
}

fn response(status: u16, headers: &[(String, Vec<u8>)], body: Vec<u8>) -> Option<Answer> {
    let mut response = Response::new(Bytes::from(body));
    let status = StatusCode::from_u16(status).ok();
    *response.status_mut() = status.filter(|status| is_final(*status))?;
    *response.headers_mut() = header_map(headers)?;
    Some(response)
}
