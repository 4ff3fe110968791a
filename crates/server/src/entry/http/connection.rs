//! Serving the requests on callers' connections.

use std::{net::SocketAddr, sync::Arc};

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason},
    time::Millis,
};
use hyper::{Method, Request, body::Incoming};
use tokio::sync::Semaphore;
use volo::{Service, net::Address};
use volo_http::{
    body::Body,
    context::ServerContext,
    http::{StatusCode, header},
    response::Response,
    server::Router,
};

use super::{
    receive::receive,
    respond::{RefusalInfo, error_response, refuse, typed_refusal},
};
use crate::{
    entry::refuse::RefusalError,
    journal::{Journal, Part},
    metrics::Metrics,
    process::Node,
    settings::LimitSettings,
};

/// The retry delay in a refusal for too many requests in flight.
const RETRY_OVERLOADED: Millis = Millis::new(200);

/// The state that all connections share.
#[derive(Clone)]
pub(super) struct SharedState {
    router: Arc<Router>,
    limits: LimitSettings,
    requests: Arc<Semaphore>,
    metrics: Arc<Metrics>,
    journal: Arc<Journal>,
}

impl SharedState {
    pub(super) fn new(node: &Node, router: Router) -> Self {
        let limits = node.settings.limits.clone();
        Self {
            router: Arc::new(router),
            requests: Arc::new(Semaphore::new(limits.requests)),
            limits,
            metrics: Arc::clone(&node.metrics),
            journal: Arc::clone(&node.journal),
        }
    }

    /// Serves one request. Dropping the future, as happens when the caller disconnects, cancels the
    /// request.
    pub(super) async fn serve(self, peer: SocketAddr, request: Request<Incoming>) -> Response {
        let mut response = self.respond(peer, request).await;
        if response.status().is_client_error() {
            self.metrics.count("callers.client_error");
        }
        if let Some(info) = response.extensions_mut().remove::<RefusalInfo>() {
            self.record_refusal(&info);
        }
        if ends_connection(response.status()) {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn respond(&self, peer: SocketAddr, request: Request<Incoming>) -> Response {
        if request.headers().len() > self.limits.headers {
            return refuse(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                RefusalReason::TooLarge,
                "the request has more headers than the settings allow",
            );
        }
        // Only POST requests run anything; others are served even if too many are in flight.
        let runs = request.method() == Method::POST;
        let permit = self.requests.try_acquire();
        if runs && permit.is_err() {
            return Self::overloaded();
        }
        let (parts, body) = request.into_parts();
        let time = self.limits.receive.0;
        let body = match receive(&parts.headers, body, self.limits.body, time).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let request = Request::from_parts(parts, Body::from(body));
        let mut context = ServerContext::new(Address::from(peer));
        match self.router.call(&mut context, request).await {
            Ok(response) => typed_refusal(response),
        }
    }

    /// Counts a refusal and records its cause in the journal.
    fn record_refusal(&self, info: &RefusalInfo) {
        let reason = info.reason.name();
        self.metrics.count(&format!("refused.{reason}"));
        let text = format!("Refused a request with {reason}: {}.", info.detail);
        self.journal.record(Part::Entry, &text);
    }

    fn overloaded() -> Response {
        let detail = "too many requests are in flight".to_owned();
        let mut refused =
            RefusalError::new(RefusalReason::Overloaded, ExecutionStatus::NotRun, detail);
        refused.refusal.retry = Some(RETRY_OVERLOADED);
        error_response(&refused)
    }
}

/// Returns whether the response ends the connection. The rest of a request that was not read whole
/// may still arrive, so no other request can follow it.
fn ends_connection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    )
}
