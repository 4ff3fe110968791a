//! Health checks of backend servers.
//!
//! A reply may be outdated or wrong, so the only state that is taken from it is that the server is
//! leaving. Everything else is decided by the observed outcomes of calls.

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

/// The largest reply to a health check that is read, in bytes.
const REPLY_LIMIT: usize = 4_096;

/// Checks the health of a server once, on an idle connection. The check is skipped while no
/// connection is idle, since the replies to calls then give the same information.
pub(super) async fn check(server: Arc<Server>) {
    let limit = server.settings.cancel.0;
    let state = tokio::time::timeout(limit, request_state(&server)).await;
    if matches!(state, Ok(Some(HealthState::Leaving))) {
        server.pause();
        OwnerCounter::HealthLeaving.add(&server.metrics);
    }
}

async fn request_state(server: &Arc<Server>) -> Option<HealthState> {
    let mut connection = server.take_idle()?;
    let request = Exchange {
        method: Method::GET,
        path: HEALTH_PATH,
        body: Bytes::new(),
        deadline: Instant::now() + server.settings.cancel.0,
        decision: Arc::new(SendDecision::default()),
        metrics: Arc::clone(&server.metrics),
        counter: OwnerCounter::HealthAsked,
        limit: REPLY_LIMIT,
    };
    let body = exchange(&mut connection, request).await.ok()?;
    connection.last_used = Instant::now();
    server.put_idle(connection);
    let reply: HealthReply = serde_json::from_slice(&body).ok()?;
    Some(reply.state)
}
