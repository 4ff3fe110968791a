//! Listening for callers and operators that use cassialift's own protocol.

use std::sync::Arc;

use cassialift_core::request::{ExecutionStatus, RefusalReason};
use hyper::{Request, body::Incoming};

use super::{connection::SharedState, routes::router};
use crate::{
    entry::refuse::RefusalError,
    http::{AcceptSettings, Acceptor, Caller},
    process::{Node, ProcessError},
    sockets,
};

/// The number of headers that the HTTP library accepts beyond the limit in the settings, so that
/// requests slightly above the limit get a typed refusal.
const SPARE_HEADERS: usize = 64;

/// The largest head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Serves callers until `stop` ends, then finishes the requests in flight.
///
/// # Errors
/// Returns an error if the process cannot listen on the callers' address.
pub async fn serve(node: Arc<Node>, stop: impl Future<Output = ()>) -> Result<(), ProcessError> {
    let listener = sockets::listen(node.settings.callers).await?;
    let limits = &node.settings.limits;
    let settings = AcceptSettings {
        full: Arc::default(),
        max_connections: limits.connections,
        max_headers: limits.headers + SPARE_HEADERS,
        max_head: MAX_HEAD,
        head_timeout: limits.receive.0,
        refusal: refusal(),
    };
    let shared = SharedState::new(&node, router(&node));
    let serve = move |caller: Caller, request: Request<Incoming>| {
        let shared = shared.clone();
        async move { shared.serve(caller.address, request).await }
    };
    Acceptor::new(&settings, serve).run(listener, stop).await;
    Ok(())
}

/// Returns the whole HTTP response to a connection beyond the limit.
fn refusal() -> String {
    let detail = "too many connections are open".to_owned();
    let refused = RefusalError::new(RefusalReason::Overloaded, ExecutionStatus::NotRun, detail);
    let body = serde_json::to_string(&refused.refusal).unwrap_or_default();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
