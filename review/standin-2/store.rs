//! A stand-in for the platform's metadata store.

use std::{
    collections::{BTreeMap, VecDeque},
    io::BufReader,
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// How long the store keeps its history (`HistoryS`).
const HISTORY: Duration = Duration::from_secs(20);
/// The most items of a page, and the most events of an answer.
const PAGE: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

struct Event {
    revision: u64,
    /// The event as it is sent.
    text: String,
    at: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// The last revision whose event is no longer kept.
    dropped: u64,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                events: VecDeque::new(),
                dropped: 100,
            }),
            changed: Condvar::new(),
        })
    }

    /// Writes an item, as the operator or a leaf does; the return is the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let known = state.items.get(key).map(|item| item.created);
        let created = known.unwrap_or(revision);
        let text = item_text(key, &value, revision, created);
        state.push(revision, text);
        let item = Item {
            value,
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        self.changed.notify_all();
        revision
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let text = format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Tombstone\":true}}");
        state.push(revision, text);
        self.changed.notify_all();
    }

    /// Listens on an address of its own and returns it.
    pub fn listen(self: &Arc<Self>) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            // An answer takes 4 ms (`The platform's store` on the sheet).
            thread::sleep(Duration::from_millis(4));
            let (_, target) = request.request();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(known, _)| *known == name)
                    .map_or("", |(_, value)| value)
            };
            let (status, body) = match path {
                "/kv-key" => self.key(field("Key")),
                "/kv-range" => self.range(field("Prefix"), field("after")),
                "/kv-watch" => self.watch(field("Prefix"), field("after"), field("WaitMs")),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            if http::answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = item_text(key, &item.value, item.revision, item.created);
                let open = text.trim_end_matches('}');
                (
                    "200 OK",
                    format!("{open},\"StoreRevision\":{}}}", state.revision),
                )
            }
            None => (
                "404 Not Found",
                format!("{{\"StoreRevision\":{}}}", state.revision),
            ),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let items = state.items.range(after.to_owned()..);
        let mut matching = items.filter(|(key, _)| key.as_str() > after && key.starts_with(prefix));
        let page: Vec<String> = matching
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| item_text(key, &item.value, item.revision, item.created))
            .collect();
        let truncated = matching.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"Truncated\":{truncated},\"StoreRevision\":{}}}",
            page.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: &str, wait: &str) -> (&'static str, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let wait = Duration::from_millis(wait.parse::<u64>().unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            if after < state.dropped || after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.text[8..].starts_with(prefix))
                .take(PAGE)
                .map(|event| event.text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let newest = if events.len() < PAGE {
                    state.revision
                } else {
                    let last = state.events.iter().filter(|event| event.revision > after);
                    last.take(PAGE).last().map_or(after, |event| event.revision)
                };
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"StoreRevision\":{newest}}}");
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn push(&mut self, revision: u64, text: String) {
        self.events.push_back(Event {
            revision,
            text,
            at: Instant::now(),
        });
    }

    fn expire(&mut self) {
        while let Some(event) = self.events.front()
            && event.at.elapsed() > HISTORY
        {
            self.dropped = event.revision;
            self.events.pop_front();
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{created},\
         \"Lease\":0}}"
    )
}

/// Returns standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                let letter = LETTERS[(word >> (18 - 6 * place) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}
