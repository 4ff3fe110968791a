//! A stand-in for the platform's store.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message, Server, query, response};

/// How long the store keeps its history (`HistoryS`).
const HISTORY: Duration = Duration::from_secs(20);
/// The time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    changes: Vec<Change>,
    revision: u64,
}

/// How the store answers reads.
#[derive(Clone, Copy)]
pub struct Reads {
    /// The most items in a page.
    pub page: usize,
    /// The age of the copy that answers reads with `StaleOk` from the second page on. The copy that
    /// answers the first page has all changes.
    pub lag: Duration,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    reads: Reads,
}

impl Store {
    pub fn start(reads: Reads) -> (Self, Server) {
        let store = Self {
            state: Arc::default(),
            reads,
        };
        let serving = store.clone();
        let server = Server::start(move |request| serving.answer(request));
        (store, server)
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.changes.push(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value,
        });
        changed.notify_all();
        revision
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        thread::sleep(ANSWER);
        let (_, target) = request.request_line();
        let (status, body) = match target.split('?').next().unwrap_or("") {
            "/kv-range" => ("200 OK", self.range(target)),
            "/kv-watch" => match self.watch(target) {
                Some(body) => ("200 OK", body),
                None => ("410 Gone", "{}".to_owned()),
            },
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let kind = ("Content-Type", "application/json".to_owned());
        response(status, &[kind], body.as_bytes())
    }

    fn range(&self, target: &str) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap();
        let after = decode(query(target, "after").unwrap_or(""));
        let after = after.as_str();
        let may_be_stale = query(target, "StaleOk") == Some("1") && !after.is_empty();
        let age = if may_be_stale {
            self.reads.lag
        } else {
            Duration::ZERO
        };
        let now = Instant::now();
        let mut items: BTreeMap<&str, (u64, &String)> = BTreeMap::new();
        let mut revision = 0;
        for change in &state.changes {
            if now.duration_since(change.at) < age {
                break;
            }
            revision = change.revision;
            match &change.value {
                Some(value) => items.insert(&change.key, (change.revision, value)),
                None => items.remove(change.key.as_str()),
            };
        }
        let prefix = query(target, "Prefix").unwrap_or("");
        let mut rest = items
            .iter()
            .filter(|(key, _)| **key > after && key.starts_with(prefix));
        let page: Vec<String> = rest
            .by_ref()
            .take(self.reads.page)
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let truncated = rest.next().is_some();
        format!(
            "{{\"items\":[{}],\"Truncated\":{truncated},\"StoreRevision\":{revision}}}",
            page.join(",")
        )
    }

    fn watch(&self, target: &str) -> Option<String> {
        let after: u64 = query(target, "after")?.parse().ok()?;
        let wait: u64 = query(target, "WaitMs")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let now = Instant::now();
            let kept = state
                .changes
                .partition_point(|c| now.duration_since(c.at) > HISTORY);
            let floor = if kept == 0 {
                0
            } else {
                state.changes[kept - 1].revision
            };
            if after < floor {
                return None;
            }
            let first = state
                .changes
                .partition_point(|change| change.revision <= after);
            if first < state.changes.len() || now >= until {
                let events: Vec<String> = state.changes[first..]
                    .iter()
                    .map(|c| item(&c.key, c.revision, c.value.as_ref()))
                    .collect();
                let events = events.join(",");
                let revision = state.revision;
                return Some(format!(
                    "{{\"events\":[{events}],\"StoreRevision\":{revision}}}"
                ));
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
             \"Created\":{revision},\"Lease\":0}}"
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_usize, |word, byte| word << 8 | usize::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let letter = LETTERS[word >> (18 - 6 * place) & 63];
            text.push(if place <= chunk.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes the escapes of a query's value.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = tail.get(..2).and_then(|hex| str::from_utf8(hex).ok());
        let escaped = escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        (rest, _) = match (first, escaped) {
            (b'%', Some(byte)) => (&tail[2..], bytes.push(byte)),
            (b'+', _) => (tail, bytes.push(b' ')),
            _ => (tail, bytes.push(*first)),
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns whether an address answers the readiness question with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    http::call(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
}
