//! Responses: JSON answers and typed refusals.

use cassialift_core::request::{Ran, RefusalReason};
use serde::Serialize;
use volo_http::{
    body::Body,
    http::{StatusCode, header},
    response::Response,
};

use crate::{entry::refuse::Refused, metrics::Metrics};

/// Makes a response of an answer or a refusal.
pub(super) fn reply<A: Serialize>(result: Result<A, Refused>) -> Response {
    match result {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refused) => json(refused.status(), &refused.refusal),
    }
}

/// Makes a JSON response.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// What is wrong with a request's form; its content was not looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormFault {
    /// The status of the refusal.
    pub(super) status: StatusCode,
    /// The reason.
    pub(super) reason: RefusalReason,
    /// One sentence for a person.
    pub(super) detail: &'static str,
}

impl FormFault {
    /// Makes the refusal and counts it.
    pub(super) fn refuse(self, metrics: &Metrics) -> Response {
        metrics.count(&format!("refused.{:?}", self.reason));
        let refused = Refused::new(self.reason, Ran::NotRun, self.detail.to_owned());
        json(self.status, &refused.refusal)
    }
}

/// Replaces the router's bare response for a path or method that it does not serve.
pub(super) fn typed(response: Response, metrics: &Metrics) -> Response {
    let detail = match response.status() {
        StatusCode::NOT_FOUND => "no such path",
        StatusCode::METHOD_NOT_ALLOWED => "the path does not take this method",
        _ => "the request cannot be served",
    };
    let is_json = response.headers().contains_key(header::CONTENT_TYPE);
    if is_json || response.status().is_success() {
        return response;
    }
    let fault = FormFault {
        status: response.status(),
        reason: RefusalReason::Malformed,
        detail,
    };
    fault.refuse(metrics)
}
