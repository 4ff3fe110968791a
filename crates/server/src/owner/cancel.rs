//! Cancellation of attempts at a backend server.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use cassialift_core::ids::{AttemptId, RequestKey};
use cassialift_wire::backend::{CANCEL_PATH, CancelRequest};
use hyper::Method;

use super::{
    connection::Connection,
    counters::OwnerCounter,
    decision::SendDecision,
    exchange::{Exchange, exchange},
    server::Server,
};

/// The largest reply to a cancellation that is read, in bytes.
const REPLY_LIMIT: usize = 4_096;

/// Asks a backend server to stop an attempt. The request needs a connection but no slot.
pub(super) async fn cancel(server: &Arc<Server>, request: RequestKey, attempt: AttemptId) {
    let limit = server.settings.cancel.0;
    if tokio::time::timeout(limit, send(server, request, attempt))
        .await
        .is_err()
    {
        log::debug!("owner: A cancellation got no reply in time.");
    }
}

async fn send(server: &Arc<Server>, request: RequestKey, attempt: AttemptId) {
    let Some(mut connection) = acquire_connection(server).await else {
        OwnerCounter::CancelSkipped.add(&server.metrics);
        return;
    };
    let body = serde_json::to_vec(&CancelRequest { request, attempt })
        .expect("numbers can be serialized as JSON");
    let cancellation = Exchange {
        method: Method::POST,
        path: CANCEL_PATH,
        body: Bytes::from(body),
        deadline: Instant::now() + server.settings.cancel.0,
        decision: Arc::new(SendDecision::default()),
        metrics: Arc::clone(&server.metrics),
        counter: OwnerCounter::CancelSent,
        limit: REPLY_LIMIT,
    };
    match exchange(&mut connection, cancellation).await {
        Ok(_reply) => {
            connection.last_used = Instant::now();
            server.put_idle(connection);
        }
        Err(error) => log::debug!("owner: A cancellation failed: {error}."),
    }
}

async fn acquire_connection(server: &Arc<Server>) -> Option<Connection> {
    match server.take_connection()? {
        Ok(connection) => Some(connection),
        Err(permit) => {
            let limit = server.settings.connect.0;
            let opened = Connection::open(server.address(), permit, limit, &server.handle).await;
            opened.ok()
        }
    }
}
