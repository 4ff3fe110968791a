//! Cancellation at a backend server.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use cassialift_core::ids::{AttemptId, RequestKey};
use cassialift_wire::backend::{CANCEL_PATH, CancelRequest};
use hyper::Method;

use super::{
    counters::OwnerCounter,
    exchange::{Exchange, exchange},
    lane::Lane,
    mark::SendMark,
    server::Server,
};

/// The largest reply to a cancellation that is read, in bytes.
const REPLY_LIMIT: usize = 4_096;

/// Asks a backend server to stop an attempt; needs a connection but no slot.
pub(super) async fn cancel(server: &Arc<Server>, request: RequestKey, attempt: AttemptId) {
    let limit = server.settings.cancel.0;
    if tokio::time::timeout(limit, send(server, request, attempt))
        .await
        .is_err()
    {
        log::debug!("owner: a cancellation got no reply in time.");
    }
}

async fn send(server: &Arc<Server>, request: RequestKey, attempt: AttemptId) {
    let Some(mut lane) = lane(server).await else {
        OwnerCounter::CancelSkipped.add(&server.metrics);
        return;
    };
    let body = serde_json::to_vec(&CancelRequest { request, attempt })
        .expect("a cancellation of numbers is valid JSON");
    let cancellation = Exchange {
        method: Method::POST,
        path: CANCEL_PATH,
        body: Bytes::from(body),
        deadline: Instant::now() + server.settings.cancel.0,
        mark: Arc::new(SendMark::default()),
        metrics: Arc::clone(&server.metrics),
        counter: OwnerCounter::CancelSent,
        limit: REPLY_LIMIT,
    };
    match exchange(&mut lane, cancellation).await {
        Ok(_reply) => {
            lane.used = Instant::now();
            server.put_idle(lane);
        }
        Err(error) => log::debug!("owner: a cancellation failed: {error}."),
    }
}

async fn lane(server: &Arc<Server>) -> Option<Lane> {
    match server.side_passage()? {
        Ok(lane) => Some(lane),
        Err(permit) => {
            let limit = server.settings.connect.0;
            let opened = Lane::open(server.address(), permit, limit, &server.handle).await;
            opened.ok()
        }
    }
}
