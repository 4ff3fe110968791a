//! What the headers of a reply state about the backend server itself.

use std::time::Duration;

use cassialift_core::policy::{
    replica::ServerNotice,
    server_limit::{CallRate, StatedLimit},
};
use cassialift_wire::platform::HeaderNames;
use hyper::{
    StatusCode,
    header::{HeaderMap, RETRY_AFTER},
};

use super::GatewaySettings;

/// The longest pause that a backend server can ask for.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// The longest time for which a backend server can say that it is cold.
const MAX_COLD: Duration = Duration::from_mins(10);

/// Returns what a reply states about the backend server that sent it.
pub(super) fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
    settings: &GatewaySettings,
) -> ServerNotice {
    let is_leaving = headers
        .get(&names.leaving)
        .is_some_and(|value| value.as_bytes().trim_ascii() == b"1");
    let pause = (status == StatusCode::SERVICE_UNAVAILABLE)
        .then(|| headers.get(RETRY_AFTER)?.to_str().ok())
        .flatten()
        .and_then(parse_pause);
    ServerNotice {
        leaves_in: is_leaving.then(|| settings.leave_time()),
        pause,
        limit: read_limit(status, headers, names),
        cold: read_cold(status, headers, names),
    }
}

/// Returns how long a backend server stays cold according to its reply; `None` if the reply does not say.
fn read_cold(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
    if !is_own(status, headers, names) {
        return None;
    }
    let millis: f64 = headers
        .get(&names.cold)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    let time = Duration::try_from_secs_f64(millis / 1_000.0).ok()?;
    Some(time.min(MAX_COLD))
}

/// Returns whether a reply is the called server's own.
fn is_own(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    let is_marked = headers.contains_key(&names.signature) || headers.contains_key(&names.not_run);
    is_marked && status != StatusCode::MISDIRECTED_REQUEST
}

/// Returns the limit that a reply states; unknown if it is unreadable, or if the reply need not be
/// the called server's own.
///
/// Only a signed reply shows that the server states no limit.
fn read_limit(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> StatedLimit {
    if !is_own(status, headers, names) {
        return StatedLimit::Unknown;
    }
    let Some(value) = headers.get(&names.limit) else {
        return if headers.contains_key(&names.signature) {
            StatedLimit::Unlimited
        } else {
            StatedLimit::Unknown
        };
    };
    let calls = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match calls.and_then(CallRate::per_second) {
        Some(rate) => StatedLimit::Limited(rate),
        None => StatedLimit::Unknown,
    }
}

/// Parses a pause in seconds, with an optional fraction.
///
/// Returns `None` for a pause of zero or less, and for dates and other text, which state no usable
/// time. A pause of more than [`MAX_PAUSE`] becomes [`MAX_PAUSE`].
pub(super) fn parse_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds <= 0.0 {
        return None;
    }
    let pause = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE);
    Some(pause.min(MAX_PAUSE))
}
