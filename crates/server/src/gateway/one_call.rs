//! One call of a request: it is sent, judged and reported to the policy.

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
        replica::CallReport,
    },
    routes::RouteTarget,
    view::ConfigView,
};
use tokio::{sync::oneshot, time::timeout};

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

/// One call of a request.
pub(super) struct OneCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) config: Arc<ConfigView>,
    pub(super) inbound: Arc<Inbound>,
    pub(super) server: ServerId,
    /// The version that a good reply counts as.
    pub(super) version: u64,
    /// Whether it needs a new connection.
    pub(super) fresh: bool,
}

impl OneCall {
    /// Runs the call and reports it to the policy; none if it was dismissed before its reply.
    pub(super) async fn run(
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
            queue_len: Some(self.gateway.lanes.waiting(&self.server)),
            queue_wait: Duration::ZERO,
        };
        let route = &self.inbound.route;
        self.gateway.decide(|tables| {
            tables.on_report(&route.name, route.kind, &self.server, &report, now);
        });
    }
}
