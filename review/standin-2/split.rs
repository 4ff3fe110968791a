//! The machines are cut into two halves and are restarted meanwhile; then leafs come back cold.

use std::{
    fs, io,
    net::TcpListener,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    leaf::Leaf,
    machine::{Machine, free_ports, wait_for},
    record::Record,
    store::Store,
};

const HOST: &str = "archive.example";
/// Requests a second to all machines, and the leafs that come back cold.
const RATE: u32 = 112;
const LEAFS: usize = 2;
/// `WarmupS` in milliseconds, `WarmupPerS`, `WarmupOvershoot` and `WarmupSlack`.
const COLD: u64 = 3_000;
const PER_S: f64 = 20.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How often the leafs come back, and the time between.
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(8);

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-split-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let zones = ["bergen-a", "stavanger-b"];
    let start = |n: usize| {
        Leaf::start(
            "archive",
            zones[n],
            1_500,
            Duration::from_millis(15),
            record,
        )
    };
    let mut leafs: Vec<Leaf> = (0..LEAFS).map(start).collect();
    // With them the machines reach a leaf at any time, also while those of the service are away.
    let others: Vec<Leaf> = (0..3)
        .map(|n| Leaf::start("other", zones[n % 2], 100, Duration::from_millis(5), record))
        .collect();
    for leaf in leafs.iter().chain(&others) {
        leaf.register(&store, "ready");
    }
    configure(&store);
    let mut machines: Vec<Machine> = (0..4)
        .map(|n| Machine::new(&format!("front-{n}"), zones[n / 2], &store.listen(), folder))
        .collect();
    let controls: Vec<String> = machines.iter().map(Machine::control).collect();
    // Seeds in the other half don't answer: nobody accepts the connections to this address.
    let listener = TcpListener::bind(("127.0.0.1", free_ports(1)[0]))?;
    let silent = listener.local_addr()?.to_string();
    for (n, machine) in machines.iter_mut().enumerate() {
        let seed = |other: usize| {
            let is_cut = trouble && other / 2 != n / 2;
            if is_cut {
                silent.clone()
            } else {
                controls[other].clone()
            }
        };
        machine.start(&[seed(0), seed(1), seed(2)], false)?;
    }
    if trouble {
        record.line(
            "front-0 and front-1 are cut off from front-2 and front-3, and all have restarted",
        );
    }
    if !wait_for(Duration::from_secs(15), || {
        machines.iter().all(Machine::is_ready)
    }) {
        return Err(io::Error::other("the machines did not get ready"));
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let fronts: Vec<String> = machines
        .iter()
        .map(|machine| machine.front.clone())
        .collect();
    let served = Arc::new(AtomicU32::new(0));
    let traffic = {
        let (stopped, served) = (Arc::clone(&stopped), Arc::clone(&served));
        let record = Arc::clone(record);
        thread::spawn(move || generate(&fronts, &stopped, &served, &record))
    };
    thread::sleep(Duration::from_secs(6));
    let bound = PER_S * OVERSHOOT + SLACK;
    let mut broken = 0;
    for round in 0..ROUNDS {
        for leaf in &leafs {
            leaf.end(&store);
        }
        thread::sleep(Duration::from_secs(1));
        let began = Instant::now();
        leafs = (0..LEAFS).map(start).collect();
        for leaf in &leafs {
            leaf.register_cold(&store, "ready", COLD);
        }
        thread::sleep(Duration::from_millis(COLD));
        for leaf in &leafs {
            let most = most_in_a_second(&leaf.arrivals(), began);
            broken += usize::from(most as f64 > bound);
            record.line(&format!(
                "round {round}: {} got {} requests while it was cold, at most {most} in one second; the bound is {bound}",
                leaf.id,
                leaf.arrivals().len()
            ));
            leaf.register(&store, "ready");
        }
        thread::sleep(ROUND - Duration::from_millis(COLD + 1_000));
    }
    stopped.store(true, Ordering::Relaxed);
    let sent = traffic.join().unwrap_or(0);
    record.line(&format!(
        "{sent} requests were sent, {} served",
        served.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "FAILBACK: {broken} of {} cold leafs got more than the bound",
        ROUNDS * LEAFS
    ));
    Ok(broken == 0)
}

/// Returns the most requests that arrived within one second of the cold time.
fn most_in_a_second(arrivals: &[Instant], began: Instant) -> usize {
    let end = began + Duration::from_millis(COLD);
    let cold: Vec<Instant> = arrivals.iter().copied().filter(|at| *at < end).collect();
    let within = |from: &Instant| {
        let until = *from + Duration::from_secs(1);
        cold.iter()
            .filter(|at| **at >= *from && **at < until)
            .count()
    };
    cold.iter().map(within).max().unwrap_or(0)
}

fn configure(store: &Store) {
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r-archive\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/archive/\",\
         \"RouteType\":\"idempotent\",\"TimeoutMs\":4000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"MaxAttempts\":2,\"Service\":\"archive\"}}],\"Services\":[{{\"Name\":\"archive\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":{},\
         \"WarmupPerS\":{PER_S}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        COLD as f64 / 1_000.0
    );
    store.put("op/config", &config);
}

/// Sends requests to all machines in turn; returns how many.
fn generate(
    fronts: &[String],
    stopped: &AtomicBool,
    served: &Arc<AtomicU32>,
    record: &Arc<Record>,
) -> u32 {
    let began = Instant::now();
    let mut number = 0;
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let front = fronts[number as usize % fronts.len()].clone();
        let (served, record) = (Arc::clone(served), Arc::clone(record));
        thread::spawn(move || {
            let headers = [
                ("Host", HOST.to_owned()),
                ("Attempt-Id", format!("{number:016x}")),
                ("Deadline-Ms", "4000".to_owned()),
            ];
            let path = format!("/archive/{number:x}");
            let answer = http::call(&front, "GET", &path, &headers, b"", Duration::from_secs(4));
            let status = answer.map_or(0, |answer| answer.status());
            record.request(&headers[1].1, &front, &status.to_string());
            served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
        });
        let due = began + Duration::from_secs(1) * number / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    number
}
