//! Stand-ins for leafs: each listens on an address of its own, runs requests and registers in the store.

use std::{
    io::{self, BufReader},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, link::Link, record::Record, store::Store};

/// The requests that a leaf runs at once, and those that wait for that (`Slots` on the sheets).
const SLOTS: usize = 2;
const QUEUE: usize = 12;

/// A running leaf.
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    address: String,
    /// The address that the entry states.
    public: String,
    born: u64,
    state: Arc<State>,
}

struct State {
    id: String,
    service: String,
    /// The size of the answers, and the time that each takes.
    size: usize,
    time: Duration,
    /// How many of 10 requests fail after they have run.
    failing: AtomicU64,
    ended: AtomicBool,
    runs: AtomicU64,
    /// The requests that run, and those that wait.
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Instant>>,
    record: Arc<Record>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Leaf {
    /// Starts a leaf under a new id, whose answers have this size and take this time.
    pub fn start(
        service: &str,
        zone: &str,
        size: usize,
        time: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let id = format!("i-{number:08x}");
        let state = Arc::new(State {
            id: id.clone(),
            service: service.to_owned(),
            size,
            time,
            failing: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            runs: AtomicU64::new(0),
            busy: Mutex::default(),
            freed: Condvar::new(),
            streams: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
        });
        let address = listener.local_addr().expect("an address").to_string();
        let leaf = Self {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            public: address.clone(),
            address,
            born: unix_millis(),
            state: Arc::clone(&state),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if state.ended.load(Ordering::SeqCst) {
                    return;
                }
                let state = Arc::clone(&state);
                thread::spawn(move || state.serve(stream));
            }
        });
        leaf
    }

    /// Puts a link before the leaf, whose address is registered in place of the leaf's.
    pub fn put_behind_link(&mut self) -> Arc<Link> {
        let link = Link::open(&self.address);
        self.public = link.address.clone();
        link
    }

    /// Writes the leaf's entry.
    pub fn register(&self, store: &Store, state: &str) {
        self.register_cold(store, state, 0);
    }

    /// Writes the leaf's entry, by which it stays cold for some milliseconds.
    pub fn register_cold(&self, store: &Store, state: &str, cold: u64) {
        let Self {
            id,
            service,
            zone,
            public,
            born,
            ..
        } = self;
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{public}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"{state}\",\"WarmupLeftMs\":{cold},\"Seq\":1,\
             \"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// Returns the times at which requests arrived, apart from those for another leaf.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.lock().unwrap().clone()
    }

    /// Makes the leaf fail this many of 10 requests, after it has run them.
    pub fn fail(&self, of_ten: u64) {
        self.state.failing.store(of_ten, Ordering::Relaxed);
    }

    /// Removes the leaf's entry.
    pub fn deregister(&self, store: &Store) {
        store.delete(&format!("servers/{}", self.id));
    }

    /// Ends the leaf at once, as a crash does: its connections close, and its address refuses others.
    pub fn crash(&self) {
        self.state.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(&self.address));
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Removes the leaf's entry and ends the leaf.
    pub fn end(&self, store: &Store) {
        self.deregister(store);
        self.crash();
    }
}

impl State {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let (Ok(mut writer), Ok(handle)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let peer = stream.peer_addr().ok();
        self.streams.lock().unwrap().push(handle);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.ended.load(Ordering::SeqCst) || self.answer(&request, &mut writer).is_err() {
                break;
            }
        }
        let mut streams = self.streams.lock().unwrap();
        streams.retain(|known| known.peer_addr().ok() != peer);
    }

    fn answer(&self, request: &http::Message, writer: &mut TcpStream) -> io::Result<()> {
        let instance = ("Instance-Id", self.id.clone());
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return http::answer(writer, "421 Misdirected Request", &[instance], b"");
        }
        self.arrivals.lock().unwrap().push(Instant::now());
        let Some(attempt) = request.header("attempt-id") else {
            let headers = [instance, ("Not-Executed", "1".to_owned())];
            return http::answer(writer, "400 Bad Request", &headers, b"");
        };
        let left = request
            .header("deadline-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(5_000));
        if !self.take_slot(until) {
            let headers = [("Not-Executed", "1".to_owned())];
            return http::answer(writer, "503 Service Unavailable", &headers, b"");
        }
        let run = self.runs.fetch_add(1, Ordering::Relaxed);
        self.record.ran(attempt, &self.service, &self.id);
        thread::sleep(self.time);
        self.free_slot();
        if self.ended.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let headers = [
            ("Attempt-Id", attempt.to_owned()),
            ("Server-Stamp", format!("{}.{run:x}.{attempt}", self.id)),
        ];
        if run * 7 % 10 < self.failing.load(Ordering::Relaxed) {
            // Signed, and without `Not-Executed`.
            return http::answer(
                writer,
                "503 Service Unavailable",
                &headers,
                b"it failed midway",
            );
        }
        http::answer(writer, "200 OK", &headers, &vec![b'x'; self.size])
    }

    /// Waits for a slot; returns false if the leaf is full or the time has passed.
    fn take_slot(&self, until: Instant) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.0 >= SLOTS && busy.1 >= QUEUE {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= SLOTS {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                busy.1 -= 1;
                return false;
            }
            busy = self.freed.wait_timeout(busy, left).unwrap().0;
        }
        busy.1 -= 1;
        busy.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

pub fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
