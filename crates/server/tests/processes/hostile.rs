//! Hostile callers and peers: malformed, oversized, truncated, slow and replayed input.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassialift_core::request::{ExecutionStatus, RefusalReason};
use cassialift_testkit::{
    client::JsonClient,
    harness::{Fleet, resident_bytes},
    history::CallEnd,
};
use cassialift_wire::caller::{JOBS_PATH, Refusal, SEARCH_PATH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yare::parameterized;

use super::{
    job_support::{is_done, start_count, submit, ticket_from},
    support::{assert_invariants, start, wait_all_covered, wait_covered},
};

/// The largest growth of a process's resident memory under hostile load, in KiB.
const MAX_GROWTH_KIB: u64 = 64 * 1024;
/// The time within which the fleet must close the connections of a hostile sender, and the timeout
/// of the JSON client.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

#[parameterized(
    no_json = { r#"{"id": "#, 400, RefusalReason::Malformed },
    unknown_field = { &search_body(r#""more":1,"kind":"fetch""#), 400, RefusalReason::Malformed },
    unknown_kind = { &search_body(r#""kind":"sweep""#), 400, RefusalReason::Malformed },
    job_as_search = { &search_body(r#""kind":"job""#), 400, RefusalReason::Malformed },
    no_shards = { &search_body(r#""kind":"fetch","shards":[]"#), 400, RefusalReason::Malformed },
    unknown_shard = {
        &search_body(r#""kind":"fetch","shards":[99]"#), 404, RefusalReason::UnknownShard
    },
    past_deadline = {
        &search_body(r#""kind":"fetch","deadline":0"#), 400, RefusalReason::DeadlinePast
    },
    oversized = { &oversized_search_body(), 413, RefusalReason::TooLarge },
)]
#[test_macro(tokio::test)]
async fn test_hostile_request(body: &str, status: u16, reason: RefusalReason) {
    let fleet = start().await;
    let head = format!(
        "POST {SEARCH_PATH} HTTP/1.1\r\nhost: vm\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let reply = exchange(
        fleet.vm_address(0),
        &[head.as_bytes(), body.as_bytes()].concat(),
    )
    .await;
    let (found_status, refusal) = parse_refusal(&reply);
    assert_eq!(
        (found_status, refusal.reason, refusal.ran),
        (status, reason, ExecutionStatus::NotRun),
        "{reply}"
    );
    assert_eq!(fleet.history().unwrap().runs, []);
}

/// Returns the body of a search request that has `fields` in addition to the required ones.
fn search_body(fields: &str) -> String {
    format!(r#"{{"id":"1","caller":"c","service":"listings","query":"q",{fields}}}"#)
}

fn oversized_search_body() -> String {
    search_body(&format!(
        r#""kind":"fetch","caller":"{}""#,
        "x".repeat(1 << 20)
    ))
}

/// Sends bytes on a new connection and returns all bytes received until it is closed.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The write may fail: the process can reply and close before it has read the whole request.
    let _sent = stream.write_all(bytes).await;
    let mut reply = Vec::new();
    let _read = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}

fn parse_refusal(reply: &str) -> (u16, Refusal) {
    let status = reply
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = reply.split("\r\n\r\n").nth(1).unwrap_or_default();
    (status.unwrap(), serde_json::from_str(body).unwrap())
}

#[tokio::test]
async fn test_hostile_callers_that_never_finish() {
    let fleet = start().await;
    let address = fleet.vm_address(0);
    wait_covered(&fleet, 0).await;
    let before = resident_memory(&fleet, 0);
    let mut streams = Vec::new();
    for number in 0..200 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let partial_request = match number % 3 {
            0 => "POST /v1/search HTTP/1.1\r\n",
            1 => "POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 60000\r\n\r\n{",
            _ => "GET /v1/addresses HT",
        };
        stream.write_all(partial_request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    wait_covered(&fleet, 0).await;
    for stream in &mut streams {
        // A server that only measures the time since the last byte would keep the connection open.
        let _written = stream.write_all(b"x").await;
    }
    wait_covered(&fleet, 0).await;
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    for mut stream in streams {
        let mut rest = Vec::new();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let closed = tokio::time::timeout(remaining, stream.read_to_end(&mut rest)).await;
        assert!(
            closed.is_ok(),
            "a connection without a complete request stays open"
        );
    }
    assert!(resident_memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_invariants(&fleet).await;
}

/// The time that a slow sender waits between two bytes, and the longest time that a caller which
/// never reads spends on writing.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

#[parameterized(
    head = { "POST /v1/search HTTP/1.1\r\nhost: vm\r\nx-more: " },
    body = { "POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 60000\r\n\r\n" },
    chunks = { "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\nffff\r\n" },
)]
#[test_macro(tokio::test)]
async fn test_hostile_callers_that_drip(head: &'static str) {
    let fleet = start().await;
    let address = fleet.vm_address(0);
    wait_covered(&fleet, 0).await;
    let before = resident_memory(&fleet, 0);
    let senders: Vec<_> = (0..50)
        .map(|_| {
            tokio::spawn(tokio::time::timeout(
                CLOSE_TIMEOUT,
                send_slowly(address, head),
            ))
        })
        .collect();
    wait_covered(&fleet, 0).await;
    for sender in senders {
        let ended = sender.await.unwrap();
        assert!(
            ended.is_ok(),
            "a connection that sends one byte at a time stays open"
        );
    }
    assert!(resident_memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_invariants(&fleet).await;
}

/// Sends `head`, then one byte every [`BYTE_INTERVAL`] until the connection is closed.
async fn send_slowly(address: SocketAddr, head: &str) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    writer.write_all(head.as_bytes()).await.unwrap();
    let sending = async {
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(BYTE_INTERVAL).await;
        }
    };
    let mut reply = Vec::new();
    tokio::select! {
        () = sending => {}
        _closed = reader.read_to_end(&mut reply) => {}
    }
}

#[parameterized(
    of_search = { SEARCH_PATH, &search_body(r#""kind":"fetch""#) },
    of_job = { JOBS_PATH, r#"{"id":"1","caller":"c","ticket":"t","body":"b"}"# },
)]
#[test_macro(tokio::test)]
async fn test_hostile_truncated_request(path: &str, body: &str) {
    let fleet = start().await;
    // The announced length is one byte longer than the body, so that even the whole body, which is
    // valid JSON, is a truncated request.
    let length = body.len() + 1;
    for sent_len in [0, 1, body.len() / 2, body.len()] {
        let head = format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: {length}\r\n\r\n");
        let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
        let bytes = [head.as_bytes(), &body.as_bytes()[..sent_len]].concat();
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut reply = Vec::new();
        let _read = stream.read_to_end(&mut reply).await;
        let reply = String::from_utf8_lossy(&reply);
        assert!(!reply.starts_with("HTTP/1.1 200"), "{reply}");
    }
    assert_eq!(fleet.history().unwrap().runs, []);
    wait_covered(&fleet, 0).await;
    assert_invariants(&fleet).await;
}

#[tokio::test]
async fn test_hostile_callers_that_never_read() {
    let fleet = start().await;
    wait_covered(&fleet, 0).await;
    let before = resident_memory(&fleet, 0);
    let requests = "GET /v1/status HTTP/1.1\r\nhost: vm\r\n\r\n".repeat(2_000);
    let mut streams = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
        // The process stops reading requests while the caller does not read its replies.
        let sent = stream.write_all(requests.as_bytes());
        let _full = tokio::time::timeout(BYTE_INTERVAL, sent).await;
        streams.push(stream);
    }
    wait_covered(&fleet, 0).await;
    assert!(resident_memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_invariants(&fleet).await;
}

/// A job that is submitted 30 times, at all VMs, with the same ticket and body runs once, and a
/// different caller cannot use the ticket.
#[tokio::test]
async fn test_hostile_replayed_job() {
    let fleet = start().await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let submissions: Vec<_> = (0..30)
        .map(|number| submit(&fleet, number % 3, &ticket, &body))
        .collect();
    for submission in submissions {
        let end = submission.await.unwrap();
        assert!(is_done(&end), "{end:?}");
    }
    let mut other_caller = fleet.caller("thief").unwrap();
    let submission = other_caller.submit_at(fleet.vm_address(1), &ticket, &body);
    let CallEnd::Refused(refusal) = submission.await else {
        panic!("another caller was not refused the ticket");
    };
    assert_eq!(refusal.reason, RefusalReason::ForeignTicket);
    assert_eq!(start_count(&fleet, &body), 1);
    assert_invariants(&fleet).await;
}

#[parameterized(
    garbage = { b"GET / HTTP/1.1\r\n\r\n garbage garbage garbage" },
    oversized_frame = { &[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0] },
    truncated_frame = { &[0, 0, 1, 0, 7, 7, 7] },
    truncated_large_frame = { &[0, 0x3f, 0xff, 0xff, 0, 0, 0, 0] },
    empty_frame = { &[0, 0, 0, 0] },
    unknown_call = { &[0, 0, 0, 8, 0xfe, 0xff, 0xff, 0xff, 1, 2, 3, 4] },
)]
#[test_macro(tokio::test)]
async fn test_hostile_peer(bytes: &[u8]) {
    let fleet = start().await;
    wait_covered(&fleet, 0).await;
    let before = resident_memory(&fleet, 0);
    let mut streams = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(fleet.peer_address(0)).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        streams.push(stream);
    }
    wait_all_covered(&fleet).await;
    assert!(resident_memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_invariants(&fleet).await;
}

#[tokio::test]
async fn test_hostile_headers() {
    let fleet = start().await;
    let headers = "x-more: 1\r\n".repeat(5_000);
    let request = format!("GET /v1/addresses HTTP/1.1\r\nhost: vm\r\n{headers}\r\n");
    let reply = exchange(fleet.vm_address(0), request.as_bytes()).await;
    assert!(!reply.starts_with("HTTP/1.1 200"), "{reply}");
    let client = JsonClient::new(CLOSE_TIMEOUT).unwrap();
    let reply = client
        .get(fleet.vm_address(0), "/v1/addresses")
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
}

/// Returns the resident memory of a VM's process, in KiB.
fn resident_memory(fleet: &Fleet, vm: usize) -> u64 {
    resident_bytes(fleet.pid(vm).unwrap()).unwrap() / 1_024
}
