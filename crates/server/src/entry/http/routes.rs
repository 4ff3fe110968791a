//! The HTTP routes of the callers' and operators' protocols.

use std::{pin::Pin, sync::Arc};

use cassialift_core::request::{ExecutionStatus, RefusalReason};
use cassialift_wire::{
    caller::{ADDRESSES_PATH, AddressQuery, JOBS_PATH, OUTCOME_PATH, SEARCH_PATH, TICKETS_PATH},
    operator::{COUNTERS_PATH, Counters, METRICS_PATH, STATUS_PATH},
};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    Bytes,
    http::StatusCode,
    response::Response,
    server::{
        Router,
        extract::Query,
        route::{get, post},
    },
};

use super::respond::{json, reply};
use crate::{
    entry::{addresses, jobs, refuse::RefusalError, search},
    operator,
    process::Node,
};

pub(super) fn router(node: &Arc<Node>) -> Router {
    let counter_node = Arc::clone(node);
    let metrics_node = Arc::clone(node);
    let address_node = Arc::clone(node);
    let status_node = Arc::clone(node);
    Router::new()
        .route(
            ADDRESSES_PATH,
            get(move |Query(query): Query<AddressQuery>| {
                let answer = addresses::answer(&address_node, query);
                async move { reply(answer) }
            }),
        )
        .route(
            SEARCH_PATH,
            post(handler(
                Arc::clone(node),
                ExecutionStatus::NotRun,
                search::run,
            )),
        )
        .route(
            TICKETS_PATH,
            post(handler(
                Arc::clone(node),
                ExecutionStatus::NotRun,
                jobs::issue,
            )),
        )
        .route(
            JOBS_PATH,
            post(handler(
                Arc::clone(node),
                ExecutionStatus::NotRun,
                jobs::submit,
            )),
        )
        .route(
            OUTCOME_PATH,
            post(handler(
                Arc::clone(node),
                ExecutionStatus::Unknown,
                jobs::query_outcome,
            )),
        )
        .route(
            STATUS_PATH,
            get(move || {
                let status = operator::status(&status_node);
                async move { json(StatusCode::OK, &status) }
            }),
        )
        .route(
            METRICS_PATH,
            get(move || {
                let page = metrics_node.metrics.page();
                async move { page }
            }),
        )
        .route(
            COUNTERS_PATH,
            get(move || {
                let counters = counter_node.metrics.snapshot();
                async move { json(StatusCode::OK, &Counters { counters }) }
            }),
        )
}

/// Creates a handler that reads a JSON body and replies with JSON.
///
/// Once the process no longer accepts requests, the handler refuses them and reports `ran` as
/// their execution status.
fn handler<Q, A, F, Fut>(
    node: Arc<Node>,
    ran: ExecutionStatus,
    run: F,
) -> impl FnOnce(Bytes) -> Pin<Box<dyn Future<Output = Response> + Send>> + Clone + Send + Sync
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize,
    F: Fn(Arc<Node>, Q) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<A, RefusalError>> + Send,
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
                Err(error) => reply::<A>(Err(RefusalError::new(
                    RefusalReason::Malformed,
                    ExecutionStatus::NotRun,
                    error.to_string(),
                ))),
            }
        })
    }
}
