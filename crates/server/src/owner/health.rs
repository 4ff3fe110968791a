//! Asking backend servers for their health.
//!
//! The reply may lag or mislead, so that only one thing is taken from it: that the server is
//! leaving. What was observed of calls decides everything else.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use cassialift_wire::backend::{HEALTH_PATH, HealthReply, HealthState};
use hyper::Method;

use super::{
    counters::OwnerCounter,
    decision::SendDecision,
    exchange::{Exchange, exchange},
    server::Server,
};

/// The largest reply that is read, in bytes.
const REPLY_LIMIT: usize = 4_096;

/// Asks once, on an idle connection; while all are in use the replies to calls tell as much.
pub(super) async fn check(server: Arc<Server>) {
    let limit = server.settings.cancel.0;
    let asked = tokio::time::timeout(limit, ask(&server)).await;
    if matches!(asked, Ok(Some(HealthState::Leaving))) {
        server.hold();
        OwnerCounter::HealthLeaving.add(&server.metrics);
    }
}

async fn ask(server: &Arc<Server>) -> Option<HealthState> {
    let mut connection = server.take_idle()?;
    let question = Exchange {
        method: Method::GET,
        path: HEALTH_PATH,
        body: Bytes::new(),
        deadline: Instant::now() + server.settings.cancel.0,
        decision: Arc::new(SendDecision::default()),
        metrics: Arc::clone(&server.metrics),
        counter: OwnerCounter::HealthAsked,
        limit: REPLY_LIMIT,
    };
    let body = exchange(&mut connection, question).await.ok()?;
    connection.last_used = Instant::now();
    server.put_idle(connection);
    let reply: HealthReply = serde_json::from_slice(&body).ok()?;
    Some(reply.state)
}
