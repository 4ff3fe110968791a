//! One call of a request: sends it, classifies its outcome and reports it to the policy.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::ServerId,
    policy::{
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::{CallReport, ServerNotice},
    },
    routes::RouteTarget,
    view::ConfigView,
};
use tokio::{sync::oneshot, time::timeout};

use super::{
    Gateway,
    connections::ConnectionRequest,
    exchange::{Exchange, ExchangeEnd, Reply, states_not_run},
    inbound::Inbound,
    priority::priority_rank,
};
use crate::timer::Timer;

/// How long a call whose reply is no longer needed may continue to keep its connection open.
/// Opening another costs the backend server more than most calls take to end.
const CANCEL_GRACE: Duration = Duration::from_millis(200);

/// One call of a request to a backend server.
pub(super) struct ServerCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) config: Arc<ConfigView>,
    pub(super) inbound: Arc<Inbound>,
    pub(super) server: ServerId,
    /// The version that a successful reply is reported with.
    pub(super) version: u64,
    /// Whether the call requires a new connection, as calls that may not be repeated do.
    pub(super) fresh: bool,
}

/// The end of a call that was not cancelled.
pub(super) struct CallEnd {
    pub(super) outcome: CallOutcome,
    pub(super) reply: Option<Reply>,
    /// Whether the backend server announced that it leaves.
    pub(super) leaving: bool,
}

impl ServerCall {
    /// Runs the call and reports it to the policy; returns `None` if it was cancelled before its
    /// reply.
    pub(super) async fn run(self, mut cancelled: oneshot::Receiver<()>) -> Option<CallEnd> {
        let started = Timer.now();
        let sent = AtomicBool::new(false);
        let ended = {
            let mut exchange = std::pin::pin!(self.exchange(&sent));
            tokio::select! {
                ended = exchange.as_mut() => Some(ended),
                _ = &mut cancelled => {
                    if sent.load(Ordering::Relaxed) {
                        // A complete reply allows the connection to be reused.
                        if let Ok((_, notice)) = timeout(CANCEL_GRACE, exchange).await {
                            self.gateway.on_notice(&self.server, notice, started);
                        }
                    }
                    None
                }
            }
        };
        let (end, notice) = ended?;
        if matches!(end, ExchangeEnd::Reply(_)) {
            self.gateway.reach.on_reply();
        }
        let (outcome, reply) = self.classify(end);
        self.report(outcome, started);
        if outcome == CallOutcome::Unknown(UnknownCause::Broken)
            && let Some(address) = self.gateway.servers.address(&self.server, &self.config)
        {
            self.gateway
                .check_crash(&self.server, address.address, &self.inbound);
        }
        self.gateway.on_notice(&self.server, notice, started);
        Some(CallEnd {
            outcome,
            reply,
            leaving: notice.leaves_in.is_some(),
        })
    }

    async fn exchange(&self, sent: &AtomicBool) -> (ExchangeEnd, ServerNotice) {
        let gateway = &self.gateway;
        let Some(address) = gateway.servers.address(&self.server, &self.config) else {
            let end = ExchangeEnd::NotRun(NotRunCause::Leaving);
            return (end, ServerNotice::default());
        };
        let exchange = Exchange {
            inbound: Arc::clone(&self.inbound),
            connection: ConnectionRequest {
                server: ServerId::clone(&self.server),
                address: address.address,
                limit: address.connections,
                attempt: self.inbound.attempt.clone(),
                fresh: self.fresh,
                rank: priority_rank(&self.config, &self.inbound.route),
            },
        };
        exchange.run(gateway, sent).await
    }

    fn classify(&self, end: ExchangeEnd) -> (CallOutcome, Option<Reply>) {
        let reply = match end {
            ExchangeEnd::Reply(reply) => reply,
            ExchangeEnd::NotRun(cause) => return (CallOutcome::NotRun(cause), None),
            ExchangeEnd::Unknown(cause) => return (CallOutcome::Unknown(cause), None),
        };
        let route = &self.inbound.route;
        let is_part = matches!(route.target, RouteTarget::Shards(_));
        if !is_part && !route.kind.is_idempotent() && states_not_run(reply.status) {
            // The request ran, so that the caller must not get this status.
            let server = &self.server;
            log::warn!(
                "gateway: {server} answered a request that it ran with status {}, which is not passed on.",
                reply.status.as_u16()
            );
            return (CallOutcome::Unknown(UnknownCause::BadReply), None);
        }
        let failed = if is_part {
            !reply.status.is_success()
        } else {
            reply.status.is_server_error() && route.kind.is_idempotent()
        };
        if failed {
            // The backend server ran the request and failed; another one may succeed.
            let outcome = CallOutcome::Unknown(UnknownCause::BadReply);
            return (outcome, Some(reply));
        }
        (CallOutcome::Done(self.version), Some(reply))
    }

    fn report(&self, outcome: CallOutcome, started: Instant) {
        let now = Timer.now();
        let report = CallReport {
            outcome,
            latency: now.saturating_duration_since(started),
            queue_len: Some(self.gateway.connections.queue_len(&self.server)),
            queue_wait: Duration::ZERO,
        };
        let route = &self.inbound.route;
        self.gateway.with_tables(|tables| {
            tables.on_report(&route.name, route.kind, &self.server, &report, now);
            // A server that fails may be cold when it returns.
            self.gateway.update_limits(tables);
        });
    }
}
