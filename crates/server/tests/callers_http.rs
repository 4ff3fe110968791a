//! Tests of invalid, oversized, slow and excessive requests of callers over HTTP, and of a shutdown
//! that finishes the search in flight.
//!
//! Each rejected request gets a typed refusal or its connection is closed, nothing is run for it,
//! and it no longer counts against the limits of connections and requests.

use std::{net::SocketAddr, time::Duration};

use cassialift_core::{
    presets::{KindPolicy, Preset},
    request::{ExecutionStatus, RefusalReason, RequestKind},
    time::Millis,
};
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, Signal},
    standin::backend::ServiceTime,
};
use cassialift_wire::{
    caller::{ADDRESSES_PATH, Refusal, SearchAnswer},
    operator::{COUNTERS_PATH, Counters},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MAX_BODY_BYTES: usize = 4_096;
const MAX_CONNECTIONS: usize = 8;
const MAX_REQUESTS: usize = 4;

/// A time limit for receiving a request, in milliseconds, that no test reaches.
const LONG_RECEIVE_MS: u64 = 60_000;

/// The fields that [`search`] puts into each search request before those of the test.
const SEARCH_FIELDS: &str = r#""id":"a","caller":"dealer","service":"listings","query":"q""#;

async fn start_fleet(median: u64, receive_ms: u64) -> Fleet {
    let limits = serde_json::json!({
        "body": MAX_BODY_BYTES,
        "headers": 20,
        "connections": MAX_CONNECTIONS,
        "requests": MAX_REQUESTS,
        "receive": receive_ms,
    });
    let wide_policy = KindPolicy {
        deadline: Millis::new(30_000),
        ..KindPolicy::default()
    };
    let fleet = Fleet::start(FleetSettings {
        vms: vec![1],
        servers: 1,
        shards: 2,
        replicas: 1,
        job_servers: 1,
        backend_processes: 1,
        search_time: ServiceTime { median, sigma: 0.0 },
        preset: Preset {
            kinds: [(RequestKind::WideSearch, wide_policy)].into(),
            address_ttl: Millis::new(200),
            ..Preset::default()
        },
        vm_settings: serde_json::Map::from_iter([("limits".to_owned(), limits)]),
        ..FleetSettings::default()
    })
    .await
    .unwrap();
    fleet.wait_slots_owned().await.unwrap();
    fleet
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn search(fields: &str) -> String {
    post("/v1/search", &format!("{{{SEARCH_FIELDS},{fields}}}"))
}

/// Reads one response and returns its status and its body.
async fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    (status, String::from_utf8(body).unwrap())
}

async fn send(address: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    read_response(&mut stream).await
}

async fn received_count(fleet: &Fleet) -> u64 {
    let stats = fleet.backend_stats().await.unwrap();
    stats.values().map(|stats| stats.received).sum()
}

/// The name of a case, a request that must be refused, and the status and reason of the refusal.
type InvalidRequest = (&'static str, String, u16, RefusalReason);

/// Returns valid HTTP requests whose body is refused.
fn invalid_contents() -> Vec<InvalidRequest> {
    use RefusalReason::{DeadlinePast, Malformed, UnknownService, UnknownShard, UnknownTicket};
    let wide = r#""kind":"wide_search""#;
    let ticket = |ticket: &str| {
        post(
            "/v1/jobs",
            &format!(r#"{{"id":"a","caller":"c","ticket":"{ticket}","body":"b"}}"#),
        )
    };
    vec![
        ("no JSON", post("/v1/search", "{\"id\":"), 400, Malformed),
        (
            "no UTF-8 text",
            post("/v1/search", "\u{0}\u{1}"),
            400,
            Malformed,
        ),
        ("empty body", post("/v1/search", ""), 400, Malformed),
        (
            "unknown field",
            search(&format!(r#"{wide},"x":1"#)),
            400,
            Malformed,
        ),
        ("unknown kind", search(r#""kind":"x""#), 400, Malformed),
        ("job as search", search(r#""kind":"job""#), 400, Malformed),
        (
            "negative deadline",
            search(&format!(r#"{wide},"deadline":-5"#)),
            400,
            Malformed,
        ),
        (
            "deadline beyond numbers",
            search(&format!(r#"{wide},"deadline":1e99"#)),
            400,
            Malformed,
        ),
        (
            "deadline in the past",
            search(&format!(r#"{wide},"deadline":0"#)),
            400,
            DeadlinePast,
        ),
        (
            "no shards",
            search(&format!(r#"{wide},"shards":[]"#)),
            400,
            Malformed,
        ),
        (
            "unknown shard",
            search(&format!(r#"{wide},"shards":[0,77]"#)),
            404,
            UnknownShard,
        ),
        (
            "unknown service",
            post(
                "/v1/search",
                r#"{"id":"a","caller":"c","service":"x","query":"q","kind":"fetch"}"#,
            ),
            404,
            UnknownService,
        ),
        (
            "ticket for an unknown service",
            post("/v1/tickets", r#"{"caller":"c","service":"x"}"#),
            404,
            UnknownService,
        ),
        ("no ticket", ticket("abc"), 404, UnknownTicket),
        ("ticket of other bytes", ticket("AAAA"), 404, UnknownTicket),
    ]
}

/// Returns HTTP requests that exceed a limit or have a wrong path or method.
fn invalid_forms() -> Vec<InvalidRequest> {
    use RefusalReason::{Malformed, TooLarge};
    let large = "x".repeat(MAX_BODY_BYTES);
    let many = "x: y\r\n".repeat(30);
    let chunked = format!("{:x}\r\n{large}xx\r\n0\r\n\r\n", MAX_BODY_BYTES + 2);
    vec![
        (
            "large body",
            post("/v1/search", &format!("{large}x")),
            413,
            TooLarge,
        ),
        (
            "large body in chunks",
            format!(
                "POST /v1/search HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n{chunked}"
            ),
            413,
            TooLarge,
        ),
        (
            "many headers",
            format!("GET /v1/addresses HTTP/1.1\r\n{many}\r\n"),
            431,
            TooLarge,
        ),
        ("unknown path", post("/v1/nothing", "{}"), 404, Malformed),
        (
            "wrong method",
            "GET /v1/search HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            405,
            Malformed,
        ),
    ]
}

#[tokio::test]
async fn test_bad_requests_refused_and_nothing_run() {
    let fleet = start_fleet(1_000, LONG_RECEIVE_MS).await;
    let address = fleet.vm_address(0);
    let before = received_count(&fleet).await;
    for (name, request, status, reason) in invalid_contents().into_iter().chain(invalid_forms()) {
        let (found_status, body) = send(address, &request).await;
        let refusal: Refusal = serde_json::from_str(&body).unwrap_or_else(|error| {
            panic!("{name}: {error}: {body}");
        });
        assert_eq!(
            (found_status, refusal.reason),
            (status, reason),
            "{name}: {body}"
        );
        assert_eq!(refusal.ran, ExecutionStatus::NotRun, "{name}");
    }
    assert_eq!(received_count(&fleet).await, before);
    let page = fleet.get(0, COUNTERS_PATH).await.unwrap();
    let counters = page.parse::<Counters>().unwrap().counters;
    assert_eq!(counters["refused.too_large"], 3);
    assert_eq!(counters["refused.unknown_ticket"], 2);
    assert_eq!(counters["refused.unknown_service"], 2);
    let search_fields = format!(r#""kind":"wide_search","deadline":{}"#, u64::MAX);
    let (status, body) = send(address, &search(&search_fields)).await;
    assert_eq!(status, 200, "{body}");
    let answer: SearchAnswer = serde_json::from_str(&body).unwrap();
    assert_eq!(answer.coverage.included, [0, 1]);
}

#[tokio::test]
async fn test_slow_senders_are_ended() {
    let fleet = start_fleet(1_000, 3_000).await;
    let mut head_stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    head_stream.write_all(b"POST /v1/search HT").await.unwrap();
    let mut body_stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    let request = "POST /v1/search HTTP/1.1\r\nhost: x\r\ncontent-length: 90\r\n\r\n{";
    body_stream.write_all(request.as_bytes()).await.unwrap();
    let (status, text) = read_response(&mut body_stream).await;
    let refusal: Refusal = serde_json::from_str(&text).unwrap();
    assert_eq!((status, refusal.ran), (408, ExecutionStatus::NotRun));
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(30), head_stream.read_to_end(&mut rest));
    assert!(
        ended.await.is_ok(),
        "a connection without a complete request head stays open"
    );
}

#[tokio::test]
async fn test_connections_beyond_limit_refused() {
    let fleet = start_fleet(1_000, LONG_RECEIVE_MS).await;
    let address = fleet.vm_address(0);
    let request = format!("GET {ADDRESSES_PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut open_streams = Vec::new();
    fleet
        .wait_for("a refused connection", async || {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            let (status, body) = read_response(&mut stream).await;
            if status == 200 {
                open_streams.push(stream);
                return false;
            }
            let refusal: Refusal = serde_json::from_str(&body).unwrap();
            assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
            true
        })
        .await
        .unwrap();
    assert!(
        open_streams.len() <= MAX_CONNECTIONS,
        "{} connections were open",
        open_streams.len()
    );
    drop(open_streams);
    fleet
        .wait_for("room for a connection", async || {
            send(address, &request).await.0 == 200
        })
        .await
        .unwrap();
}

async fn start_count(fleet: &Fleet) -> u64 {
    let stats = fleet.backend_stats().await.unwrap();
    stats.values().map(|stats| stats.started).sum()
}

#[tokio::test]
async fn test_requests_beyond_limit_refused() {
    let fleet = start_fleet(20_000_000, LONG_RECEIVE_MS).await;
    let address = fleet.vm_address(0);
    let slow_search = search(r#""kind":"wide_search""#);
    let mut streams = Vec::new();
    for _ in 0..=MAX_REQUESTS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(slow_search.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    // The last request to arrive is refused; the others wait for the backend server.
    let replies = streams
        .iter_mut()
        .map(|stream| Box::pin(read_response(stream)));
    let ((status, body), ..) = futures::future::select_all(replies).await;
    let refusal: Refusal = serde_json::from_str(&body).unwrap();
    assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
    assert!(refusal.retry.is_some());
    let addresses_request = format!("GET {ADDRESSES_PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!(send(address, &addresses_request).await.0, 200);
    drop(streams);
    let unknown_path = post("/v1/nothing", "{}");
    fleet
        .wait_for("room for a request", async || {
            send(address, &unknown_path).await.0 == 404
        })
        .await
        .unwrap();
}

#[tokio::test]
async fn test_stop_finishes_search_in_flight() {
    let mut fleet = start_fleet(1_500_000, LONG_RECEIVE_MS).await;
    let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    let slow_search = search(r#""kind":"wide_search""#);
    stream.write_all(slow_search.as_bytes()).await.unwrap();
    fleet
        .wait_for("two runs", async || start_count(&fleet).await == 2)
        .await
        .unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    let (status, body) = read_response(&mut stream).await;
    assert_eq!(status, 200, "{body}");
    let answer: SearchAnswer = serde_json::from_str(&body).unwrap();
    assert_eq!(answer.coverage.included, [0, 1]);
    for _ in 0..3_000 {
        if fleet.has_exited(0).unwrap() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the process did not end");
}
