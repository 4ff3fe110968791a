//! Unit tests of the gateway; whole requests are tested with the platform's adapter.

use std::time::Duration;

use bytes::Bytes;
use cassialift_core::{
    policy::{
        gather::ShardTarget,
        server_limit::{CallRate, StatedLimit},
    },
    request::{ExecutionStatus, RefusalReason},
};
use cassialift_wire::{
    peer::{PartialReply, RelayOutcome},
    platform::HeaderNames,
};
use hyper::{
    StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
};
use yare::parameterized;

use super::{
    GatewaySettings,
    answer::Refusal,
    inbound::{Head, printable, strip_hop_headers},
    notice::{parse_pause, read_notice},
    partial::{self, DelegateError},
    relay::caller_answer,
};
use crate::peers::PeerError;

fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt: name("x-attempt"),
        deadline: name("x-deadline"),
        target_server: name("x-instance"),
        signature: name("x-signature"),
        not_run: name("x-refused"),
        leaving: name("x-leaving"),
        cold: HeaderName::from_static("cold-ms"),
        limit: name("x-limit"),
        part_signatures: name("x-parts"),
        missing_count: name("x-missing"),
    }
}

fn settings() -> GatewaySettings {
    serde_json::from_str(
        r#"{"requests": "127.0.0.1:1", "directory": "127.0.0.1:2", "readiness": "127.0.0.1:3",
            "drain": 5000}"#,
    )
    .unwrap()
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_static(value));
    }
    headers
}

#[parameterized(
    whole = { &[("x-attempt", "a1"), ("x-deadline", "250")], Some(Some(250)) },
    no_deadline = { &[("x-attempt", "a1")], Some(None) },
    no_id = { &[("x-deadline", "250")], None },
    empty_id = { &[("x-attempt", "")], None },
    bad_deadline = { &[("x-attempt", "a1"), ("x-deadline", "soon")], None },
    negative_deadline = { &[("x-attempt", "a1"), ("x-deadline", "-5")], None },
)]
fn test_head(pairs: &[(&'static str, &'static str)], expected: Option<Option<u64>>) {
    let head = Head::read(&headers(pairs), &names());
    let timeout = head.map(|head| head.timeout);
    let expected = expected.map(|millis| millis.map(Duration::from_millis));
    assert_eq!(timeout.ok(), expected);
}

#[test]
fn test_hop_headers_are_stripped() {
    let mut all = headers(&[
        ("connection", "close, X-Hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("expect", "100-continue"),
        ("x-kept", "1"),
    ]);
    strip_hop_headers(&mut all);
    assert_eq!(all, headers(&[("x-kept", "1")]));
}

/// Shards of a failed delegation are requested again as first calls, not extra ones, only if the VM
/// certainly sent none.
#[parameterized(
    unknown_vm = { DelegateError::Peer(PeerError::Unknown), true },
    mismatched = { DelegateError::Peer(PeerError::MismatchedReply), false },
    no_reply = { DelegateError::Timeout, false },
    declined = { DelegateError::Declined, true },
    outdated = { DelegateError::Peer(PeerError::Outdated(1)), true },
    no_rest = { DelegateError::Rest(PeerError::Unknown), false },
)]
fn test_delegation_unsent(error: DelegateError, unsent: bool) {
    assert_eq!(error.is_unsent(), unsent);
}

/// Only a request that certainly did not run is answered with 503, and then with a retry delay.
#[parameterized(
    overloaded = { RefusalReason::Overloaded, ExecutionStatus::NotRun, 503 },
    unreachable = { RefusalReason::Unreachable, ExecutionStatus::NotRun, 503 },
    late_not_run = { RefusalReason::DeadlinePast, ExecutionStatus::NotRun, 503 },
    late = { RefusalReason::DeadlinePast, ExecutionStatus::Unknown, 504 },
    no_reply = { RefusalReason::NoReply, ExecutionStatus::Unknown, 502 },
    leaving = { RefusalReason::Leaving, ExecutionStatus::Unknown, 502 },
    no_route = { RefusalReason::UnknownService, ExecutionStatus::NotRun, 404 },
    too_large = { RefusalReason::TooLarge, ExecutionStatus::NotRun, 413 },
    malformed = { RefusalReason::Malformed, ExecutionStatus::NotRun, 400 },
)]
fn test_refusal_status(reason: RefusalReason, ran: ExecutionStatus, status: u16) {
    let retry = Some(Duration::from_millis(150));
    let response = Refusal { reason, ran, retry }.response();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()[RETRY_AFTER], "0.150");
}

#[test]
fn test_caller_ids_cannot_forge_log_lines() {
    assert_eq!(printable(b"a b\nid=c\xff"), "a?b?id=c?");
    assert_eq!(printable(&[b'x'; 500]).len(), 64);
}

#[parameterized(
    whole = { &[1, 2], "signed", true },
    fewer = { &[2], "signed", true },
    none = { &[], "signed", true },
    twice = { &[1, 1], "signed", false },
    not_asked = { &[1, 3], "signed", false },
    two_signatures = { &[1], "signed, signed", false },
    empty_signature = { &[1], "", false },
)]
fn test_delegated_part(included: &[u32], signature: &str, accepted: bool) {
    let targets = [1, 2].map(|shard| ShardTarget {
        shard,
        service: None,
        replicas: Vec::new(),
    });
    let included = included.iter().map(|shard| (*shard, signature.into()));
    let reply = PartialReply {
        included: included.collect(),
        records: vec![7; 16],
        ..PartialReply::empty(b"a1".to_vec())
    };
    let part = partial::checked_part(reply, &targets);
    assert_eq!(part.is_some(), accepted);
    if let Some(part) = part {
        assert_eq!(part.body, Bytes::from_static(&[7; 16]));
    }
}

#[parameterized(
    whole = { "3", Some(3_000) },
    fraction = { "0.25", Some(250) },
    spaces = { " 1.5 ", Some(1_500) },
    zero = { "0", None },
    negative = { "-4", None },
    huge = { "1e300", Some(3_600_000) },
    infinite = { "inf", Some(3_600_000) },
    not_a_number = { "NaN", None },
    date = { "Fri, 04 Dec 2026 06:00:00 GMT", None },
    text = { "soon", None },
    empty = { "", None },
)]
fn test_pause(text: &str, millis: Option<u64>) {
    assert_eq!(parse_pause(text), millis.map(Duration::from_millis));
}

#[parameterized(
    nothing = { 200, &[], false, None },
    leaving = { 200, &[("x-leaving", "1")], true, None },
    not_leaving = { 200, &[("x-leaving", "0")], false, None },
    leaving_failure = { 500, &[("x-leaving", "1")], true, None },
    pause = { 503, &[("retry-after", "2")], false, Some(2) },
    both = { 503, &[("retry-after", "2"), ("x-leaving", "1")], true, Some(2) },
    pause_of_another_status = { 429, &[("retry-after", "2")], false, None },
)]
fn test_notice(
    status: u16,
    pairs: &[(&'static str, &'static str)],
    leaving: bool,
    pause: Option<u64>,
) {
    let settings = settings();
    let status = StatusCode::from_u16(status).unwrap();
    let notice = read_notice(status, &headers(pairs), &names(), &settings);
    let leaves_in = leaving.then_some(Duration::from_millis(4_500));
    assert_eq!(notice.leaves_in, leaves_in);
    assert_eq!(notice.pause, pause.map(Duration::from_secs));
}

#[parameterized(
    none = { 200, &[("x-signature", "s")], StatedLimit::Unlimited },
    named = { 200, &[("x-signature", "s"), ("x-limit", "1.5")], limited(1.5) },
    named_in_failure = { 500, &[("x-signature", "s"), ("x-limit", " 4 ")], limited(4.0) },
    named_in_refusal = { 503, &[("x-refused", "1"), ("x-limit", "4")], limited(4.0) },
    refusal_without = { 503, &[("x-refused", "1")], StatedLimit::Unknown },
    unsigned = { 200, &[("x-limit", "4")], StatedLimit::Unknown },
    of_another_server = { 421, &[("x-refused", "1"), ("x-limit", "4")], StatedLimit::Unknown },
    text = { 200, &[("x-signature", "s"), ("x-limit", "few")], StatedLimit::Unknown },
    negative = { 200, &[("x-signature", "s"), ("x-limit", "-1")], StatedLimit::Unknown },
)]
fn test_stated_limit(status: u16, pairs: &[(&'static str, &'static str)], expected: StatedLimit) {
    let settings = settings();
    let status = StatusCode::from_u16(status).unwrap();
    let notice = read_notice(status, &headers(pairs), &names(), &settings);
    assert_eq!(notice.limit, expected);
}

fn limited(calls: f64) -> StatedLimit {
    StatedLimit::Limited(CallRate::per_second(calls).unwrap())
}

/// A VM of an earlier build may pass on a status that is no final one of HTTP.
#[parameterized(zero = { 0 }, below = { 99 }, switching = { 101 }, above = { 600 }, highest = { 999 })]
fn test_relayed_answer_with_an_odd_status_is_no_answer(status: u16) {
    let outcome = RelayOutcome::Answered {
        status,
        headers: Vec::new(),
        body: Vec::new(),
    };
    let refusal = caller_answer(outcome).unwrap().unwrap_err();
    assert_eq!(refusal, Refusal::unknown(RefusalReason::NoReply));
}
