//! HTTP responses: JSON answers and typed refusals.

use cassialift_core::request::RefusalReason;
use cassialift_wire::caller::Refusal;
use serde::Serialize;
use volo_http::{
    body::Body,
    http::{StatusCode, header},
    response::Response,
};

use crate::entry::refuse::RefusalError;

/// The reason and the detail of a refusal, attached to its response for the counters and the
/// journal.
#[derive(Clone, Debug)]
pub(super) struct RefusalInfo {
    pub(super) reason: RefusalReason,
    pub(super) detail: String,
}

/// Builds the response of an answer or a refusal.
pub(super) fn reply<A: Serialize>(result: Result<A, RefusalError>) -> Response {
    match result {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refused) => error_response(&refused),
    }
}

/// Builds the response of a refusal, with its [`RefusalInfo`] attached.
pub(super) fn error_response(refused: &RefusalError) -> Response {
    refusal_response(refused.status(), &refused.refusal)
}

fn refusal_response(status: StatusCode, refusal: &Refusal) -> Response {
    let mut response = json(status, refusal);
    response.extensions_mut().insert(RefusalInfo {
        reason: refusal.reason,
        detail: refusal.detail.clone(),
    });
    response
}

/// Builds a JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds the refusal of a request that was not processed further, with the given HTTP status.
pub(super) fn refuse(status: StatusCode, reason: RefusalReason, detail: &str) -> Response {
    let refused = RefusalError::not_run(reason, detail);
    refusal_response(status, &refused.refusal)
}

/// Replaces the router's empty response to an unknown path or method with a typed refusal.
pub(super) fn typed_refusal(response: Response) -> Response {
    let detail = match response.status() {
        StatusCode::NOT_FOUND => "no such path",
        StatusCode::METHOD_NOT_ALLOWED => "the path does not take this method",
        _ => "the request cannot be served",
    };
    let has_type = response.headers().contains_key(header::CONTENT_TYPE);
    if has_type || response.status().is_success() {
        return response;
    }
    refuse(response.status(), RefusalReason::Malformed, detail)
}
