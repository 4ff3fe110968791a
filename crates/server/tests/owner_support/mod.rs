//! A scripted backend server, and builders of calls and fleet views for the tests of the owner.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cassialift::{
    metrics::Metrics,
    owner::{Owner, OwnerSettings},
};
use cassialift_core::{
    ids::{Position, RequestKey},
    index::{IndexDocument, ServerEntry, ServerState, ShardEntry},
    presets::Preset,
    request::{RequestKind, Urgency},
    time::Millis,
    view::{ConfigView, FleetView, OwnView, OwnerView, OwnersView},
};
use cassialift_wire::{
    backend::{
        CANCEL_PATH, CancelReply, CancelRequest, HEALTH_PATH, HealthReply, HealthState, Row,
        RunOutcome, RunRefusal, RunReply, RunRequest, ServerLoad,
    },
    peer::ShardCall,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// The id of the backend server in all tests of the owner.
pub(crate) const SERVER_ID: &str = "watches-1";

/// How the backend server responds to a run request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Replies with one row.
    Reply,
    /// Replies with one row once the test notifies [`Backend::release`].
    ReplyOnRelease,
    /// Refuses the request for the given reason.
    Refuse(RunRefusal),
    /// Replies that the run was started and then stopped.
    ReplyStopped,
    /// Closes the connection after reading the request, without a reply.
    ReadAndClose,
    /// Replies with one row, then closes the connection without a `connection: close` header.
    ReplyAndClose,
    /// Replies with the number of another attempt.
    OtherAttempt,
    /// Replies with the id of another backend server.
    OtherServer,
    /// Replies with a body that is not JSON.
    InvalidJson,
    /// Replies with 64 KiB, more than the owner's settings allow in these tests.
    OversizedReply,
    /// Replies with part of a body, then closes the connection.
    TruncatedReply,
}

/// A backend server that records the requests it receives and counts its connections and runs.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) behaviour: Mutex<Behaviour>,
    pub(crate) health: Mutex<HealthState>,
    pub(crate) runs: Mutex<Vec<RunRequest>>,
    pub(crate) cancels: Mutex<Vec<CancelRequest>>,
    pub(crate) release: Notify,
    pub(crate) open_connections: AtomicUsize,
    pub(crate) peak_connections: AtomicUsize,
    pub(crate) running: AtomicUsize,
    pub(crate) peak_running: AtomicUsize,
}

impl Backend {
    pub(crate) async fn start(behaviour: Behaviour) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
            cancels: Mutex::default(),
            release: Notify::new(),
            open_connections: AtomicUsize::new(0),
            health: Mutex::new(HealthState::Ready),
            peak_connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            peak_running: AtomicUsize::new(0),
        });
        let server = Arc::clone(&backend);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&server).serve(stream));
            }
        });
        backend
    }

    /// Returns how many times the run request with this sequence number was received.
    pub(crate) fn receive_count(&self, sequence: u64) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.request.sequence == sequence)
            .count()
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let open = self.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_connections.fetch_max(open, Ordering::SeqCst);
        while let Some((path, body)) = read_request(&mut stream).await {
            let written = match &*path {
                CANCEL_PATH => self.handle_cancel(&mut stream, &body).await,
                HEALTH_PATH => self.handle_health(&mut stream).await,
                _ => self.handle_run(&mut stream, &body).await,
            };
            if written.is_none() {
                break;
            }
        }
        self.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn handle_cancel(&self, stream: &mut TcpStream, body: &[u8]) -> Option<()> {
        let cancel = serde_json::from_slice(body).unwrap();
        self.cancels.lock().unwrap().push(cancel);
        write_reply(stream, &CancelReply { stopped: true }).await
    }

    async fn handle_health(&self, stream: &mut TcpStream) -> Option<()> {
        let state = *self.health.lock().unwrap();
        let load = ServerLoad::default();
        write_reply(stream, &HealthReply { state, load }).await
    }

    async fn handle_run(&self, stream: &mut TcpStream, body: &[u8]) -> Option<()> {
        let request: RunRequest = serde_json::from_slice(body).unwrap();
        self.runs.lock().unwrap().push(request.clone());
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_running.fetch_max(running, Ordering::SeqCst);
        let behaviour = *self.behaviour.lock().unwrap();
        if matches!(behaviour, Behaviour::ReplyOnRelease) {
            self.release.notified().await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut reply = done_reply(&request);
        match behaviour {
            Behaviour::Reply | Behaviour::ReplyOnRelease => {}
            Behaviour::Refuse(refusal) => reply.outcome = RunOutcome::Refused(refusal),
            Behaviour::ReplyStopped => reply.outcome = RunOutcome::Stopped,
            Behaviour::ReadAndClose => return None,
            Behaviour::ReplyAndClose => {
                write_reply(stream, &reply).await?;
                return None;
            }
            Behaviour::OtherAttempt => reply.attempt += 1,
            Behaviour::OtherServer => reply.server = "other".into(),
            Behaviour::InvalidJson => return write_body(stream, b"no such thing").await,
            Behaviour::OversizedReply => return write_body(stream, &vec![b' '; 64 * 1024]).await,
            Behaviour::TruncatedReply => {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"request\"";
                stream.write_all(head).await.ok()?;
                return None;
            }
        }
        write_reply(stream, &reply).await
    }
}

fn done_reply(request: &RunRequest) -> RunReply {
    RunReply {
        request: request.request,
        attempt: request.attempt,
        shard: request.shard,
        server: SERVER_ID.into(),
        outcome: RunOutcome::Done {
            version: request.version,
            rows: vec![Row {
                key: "k".to_owned(),
                value: request.body.clone(),
            }],
        },
        load: ServerLoad::default(),
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let path = head.split(' ').nth(1).unwrap().to_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .unwrap();
    let mut body = vec![0; length.trim().parse().unwrap()];
    stream.read_exact(&mut body).await.ok()?;
    Some((path, body))
}

async fn write_reply<T: serde::Serialize>(stream: &mut TcpStream, reply: &T) -> Option<()> {
    write_body(stream, &serde_json::to_vec(reply).unwrap()).await
}

async fn write_body(stream: &mut TcpStream, body: &[u8]) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut reply = head.into_bytes();
    reply.extend_from_slice(body);
    stream.write_all(&reply).await.ok()
}

/// Creates an owner and the metrics that it reports to.
pub(crate) fn owner(settings: OwnerSettings) -> (Arc<Owner>, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::new(None).unwrap());
    let owner = Owner::new(settings, Arc::clone(&metrics));
    (Arc::new(owner), metrics)
}

/// Creates a fleet view in which this process, `vm-1`, owns the one backend server with all its
/// slots and connections.
pub(crate) fn view(address: SocketAddr, slots: u32, connections: u32) -> FleetView {
    let entry = ServerEntry {
        id: SERVER_ID.into(),
        address,
        centre: "lagos-1".into(),
        slots,
        connections,
        state: ServerState::Serving,
    };
    let index = IndexDocument {
        service: "watches".into(),
        version: 7,
        shards: vec![ShardEntry {
            shard: 3,
            replicas: vec![SERVER_ID.into()],
        }],
        servers: vec![entry],
    };
    let ownership = OwnerView {
        owner: Some("vm-1".into()),
        standby: None,
        slots,
        connections,
        valid_until: None,
    };
    FleetView {
        own: OwnView {
            vm: "vm-1".into(),
            incarnation: 1,
            centre: "lagos-1".into(),
            leaving: false,
        },
        config: Some(Arc::new(ConfigView {
            position: Position {
                epoch: 0,
                revision: 1,
            },
            generation: 1,
            preset: "ordinary".into(),
            policy: Arc::new(Preset::default()),
            indexes: BTreeMap::from([("watches".into(), Arc::new(index))]),
            routes: None,
            servers: Arc::default(),
            evacuated: Arc::default(),
        })),
        members: Arc::default(),
        owners: OwnersView {
            overrides: HashMap::from([(SERVER_ID.into(), ownership)]),
            ..OwnersView::default()
        },
    }
}

/// Creates a call with a deadline of 30 s, which no test reaches without setting a shorter one.
pub(crate) fn call(sequence: u64, kind: RequestKind) -> ShardCall {
    ShardCall {
        request: RequestKey {
            incarnation: 1,
            sequence,
        },
        attempt: 0,
        caller: "dealer-1".into(),
        service: "watches".into(),
        shard: 3,
        server: SERVER_ID.into(),
        version: 7,
        kind,
        urgency: Urgency::Urgent,
        remaining: Millis::new(30_000),
        body: format!("query {sequence}"),
    }
}

/// Waits until `condition` returns true, checking about every millisecond.
///
/// # Panics
/// Panics if `condition` returns false 30 000 times in a row.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("timed out waiting for {what}");
}
