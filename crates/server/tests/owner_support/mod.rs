//! A small backend server and builders of calls and views for the owner's tests.

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
    ids::RequestKey,
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

/// The name of the backend server in all tests.
pub(crate) const SERVER: &str = "watches-1";

/// What the backend server does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Replies with one row.
    Answer,
    /// Replies with one row after the next release.
    Hold,
    /// Refuses.
    Refuse(RunRefusal),
    /// Says that it began to run and was stopped.
    Stop,
    /// Closes the connection after it read the request.
    ReadAndClose,
    /// Replies with one row and closes the connection without saying so.
    AnswerAndClose,
    /// Replies with the ids of another attempt.
    OtherAttempt,
    /// Replies in the name of another server.
    OtherServer,
    /// Replies with text that is no JSON.
    Garbage,
    /// Replies with more than the settings allow.
    Flood,
    /// Replies with half a body and closes.
    HalfReply,
}

/// A backend server that records what it sees.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) behaviour: Mutex<Behaviour>,
    pub(crate) health: Mutex<HealthState>,
    pub(crate) runs: Mutex<Vec<RunRequest>>,
    pub(crate) cancels: Mutex<Vec<CancelRequest>>,
    pub(crate) release: Notify,
    pub(crate) connections: AtomicUsize,
    pub(crate) peak: AtomicUsize,
    pub(crate) running: AtomicUsize,
    pub(crate) busiest: AtomicUsize,
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
            connections: AtomicUsize::new(0),
            health: Mutex::new(HealthState::Ready),
            peak: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            busiest: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&backend);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        backend
    }

    /// Returns how often a request was received.
    pub(crate) fn seen(&self, sequence: u64) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.request.sequence == sequence)
            .count()
    }

    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let open = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(open, Ordering::SeqCst);
        while let Some((path, body)) = read_request(&mut stream).await {
            let done = match &*path {
                CANCEL_PATH => self.cancel(&mut stream, &body).await,
                HEALTH_PATH => self.health(&mut stream).await,
                _ => self.run(&mut stream, &body).await,
            };
            if done.is_none() {
                break;
            }
        }
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn cancel(&self, stream: &mut TcpStream, body: &[u8]) -> Option<()> {
        let cancel = serde_json::from_slice(body).unwrap();
        self.cancels.lock().unwrap().push(cancel);
        write_reply(stream, &CancelReply { stopped: true }).await
    }

    async fn health(&self, stream: &mut TcpStream) -> Option<()> {
        let state = *self.health.lock().unwrap();
        let load = ServerLoad::default();
        write_reply(stream, &HealthReply { state, load }).await
    }

    async fn run(&self, stream: &mut TcpStream, body: &[u8]) -> Option<()> {
        let request: RunRequest = serde_json::from_slice(body).unwrap();
        self.runs.lock().unwrap().push(request.clone());
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.busiest.fetch_max(running, Ordering::SeqCst);
        let behaviour = *self.behaviour.lock().unwrap();
        if matches!(behaviour, Behaviour::Hold) {
            self.release.notified().await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut reply = done(&request);
        match behaviour {
            Behaviour::Answer | Behaviour::Hold => {}
            Behaviour::Refuse(refusal) => reply.outcome = RunOutcome::Refused(refusal),
            Behaviour::Stop => reply.outcome = RunOutcome::Stopped,
            Behaviour::ReadAndClose => return None,
            Behaviour::AnswerAndClose => {
                write_reply(stream, &reply).await?;
                return None;
            }
            Behaviour::OtherAttempt => reply.attempt += 1,
            Behaviour::OtherServer => reply.server = "other".into(),
            Behaviour::Garbage => return write_body(stream, b"no such thing").await,
            Behaviour::Flood => return write_body(stream, &vec![b' '; 64 * 1024]).await,
            Behaviour::HalfReply => {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"request\"";
                stream.write_all(head).await.ok()?;
                return None;
            }
        }
        write_reply(stream, &reply).await
    }
}

fn done(request: &RunRequest) -> RunReply {
    RunReply {
        request: request.request,
        attempt: request.attempt,
        shard: request.shard,
        server: SERVER.into(),
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

/// Makes an owner with counters.
pub(crate) fn owner(settings: OwnerSettings) -> (Arc<Owner>, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::new(None).unwrap());
    let owner = Owner::new(settings, Arc::clone(&metrics));
    (Arc::new(owner), metrics)
}

/// Makes a view in which this process owns one backend server.
pub(crate) fn view(address: SocketAddr, slots: u32, connections: u32) -> FleetView {
    let entry = ServerEntry {
        id: SERVER.into(),
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
            replicas: vec![SERVER.into()],
        }],
        servers: vec![entry],
    };
    let share = OwnerView {
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
            revision: 1,
            preset: "ordinary".into(),
            policy: Arc::new(Preset::default()),
            indexes: BTreeMap::from([("watches".into(), Arc::new(index))]),
            routes: None,
            servers: Arc::default(),
        })),
        members: Arc::default(),
        owners: OwnersView {
            overrides: HashMap::from([(SERVER.into(), share)]),
            ..OwnersView::default()
        },
    }
}

/// Makes a call with a generous deadline.
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
        server: SERVER.into(),
        version: 7,
        kind,
        urgency: Urgency::Urgent,
        remaining: Millis::new(30_000),
        body: format!("query {sequence}"),
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..30_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("{what} did not come about");
}
