//! Consumers read the answers slowly; the platform ends a process that takes more memory than it may.

use std::{
    fs,
    io::{self, Read, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    leaf::{Leaf, Times, Work},
    machine::{Machine, wait_for},
    record::Record,
    store::Store,
};

const HOST: &str = "docs.example";
/// The consumers that read slowly, as many as the small installation has.
const CONSUMERS: usize = 60;
/// What one of them reads in a second.
const PACE: usize = 64 << 10;
/// The time limit of the requests.
const LIMIT: Duration = Duration::from_secs(15);
/// `MemoryMb` of the machines of the small installations, in kilobytes.
const MEMORY: u64 = 260 << 10;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-slow-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let size: usize = std::env::var("SIZE").ok().and_then(|s| s.parse().ok()).unwrap_or(7 << 20);
    let store = Store::new();
    let zones = ["ikeja-a", "lekki-b"];
    let leafs: Vec<Leaf> = (0..6)
        .map(|n| Leaf::start("docs", zones[n % 2], Work::Bytes(size), Times::steady(20), record))
        .collect();
    for leaf in &leafs {
        leaf.register(&store, "ready");
    }
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r-docs\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/docs/\",\
         \"RouteType\":\"idempotent\",\"TimeoutMs\":15000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"MaxAttempts\":2,\"Service\":\"docs\"}}],\"Services\":[{{\"Name\":\"docs\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":\
         {{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
    let mut machines: Vec<Machine> = zones
        .iter()
        .enumerate()
        .map(|(n, zone)| Machine::new(&format!("front-{n}"), zone, &store.listen(n), folder))
        .collect();
    let seeds: Vec<String> = machines.iter().map(Machine::control).collect();
    for machine in &mut machines {
        machine.start(&seeds, true)?;
    }
    if !wait_for(Duration::from_secs(15), || machines.iter().all(Machine::is_ready)) {
        return Err(io::Error::other("the machines did not get ready"));
    }
    thread::sleep(Duration::from_secs(1));
    let whole = Arc::new(AtomicUsize::new(0));
    let mut tasks = Vec::new();
    for n in 0..CONSUMERS {
        let front = machines[0].front.clone();
        let whole = Arc::clone(&whole);
        tasks.push(thread::spawn(move || {
            let done = fetch(&front, n, trouble, size).unwrap_or(false);
            whole.fetch_add(usize::from(done), Ordering::Relaxed);
        }));
        thread::sleep(Duration::from_millis(100));
    }
    let until = Instant::now() + LIMIT;
    let mut peak = 0;
    while Instant::now() < until {
        let memory = machines[0].memory();
        if memory > peak + 20_000 {
            record.line(&format!("{} takes {} MB", machines[0].name, memory >> 10));
            peak = memory;
        }
        if memory > MEMORY {
            record.line(&format!("{} takes {} MB: over", machines[0].name, memory >> 10));
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    for task in tasks {
        let _ = task.join();
    }
    record.line(&format!("whole answers: {}; peak {} MB", whole.load(Ordering::Relaxed), peak >> 10));
    Ok(peak <= MEMORY)
}

fn fetch(front: &str, number: usize, slowly: bool, size: usize) -> io::Result<bool> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "GET /docs/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {number:016x}\r\nDeadline-Ms: 15000\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let until = Instant::now() + LIMIT;
    let mut buffer = vec![0; PACE / 4];
    let mut total = 0;
    while Instant::now() < until {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            break;
        }
        total += read;
        if total >= size {
            return Ok(true);
        }
        if slowly {
            thread::sleep(Duration::from_millis(250));
        }
    }
    Ok(false)
}
