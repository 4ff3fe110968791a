//! A stand-in for a leaf, and its entry in the store.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{Message, Server, response},
    store::Store,
};

/// A request that a leaf ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub leaf: String,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    server: Server,
    born: u128,
    sequence: AtomicU64,
}

impl Leaf {
    /// Starts a leaf that takes `work` for each request and answers with `body`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        body: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
        runs: &Runs,
    ) -> Self {
        let (own, runs) = (id.to_owned(), runs.clone());
        let server = Server::start(move |request| {
            let (method, target) = request.request_line();
            if target == "/health" {
                return response("200 OK", &[("Instance-Id", own.clone())], b"");
            }
            let Some(attempt) = request.header("Attempt-Id") else {
                return response("400 Bad Request", &[("Not-Executed", "1".to_owned())], b"");
            };
            let attempt_header = ("Attempt-Id", attempt.to_owned());
            if request
                .header("Expect-Instance")
                .is_some_and(|expected| expected != own)
            {
                let headers = [attempt_header, ("Not-Executed", "1".to_owned())];
                return response("421 Misdirected Request", &headers, b"");
            }
            runs.lock().unwrap().push(Run {
                at: Instant::now(),
                leaf: own.clone(),
                attempt: attempt.to_owned(),
                method: method.to_owned(),
                target: target.to_owned(),
                body: request.body.clone(),
            });
            thread::sleep(work);
            let stamp = ("Server-Stamp", format!("{own}.{attempt}"));
            response("200 OK", &[attempt_header, stamp], &body(request))
        });
        let born = SystemTime::UNIX_EPOCH
            .elapsed()
            .unwrap_or_default()
            .as_millis();
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            server,
            born,
            sequence: AtomicU64::new(0),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the leaf's liveness report.
    pub fn report(&self, store: &Store, state: &str) -> u64 {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let Self {
            service,
            zone,
            born,
            ..
        } = self;
        let address = self.address();
        store.put(
            &self.key(),
            &format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"1\",\"Slots\":2,\"State\":\"{state}\",\"WarmupLeftMs\":0,\
                 \"Seq\":{sequence},\"born\":{born}}}"
            ),
        )
    }

    /// Ends the process.
    pub fn end(&self) {
        self.server.stop();
    }
}
