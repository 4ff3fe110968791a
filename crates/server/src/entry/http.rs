//! The callers' and operators' HTTP server.

use std::{pin::Pin, sync::Arc};

use cassialift_core::request::{Ran, RefusalReason};
use cassialift_wire::{
    caller::{ADDRESSES_PATH, AddressQuery, SEARCH_PATH},
    operator::{COUNTERS_PATH, Counters, STATUS_PATH},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    Bytes,
    body::Body,
    http::{StatusCode, header},
    response::Response,
    server::{
        Router, Server,
        extract::Query,
        layer::BodyLimitLayer,
        route::{get, post},
    },
};

use super::{addresses, refuse::Refused, search};
use crate::{
    operator,
    process::{Node, ProcessError, drain},
};

/// Serves callers until the process is told to stop.
///
/// # Errors
/// Returns why the address could not be listened on or the server stopped.
pub async fn serve(node: Arc<Node>) -> Result<(), ProcessError> {
    let address = node.settings.callers;
    let listening = TcpListener::bind(address).await;
    let listener = listening.map_err(|cause| ProcessError::Listen(address, cause))?;
    let limits = &node.settings.limits;
    let mut http = Server::new(router(&node)).layer(BodyLimitLayer::new(limits.body));
    let leaving = Arc::clone(&node);
    http.http1_config().set_max_headers(limits.headers);
    let http = http.register_shutdown_hook(move || Box::pin(async move { drain(&leaving).await }));
    let served = http.run(DefaultIncoming::from(listener)).await;
    served.map_err(ProcessError::Serve)
}

fn router(node: &Arc<Node>) -> Router {
    let counters = Arc::clone(node);
    let list = Arc::clone(node);
    let fleet = Arc::clone(node);
    Router::new()
        .route(
            ADDRESSES_PATH,
            get(move |Query(query): Query<AddressQuery>| {
                let answer = addresses::answer(&list, query);
                async move { reply(answer) }
            }),
        )
        .route(
            SEARCH_PATH,
            post(handler(Arc::clone(node), Ran::NotRun, search::run)),
        )
        .route(
            STATUS_PATH,
            get(move || {
                let status = operator::status(&fleet);
                async move { json(StatusCode::OK, &status) }
            }),
        )
        .route(
            COUNTERS_PATH,
            get(move || {
                let counters = counters.metrics.snapshot();
                async move { json(StatusCode::OK, &Counters { counters }) }
            }),
        )
}

/// Makes a handler that reads a JSON body and replies with JSON.
///
/// Once the process has left it refuses, saying of the request what `ran` says.
fn handler<Q, A, F, Fut>(
    node: Arc<Node>,
    ran: Ran,
    run: F,
) -> impl FnOnce(Bytes) -> Pin<Box<dyn Future<Output = Response> + Send>> + Clone + Send + Sync
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize,
    F: Fn(Arc<Node>, Q) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<A, Refused>> + Send,
{
    move |body: Bytes| {
        let running = node.drain.enter();
        Box::pin(async move {
            let _running = running;
            if node.drain.is_closed() {
                return reply::<A>(Err(addresses::refuse_leaving(&node, ran)));
            }
            match serde_json::from_slice::<Q>(&body) {
                Ok(request) => reply(run(node, request).await),
                Err(error) => reply::<A>(Err(Refused::new(
                    RefusalReason::Malformed,
                    Ran::NotRun,
                    error.to_string(),
                ))),
            }
        })
    }
}

fn reply<A: Serialize>(result: Result<A, Refused>) -> Response {
    match result {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refused) => json(refused.status(), &refused.refusal),
    }
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
