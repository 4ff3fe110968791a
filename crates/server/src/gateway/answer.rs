//! Responses to callers: a backend server's reply, a merged answer or a refusal.

use std::time::Duration;

use bytes::Bytes;
use cassialift_core::{
    records,
    request::{ExecutionStatus, RefusalReason},
};
use cassialift_wire::platform::HeaderNames;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};

use super::{exchange::Reply, plan::Part, reply_memory::ReplyMemory};

/// A response to a caller.
pub(super) type Answer = Response<Bytes>;

/// The response header that names the reason of a refusal.
const REASON: HeaderName = HeaderName::from_static("cassialift-reason");

/// An answer that the gateway gives in place of a backend server's reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Refusal {
    pub(super) reason: RefusalReason,
    pub(super) ran: ExecutionStatus,
    /// The time after which to retry; `None` if a retry would not help.
    pub(super) retry: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that certainly did not run.
    pub(super) const fn not_run(reason: RefusalReason, retry: Option<Duration>) -> Self {
        let ran = ExecutionStatus::NotRun;
        Self { reason, ran, retry }
    }

    /// Returns the refusal of a request that may have run.
    pub(super) const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: ExecutionStatus::Unknown,
            retry: None,
        }
    }

    /// Returns the HTTP status: 503 states that the request did not run; 502 and 504 leave that
    /// open.
    pub(super) const fn status(self) -> StatusCode {
        match (self.reason, self.ran) {
            (RefusalReason::Malformed, _) => StatusCode::BAD_REQUEST,
            (RefusalReason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (RefusalReason::UnknownService, _) => StatusCode::NOT_FOUND,
            (_, ExecutionStatus::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (RefusalReason::DeadlinePast, ExecutionStatus::Unknown) => StatusCode::GATEWAY_TIMEOUT,
            (_, ExecutionStatus::Unknown) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the HTTP response to the caller.
    pub(super) fn response(self) -> Answer {
        let name = self.reason.name();
        let body = format!("{{\"reason\":\"{name}\"}}");
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(REASON, HeaderValue::from_static(name));
        let retry = self.retry.map(|time| format!("{:.3}", time.as_secs_f64()));
        if let Some(seconds) = retry.and_then(|text| HeaderValue::try_from(text).ok()) {
            headers.insert(RETRY_AFTER, seconds);
        }
        response
    }
}

/// Returns a backend server's reply as the response to the caller.
pub(super) fn forward(reply: Reply) -> Answer {
    let mut response = Response::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Merges the parts of a search into one answer, whose headers hold the signatures of the parts and
/// the number of missing shards; `None` if there is no memory for it.
pub(super) fn merge(
    parts: &[Part],
    missing: usize,
    top: usize,
    names: &HeaderNames,
    memory: &ReplyMemory,
) -> Option<Answer> {
    let bodies = parts.iter().map(|part| &*part.body);
    let body = memory.hold(records::merge(bodies, top).into())?;
    let mut response = Response::new(body);
    let shards = parts.iter().flat_map(|part| &part.shards);
    let signatures: Vec<&[u8]> = shards.map(|(_, signature)| signature.as_bytes()).collect();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        headers.insert(names.part_signatures.clone(), value);
    }
    headers.insert(names.missing_count.clone(), HeaderValue::from(missing));
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    Some(response)
}
