//! Consumers read large answers slowly; the platform kills a process that exceeds its memory.

use std::{
    fs,
    io::{self, Read, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    leaf::Leaf,
    machine::{Machine, wait_for},
    record::Record,
    store::Store,
};

const HOST: &str = "papers.example";
/// The size of the answers.
const SIZE: usize = 6 << 20;
/// Requests a second to each machine, and their time limit.
const RATE: u32 = 10;
const LIMIT: Duration = Duration::from_secs(5);
/// What a slow consumer reads in a second.
const PACE: usize = 64 << 10;
/// `MemoryMb` of the machines, in kilobytes.
const MEMORY: u64 = 260 << 10;
/// How often a process has to end for the rule, and for how long that is waited for.
const ENDS: u32 = 3;
const LENGTH: Duration = Duration::from_secs(60);
/// How long after its end a process is started again.
const RESTART: Duration = Duration::from_secs(1);

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-slow-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

/// What the consumers of one machine have seen.
#[derive(Default)]
struct Seen {
    sent: AtomicU32,
    whole: AtomicU32,
    given_up: AtomicU32,
    /// Connections that ended before the answer did, and requests that found no process.
    broken: AtomicU32,
    failed: AtomicU32,
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let zones = ["ikeja-a", "lekki-b"];
    let leafs: Vec<Leaf> = (0..7)
        .map(|n| {
            Leaf::start(
                "papers",
                zones[n % 2],
                SIZE,
                Duration::from_millis(20),
                record,
            )
        })
        .collect();
    for leaf in &leafs {
        leaf.register(&store, "ready");
    }
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r-papers\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/papers/\",\
         \"RouteType\":\"idempotent\",\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\"Priority\":2,\
         \"MaxAttempts\":2,\"Service\":\"papers\"}}],\"Services\":[{{\"Name\":\"papers\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":\
         {{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
    let mut machines: Vec<Machine> = zones
        .iter()
        .enumerate()
        .map(|(n, zone)| Machine::new(&format!("front-{n}"), zone, &store.listen(), folder))
        .collect();
    let seeds: Vec<String> = machines.iter().map(Machine::control).collect();
    for machine in &mut machines {
        machine.start(&seeds, true)?;
    }
    if !wait_for(Duration::from_secs(15), || {
        machines.iter().all(Machine::is_ready)
    }) {
        return Err(io::Error::other("the machines did not get ready"));
    }
    thread::sleep(Duration::from_secs(1));
    let stopped = Arc::new(AtomicBool::new(false));
    let seen: Vec<Arc<Seen>> = machines.iter().map(|_| Arc::default()).collect();
    let consumers: Vec<_> = machines
        .iter()
        .zip(&seen)
        .map(|(machine, seen)| {
            let (front, seen) = (machine.front.clone(), Arc::clone(seen));
            let (stopped, record) = (Arc::clone(&stopped), Arc::clone(record));
            thread::spawn(move || generate(&front, trouble, &seen, &stopped, &record))
        })
        .collect();
    let ends = watch(record, &mut machines, &seeds)?;
    stopped.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    thread::sleep(LIMIT);
    for (machine, seen) in machines.iter().zip(&seen) {
        let count = |number: &AtomicU32| number.load(Ordering::Relaxed);
        record.line(&format!(
            "{}: sent {}, answered whole {}, given up while reading {}, broken off {}, other statuses {}",
            machine.name,
            count(&seen.sent),
            count(&seen.whole),
            count(&seen.given_up),
            count(&seen.broken),
            count(&seen.failed)
        ));
    }
    let often = ends.iter().filter(|ends| **ends >= ENDS).count();
    record.line(&format!(
        "Fault: processes ended {ends:?} times for their memory"
    ));
    Ok(often < 2)
}

/// Does what the platform does: kills a process that exceeds its memory, and starts it again. Returns how
/// often that happened on each machine.
fn watch(record: &Record, machines: &mut [Machine], seeds: &[String]) -> io::Result<Vec<u32>> {
    let began = Instant::now();
    let mut ends = vec![0; machines.len()];
    let mut peaks = vec![0; machines.len()];
    let mut down: Vec<Option<Instant>> = vec![None; machines.len()];
    while began.elapsed() < LENGTH && ends.iter().any(|ends| *ends < ENDS) {
        for (n, machine) in machines.iter_mut().enumerate() {
            if let Some(at) = down[n] {
                if at.elapsed() > RESTART {
                    down[n] = None;
                    machine.start(seeds, false)?;
                }
                continue;
            }
            let memory = machine.memory();
            if memory > peaks[n] + (40 << 10) {
                peaks[n] = memory;
                record.line(&format!("{} takes {} MB", machine.name, memory >> 10));
            }
            if memory > MEMORY {
                record.line(&format!(
                    "{} takes {} MB and is killed",
                    machine.name,
                    memory >> 10
                ));
                machine.kill();
                ends[n] += 1;
                peaks[n] = 0;
                down[n] = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(25));
    }
    Ok(ends)
}

fn generate(
    front: &str,
    slowly: bool,
    seen: &Arc<Seen>,
    stopped: &AtomicBool,
    record: &Arc<Record>,
) {
    let began = Instant::now();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let (front, seen) = (front.to_owned(), Arc::clone(seen));
        let record = Arc::clone(record);
        thread::spawn(move || {
            seen.sent.fetch_add(1, Ordering::Relaxed);
            let id = attempt(&front, number);
            let (count, end) = match fetch(&front, number, &id, slowly) {
                Ok(End::Whole) => (&seen.whole, "answered whole"),
                Ok(End::GivenUp) => (&seen.given_up, "given up while reading"),
                Ok(End::Failed) => (&seen.failed, "another status"),
                Err(_) => (&seen.broken, "broken off"),
            };
            record.request(&id, &front, end);
            count.fetch_add(1, Ordering::Relaxed);
        });
        let due = began + Duration::from_secs(1) * number / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

enum End {
    Whole,
    GivenUp,
    Failed,
}

/// Returns the id of a request, one of its own for each machine.
fn attempt(front: &str, number: u32) -> String {
    let port = front.rsplit(':').next().unwrap_or_default();
    format!("{number:08x}{port:0>8}")
}

/// Asks for a paper and reads the answer until its end or the time limit.
fn fetch(front: &str, number: u32, id: &str, slowly: bool) -> io::Result<End> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let request = format!(
        "GET /papers/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Connection: close\r\n\r\n",
        LIMIT.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    let until = Instant::now() + LIMIT;
    let mut buffer = vec![0; if slowly { PACE / 4 } else { 256 << 10 }];
    let mut total = 0;
    let mut is_success = false;
    while Instant::now() < until {
        let read = stream.read(&mut buffer)?;
        if total == 0 {
            is_success = buffer[..read].starts_with(b"HTTP/1.1 200");
        }
        total += read;
        if read == 0 || total >= SIZE + 64 {
            return match (is_success, total >= SIZE) {
                (true, true) => Ok(End::Whole),
                (true, false) => Err(io::ErrorKind::UnexpectedEof.into()),
                (false, _) => Ok(End::Failed),
            };
        }
        if slowly {
            thread::sleep(Duration::from_millis(250));
        }
    }
    Ok(End::GivenUp)
}
