//! Responses to callers: a backend server's reply, a merged answer or a refusal.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use cassialift_core::{
    records,
    request::{ExecutionStatus, RefusalReason},
};
use cassialift_wire::platform::HeaderNames;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};

use super::{exchange::Reply, plan::Part, reply_memory::ReplyShare};

/// A response to a caller.
pub(super) type Answer = Response<AnswerBody>;

/// The body of a response, with the memory that it takes until the caller has read it.
#[derive(Debug, Default)]
pub(super) struct AnswerBody {
    bytes: Full<Bytes>,
    #[expect(dead_code, reason = "it is held until the response has been sent")]
    share: Option<Arc<ReplyShare>>,
}

impl AnswerBody {
    pub(super) fn new(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: Full::new(bytes.into()),
            share: None,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.get_mut().bytes).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}

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
        let mut response = Response::new(AnswerBody::new(body));
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
    let mut response = Response::new(AnswerBody {
        bytes: Full::new(reply.body),
        share: Some(reply.share),
    });
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Merges the parts of a search into one answer, whose headers hold the signatures of the parts and
/// the number of missing shards.
pub(super) fn merge(parts: &[Part], missing: usize, top: usize, names: &HeaderNames) -> Answer {
    let bodies = parts.iter().map(|part| &*part.body);
    let body = records::merge(bodies, top);
    let mut response = Response::new(AnswerBody::new(body));
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
    response
}
