//! Callers and peers that send what no honest one sends.

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassialift_core::request::{ExecutionStatus, RefusalReason};
use cassialift_testkit::{client::JsonClient, harness::Fleet, history::CallEnd};
use cassialift_wire::caller::{JOBS_PATH, Refusal, SEARCH_PATH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yare::parameterized;

use super::{
    job_support::{is_done, started, submit, ticket_at},
    support::{assert_whole, start, wait_all_covered, wait_covered},
};

/// The most that a process's memory may grow under a hostile load, KiB.
const MAX_GROWTH_KIB: u64 = 64 * 1024;
/// How long the fleet may take to end what a hostile sender left open.
const PATIENCE: Duration = Duration::from_secs(30);

#[parameterized(
    no_json = { r#"{"id": "#, 400, RefusalReason::Malformed },
    unknown_field = { &search(r#""more":1,"kind":"fetch""#), 400, RefusalReason::Malformed },
    unknown_kind = { &search(r#""kind":"sweep""#), 400, RefusalReason::Malformed },
    job_as_search = { &search(r#""kind":"job""#), 400, RefusalReason::Malformed },
    no_shards = { &search(r#""kind":"fetch","shards":[]"#), 400, RefusalReason::Malformed },
    unknown_shard = { &search(r#""kind":"fetch","shards":[99]"#), 404, RefusalReason::UnknownShard },
    past_deadline = { &search(r#""kind":"fetch","deadline":0"#), 400, RefusalReason::DeadlinePast },
    oversized = { &large_search(), 413, RefusalReason::TooLarge },
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
    let (found, refusal) = parse(&reply);
    assert_eq!(
        (found, refusal.reason, refusal.ran),
        (status, reason, ExecutionStatus::NotRun),
        "{reply}"
    );
    assert_eq!(fleet.history().unwrap().runs, []);
}

/// Makes the body of a search with some fields of the test's.
fn search(fields: &str) -> String {
    format!(r#"{{"id":"1","caller":"c","service":"listings","query":"q",{fields}}}"#)
}

fn large_search() -> String {
    search(&format!(
        r#""kind":"fetch","caller":"{}""#,
        "x".repeat(1 << 20)
    ))
}

/// Sends bytes and returns all that comes back.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The process may answer and close before it has read everything.
    let _sent = stream.write_all(bytes).await;
    let mut reply = Vec::new();
    let _read = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}

fn parse(reply: &str) -> (u16, Refusal) {
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
    let before = memory(&fleet, 0);
    let mut streams = Vec::new();
    for number in 0..200 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let part = match number % 3 {
            0 => "POST /v1/search HTTP/1.1\r\n",
            1 => "POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 60000\r\n\r\n{",
            _ => "GET /v1/addresses HT",
        };
        stream.write_all(part.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    wait_covered(&fleet, 0).await;
    for stream in &mut streams {
        // One byte a connection keeps each of them alive for a naive server.
        let _open = stream.write_all(b"x").await;
    }
    wait_covered(&fleet, 0).await;
    let deadline = Instant::now() + PATIENCE;
    for mut stream in streams {
        let mut rest = Vec::new();
        let left = deadline.saturating_duration_since(Instant::now());
        let closed = tokio::time::timeout(left, stream.read_to_end(&mut rest)).await;
        assert!(
            closed.is_ok(),
            "a connection that sends no request stays open"
        );
    }
    assert!(memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_whole(&fleet).await;
}

/// How long a slow sender waits between two bytes.
const DRIP: Duration = Duration::from_millis(100);

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
    let before = memory(&fleet, 0);
    let drips: Vec<_> = (0..50)
        .map(|_| tokio::spawn(tokio::time::timeout(PATIENCE, drip(address, head))))
        .collect();
    wait_covered(&fleet, 0).await;
    for drip in drips {
        let ended = drip.await.unwrap();
        assert!(ended.is_ok(), "a connection that drips stays open");
    }
    assert!(memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_whole(&fleet).await;
}

/// Sends one byte after the other until the connection is closed.
async fn drip(address: SocketAddr, head: &str) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    writer.write_all(head.as_bytes()).await.unwrap();
    let dripping = async {
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(DRIP).await;
        }
    };
    let mut reply = Vec::new();
    tokio::select! {
        () = dripping => {}
        _closed = reader.read_to_end(&mut reply) => {}
    }
}

#[parameterized(
    of_search = { SEARCH_PATH, &search(r#""kind":"fetch""#) },
    of_job = { JOBS_PATH, r#"{"id":"1","caller":"c","ticket":"t","body":"b"}"# },
)]
#[test_macro(tokio::test)]
async fn test_hostile_truncated_request(path: &str, body: &str) {
    let fleet = start().await;
    // A body that reads well is truncated all the same if less came than was announced.
    let length = body.len() + 1;
    for kept in [0, 1, body.len() / 2, body.len()] {
        let head = format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: {length}\r\n\r\n");
        let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
        let bytes = [head.as_bytes(), &body.as_bytes()[..kept]].concat();
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut reply = Vec::new();
        let _read = stream.read_to_end(&mut reply).await;
        let reply = String::from_utf8_lossy(&reply);
        assert!(!reply.starts_with("HTTP/1.1 200"), "{reply}");
    }
    assert_eq!(fleet.history().unwrap().runs, []);
    wait_covered(&fleet, 0).await;
    assert_whole(&fleet).await;
}

#[tokio::test]
async fn test_hostile_callers_that_never_read() {
    let fleet = start().await;
    wait_covered(&fleet, 0).await;
    let before = memory(&fleet, 0);
    let requests = "GET /v1/status HTTP/1.1\r\nhost: vm\r\n\r\n".repeat(2_000);
    let mut streams = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
        // The process stops reading once its replies are not taken.
        let sent = stream.write_all(requests.as_bytes());
        let _full = tokio::time::timeout(DRIP, sent).await;
        streams.push(stream);
    }
    wait_covered(&fleet, 0).await;
    assert!(memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_whole(&fleet).await;
}

/// One submission that is sent again and again, at each VM, runs once.
#[tokio::test]
async fn test_hostile_replayed_job() {
    let fleet = start().await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_at(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let copies: Vec<_> = (0..30)
        .map(|number| submit(&fleet, number % 3, &ticket, &body))
        .collect();
    for copy in copies {
        let end = copy.await.unwrap();
        assert!(is_done(&end), "{end:?}");
    }
    let mut thief = fleet.caller("thief").unwrap();
    let foreign = thief.submit_at(fleet.vm_address(1), &ticket, &body);
    let CallEnd::Refused(refusal) = foreign.await else {
        panic!("another caller may use the ticket");
    };
    assert_eq!(refusal.reason, RefusalReason::ForeignTicket);
    assert_eq!(started(&fleet, &body), 1);
    assert_whole(&fleet).await;
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
    let before = memory(&fleet, 0);
    let mut streams = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(fleet.peer_address(0)).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        streams.push(stream);
    }
    wait_all_covered(&fleet).await;
    assert!(memory(&fleet, 0) < before + MAX_GROWTH_KIB);
    assert_whole(&fleet).await;
}

#[tokio::test]
async fn test_hostile_headers() {
    let fleet = start().await;
    let many = "x-more: 1\r\n".repeat(5_000);
    let request = format!("GET /v1/addresses HTTP/1.1\r\nhost: vm\r\n{many}\r\n");
    let reply = exchange(fleet.vm_address(0), request.as_bytes()).await;
    assert!(!reply.starts_with("HTTP/1.1 200"), "{reply}");
    let client = JsonClient::new(PATIENCE).unwrap();
    let reply = client
        .get(fleet.vm_address(0), "/v1/addresses")
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
}

/// Returns the memory that a VM's process holds, KiB.
fn memory(fleet: &Fleet, vm: usize) -> u64 {
    let pid = fleet.pid(vm).unwrap();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    size.unwrap().parse().unwrap()
}
