//! Receiving the body of a request within limits on its size and time.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, header::CONTENT_LENGTH};
use volo_http::{
    Bytes,
    http::{HeaderMap, StatusCode},
    response::Response,
};

use super::respond::refuse;
use cassialift_core::request::RefusalReason;

/// Reads a body of at most `limit` bytes within `time`, or returns the refusal.
pub(super) async fn receive(
    headers: &HeaderMap,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, Response> {
    if content_length(headers).is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(refuse(
            StatusCode::BAD_REQUEST,
            RefusalReason::Malformed,
            "the body broke off",
        )),
        Err(_) => Err(refuse(
            StatusCode::REQUEST_TIMEOUT,
            RefusalReason::Malformed,
            "the body did not come in time",
        )),
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large() -> Response {
    refuse(
        StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::TooLarge,
        "the body is larger than the settings allow",
    )
}
