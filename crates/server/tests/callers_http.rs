//! Bad input and bad manners of callers: a typed refusal, nothing run, nothing leaked.

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

const BODY_LIMIT: usize = 4_096;
const CONNECTIONS: usize = 8;
const REQUESTS: usize = 4;

/// Milliseconds for a request to come that no test outlasts.
const PATIENT: u64 = 60_000;

/// A search of the one service, to be completed with further fields.
const SEARCH: &str = r#""id":"a","caller":"dealer","service":"listings","query":"q""#;

async fn fleet(median: u64, receive: u64) -> Fleet {
    let limits = serde_json::json!({
        "body": BODY_LIMIT,
        "headers": 20,
        "connections": CONNECTIONS,
        "requests": REQUESTS,
        "receive": receive,
    });
    let slow = KindPolicy {
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
            kinds: [(RequestKind::WideSearch, slow)].into(),
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
    post("/v1/search", &format!("{{{SEARCH},{fields}}}"))
}

/// Reads one response: its status and its body.
async fn read(stream: &mut TcpStream) -> (u16, String) {
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
    read(&mut stream).await
}

async fn received(fleet: &Fleet) -> u64 {
    let stats = fleet.backend_stats().await.unwrap();
    stats.values().map(|stats| stats.received).sum()
}

/// A name, a request that must be refused, and the status and reason of the refusal.
type BadRequest = (&'static str, String, u16, RefusalReason);

/// Requests whose content is refused.
fn bad_content() -> Vec<BadRequest> {
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

/// Requests whose form is refused.
fn bad_form() -> Vec<BadRequest> {
    use RefusalReason::{Malformed, TooLarge};
    let large = "x".repeat(BODY_LIMIT);
    let many = "x: y\r\n".repeat(30);
    let chunked = format!("{:x}\r\n{large}xx\r\n0\r\n\r\n", BODY_LIMIT + 2);
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
    let fleet = fleet(1_000, PATIENT).await;
    let address = fleet.vm_address(0);
    let before = received(&fleet).await;
    for (name, request, status, reason) in bad_content().into_iter().chain(bad_form()) {
        let (got, body) = send(address, &request).await;
        let refusal: Refusal = serde_json::from_str(&body).unwrap_or_else(|error| {
            panic!("{name}: {error}: {body}");
        });
        assert_eq!((got, refusal.reason), (status, reason), "{name}: {body}");
        assert_eq!(refusal.ran, ExecutionStatus::NotRun, "{name}");
    }
    assert_eq!(received(&fleet).await, before);
    let page = fleet.get(0, COUNTERS_PATH).await.unwrap();
    let counters = page.parse::<Counters>().unwrap().counters;
    assert_eq!(counters["refused.too_large"], 3);
    assert_eq!(counters["refused.unknown_ticket"], 2);
    assert_eq!(counters["refused.unknown_service"], 2);
    let huge = format!(r#""kind":"wide_search","deadline":{}"#, u64::MAX);
    let (status, body) = send(address, &search(&huge)).await;
    assert_eq!(status, 200, "{body}");
    let answer: SearchAnswer = serde_json::from_str(&body).unwrap();
    assert_eq!(answer.coverage.included, [0, 1]);
}

#[tokio::test]
async fn test_slow_senders_are_ended() {
    let fleet = fleet(1_000, 3_000).await;
    let mut head = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    head.write_all(b"POST /v1/search HT").await.unwrap();
    let mut body = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    let request = "POST /v1/search HTTP/1.1\r\nhost: x\r\ncontent-length: 90\r\n\r\n{";
    body.write_all(request.as_bytes()).await.unwrap();
    let (status, text) = read(&mut body).await;
    let refusal: Refusal = serde_json::from_str(&text).unwrap();
    assert_eq!((status, refusal.ran), (408, ExecutionStatus::NotRun));
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(30), head.read_to_end(&mut rest));
    assert!(
        ended.await.is_ok(),
        "a connection without a head stays open"
    );
}

#[tokio::test]
async fn test_connections_beyond_limit_refused() {
    let fleet = fleet(1_000, PATIENT).await;
    let address = fleet.vm_address(0);
    let request = format!("GET {ADDRESSES_PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut open = Vec::new();
    fleet
        .wait_for("the limit", async || {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            let (status, body) = read(&mut stream).await;
            if status == 200 {
                open.push(stream);
                return false;
            }
            let refusal: Refusal = serde_json::from_str(&body).unwrap();
            assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
            true
        })
        .await
        .unwrap();
    assert!(open.len() <= CONNECTIONS, "{} were open", open.len());
    drop(open);
    fleet
        .wait_for("room for a connection", async || {
            send(address, &request).await.0 == 200
        })
        .await
        .unwrap();
}

async fn stats_started(fleet: &Fleet) -> u64 {
    let stats = fleet.backend_stats().await.unwrap();
    stats.values().map(|stats| stats.started).sum()
}

#[tokio::test]
async fn test_requests_beyond_limit_refused() {
    let fleet = fleet(20_000_000, PATIENT).await;
    let address = fleet.vm_address(0);
    let slow = search(r#""kind":"wide_search""#);
    let mut held = Vec::new();
    for _ in 0..=REQUESTS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(slow.as_bytes()).await.unwrap();
        held.push(stream);
    }
    // Whichever comes last is refused; the others wait for the backend server.
    let replies = held.iter_mut().map(|stream| Box::pin(read(stream)));
    let ((status, body), ..) = futures::future::select_all(replies).await;
    let refusal: Refusal = serde_json::from_str(&body).unwrap();
    assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
    assert!(refusal.retry.is_some());
    let page = format!("GET {ADDRESSES_PATH} HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!(send(address, &page).await.0, 200);
    drop(held);
    let bad = post("/v1/nothing", "{}");
    fleet
        .wait_for("room for a request", async || {
            send(address, &bad).await.0 == 404
        })
        .await
        .unwrap();
}

#[tokio::test]
async fn test_stop_finishes_search_in_flight() {
    let mut fleet = fleet(1_500_000, PATIENT).await;
    let mut stream = TcpStream::connect(fleet.vm_address(0)).await.unwrap();
    let slow = search(r#""kind":"wide_search""#);
    stream.write_all(slow.as_bytes()).await.unwrap();
    fleet
        .wait_for("two runs", async || stats_started(&fleet).await == 2)
        .await
        .unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    let (status, body) = read(&mut stream).await;
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
