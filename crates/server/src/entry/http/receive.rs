//! Receiving a request's body within bounds of size and time.

use std::time::Duration;

use cassialift_core::request::RefusalReason;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, header::CONTENT_LENGTH};
use volo_http::{
    Bytes,
    http::{HeaderMap, StatusCode},
};

use super::respond::FormFault;

const TOO_LARGE: FormFault = FormFault {
    status: StatusCode::PAYLOAD_TOO_LARGE,
    reason: RefusalReason::TooLarge,
    detail: "the body is larger than the settings allow",
};

const BROKEN: FormFault = FormFault {
    status: StatusCode::BAD_REQUEST,
    reason: RefusalReason::Malformed,
    detail: "the body broke off",
};

const LATE: FormFault = FormFault {
    status: StatusCode::REQUEST_TIMEOUT,
    reason: RefusalReason::Malformed,
    detail: "the body did not come in time",
};

/// Reads a body of at most `limit` bytes that comes within `time`.
pub(super) async fn receive(
    headers: &HeaderMap,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, FormFault> {
    if length(headers).is_some_and(|length| length > limit) {
        return Err(TOO_LARGE);
    }
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(TOO_LARGE),
        Ok(Err(_)) => Err(BROKEN),
        Err(_) => Err(LATE),
    }
}

fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
