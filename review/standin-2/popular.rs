//! Some leafs crash once while several consumers ask the same search.

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    leaf::{Leaf, Times, Work},
    machine::{Machine, wait_for},
    record::Record,
    store::Store,
};

const HOST: &str = "counter.example";
const SHARDS: usize = 20;
/// The phases, each with a popular search of its own and one crash.
const PHASES: usize = 6;
/// Requests a second: the popular search, and searches that nobody else asks.
const POPULAR: u32 = 67;
const OTHERS: u32 = 22;
/// How many of the leafs crash (`share` .15 of `srv_crash`), and for how long.
const CRASHED: usize = 6;
const DOWN: Duration = Duration::from_millis(4_500);
const ZONES: [&str; 2] = ["ikeja-a", "lekki-b"];

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-popular-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

/// The answers of one kind of request in one span.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
    refused: u32,
}

struct Traffic {
    fronts: Vec<String>,
    record: Arc<Record>,
    phase: AtomicU64,
    /// Whether requests are counted now.
    counts: AtomicBool,
    popular: Mutex<Count>,
    others: Mutex<Count>,
    stopped: AtomicBool,
    sent: AtomicU64,
}

impl Traffic {
    fn send(self: &Arc<Self>, is_popular: bool) {
        let traffic = Arc::clone(self);
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || traffic.ask(is_popular, number));
    }

    fn ask(&self, is_popular: bool, number: u64) {
        let phase = self.phase.load(Ordering::Relaxed);
        let counts = self.counts.load(Ordering::Relaxed);
        let path = if is_popular {
            format!("/glance/wanted-{phase}")
        } else {
            format!("/check/{number:x}")
        };
        let attempt = format!("{number:016x}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("Attempt-Id", attempt.clone()),
            ("Deadline-Ms", "1200".to_owned()),
        ];
        let front = &self.fronts[number as usize % self.fronts.len()];
        let answer = http::call(front, "GET", &path, &headers, b"", Duration::from_millis(1_200));
        let status = answer.as_ref().map_or(0, http::Message::status);
        if !counts {
            return;
        }
        let mut count = if is_popular { &self.popular } else { &self.others }.lock().unwrap();
        count.sent += 1;
        count.served += u32::from(status == 200);
        count.refused += u32::from(status == 503);
        if status != 200 && count.sent - count.served <= 3 {
            let reason = answer.as_ref().map_or("none", |answer| {
                answer.header("cassialift-reason").unwrap_or("none")
            });
            let retry = answer.as_ref().map_or("none", |answer| answer.header("retry-after").unwrap_or("none"));
            let runs = self.record.runs(&attempt).len();
            let text = format!("{path} {attempt}: status {status}, reason {reason}, Retry-After {retry}, run {runs} times");
            self.record.line(&text);
        }
    }

    fn generate(self: Arc<Self>, is_popular: bool, rate: u32) {
        let began = Instant::now();
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            self.send(is_popular);
            number += 1;
            let due = began + Duration::from_secs(1) * number / rate;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let mut leafs: Vec<Leaf> = (0..2 * SHARDS).map(|n| start(n, record)).collect();
    for leaf in &leafs {
        leaf.register(&store, "ready");
    }
    configure(&store);
    let mut machines: Vec<Machine> = (0..4)
        .map(|n| Machine::new(&format!("front-{n}"), ZONES[n % 2], &store.listen(n), folder))
        .collect();
    let seeds: Vec<String> = machines.iter().take(3).map(Machine::control).collect();
    for machine in &mut machines {
        machine.start(&seeds, true)?;
    }
    if !wait_for(Duration::from_secs(15), || machines.iter().all(Machine::is_ready)) {
        return Err(io::Error::other("the machines did not get ready"));
    }
    thread::sleep(Duration::from_secs(1));
    let traffic = Arc::new(Traffic {
        fronts: machines.iter().map(|machine| machine.front.clone()).collect(),
        record: Arc::clone(record),
        phase: AtomicU64::new(0),
        counts: AtomicBool::new(false),
        popular: Mutex::default(),
        others: Mutex::default(),
        stopped: AtomicBool::new(false),
        sent: AtomicU64::new(1),
    });
    let generators = [(true, POPULAR), (false, OTHERS)].map(|(is_popular, rate)| {
        let traffic = Arc::clone(&traffic);
        thread::spawn(move || traffic.generate(is_popular, rate))
    });
    let mut starved = 0;
    for phase in 0..PHASES {
        traffic.phase.store(phase as u64, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(3));
        if trouble {
            crash(&store, &mut leafs, phase, record);
        } else {
            thread::sleep(DOWN);
        }
        thread::sleep(Duration::from_secs(3));
        *traffic.popular.lock().unwrap() = Count::default();
        *traffic.others.lock().unwrap() = Count::default();
        traffic.counts.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(5));
        traffic.counts.store(false, Ordering::Relaxed);
        let popular = *traffic.popular.lock().unwrap();
        let others = *traffic.others.lock().unwrap();
        record.line(&format!("phase {phase}: popular {popular:?}; others {others:?}"));
        let share = |count: Count| f64::from(count.served) / f64::from(count.sent.max(1));
        let total = Count {
            sent: popular.sent + others.sent,
            served: popular.served + others.served,
            refused: 0,
        };
        starved += usize::from(share(popular) < share(total) / 4.0);
    }
    traffic.stopped.store(true, Ordering::Relaxed);
    for generator in generators {
        let _ = generator.join();
    }
    thread::sleep(Duration::from_millis(1_500));
    for machine in &machines {
        for line in machine.log_lines("fingerprint") {
            record.line(&format!("{}: {}", machine.name, &line[..line.len().min(240)]));
        }
        for line in machine.log_lines("learned from") {
            record.line(&format!("{}: {}", machine.name, &line[..line.len().min(240)]));
        }
    }
    record.line(&format!("Starved: in {starved} of {PHASES} phases"));
    Ok(starved == 0)
}

fn start(number: usize, record: &Arc<Record>) -> Leaf {
    let times = Times {
        millis: 15,
        pause: Duration::from_millis(150),
        every: Duration::from_millis(3_600),
    };
    let service = format!("desk{}", number / 2);
    Leaf::start(&service, ZONES[number % 2], Work::Records(25), times, record)
}

/// Crashes some leafs, no two of one shard; others of the same services start when the time has passed.
fn crash(store: &Store, leafs: &mut [Leaf], phase: usize, record: &Arc<Record>) {
    let chosen: Vec<usize> = (0..CRASHED).map(|n| 2 * ((phase * 7 + n * 3) % SHARDS) + (n + phase) % 2).collect();
    for number in &chosen {
        leafs[*number].crash();
    }
    record.line(&format!("phase {phase}: {CRASHED} of {} leafs crash", leafs.len()));
    // An entry is removed after three intervals of silence.
    thread::sleep(Duration::from_millis(3_600));
    for number in &chosen {
        leafs[*number].deregister(store);
    }
    thread::sleep(DOWN - Duration::from_millis(3_600));
    for number in &chosen {
        leafs[*number] = start(*number, record);
        leafs[*number].register(store, "ready");
    }
}

fn configure(store: &Store) {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("\"desk{shard}\"")).collect();
    let names = names.join(",");
    let route = |name: &str, prefix: &str, aim: u32, top: u32, least: f64| {
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"RouteType\":\
             \"idempotent\",\"TimeoutMs\":1200,\"TargetLatencyMs\":{aim},\"Priority\":1,\"MaxAttempts\":2,\
             \"Shards\":[{names}],\"TopK\":{top},\"MinPartShare\":{least}}}"
        )
    };
    let routes = [
        route("r-check", "/check/", 120, 20, 0.89),
        route("r-glance", "/glance/", 120, 5, 0.75),
    ];
    let services = (0..SHARDS).map(|shard| {
        format!(
            "{{\"Name\":\"desk{shard}\",\"HealthPath\":\"/health\",\"MaxConns\":26,\"Protocol\":\"h1\",\
             \"Tls\":false}}"
        )
    });
    let services: Vec<String> = services.collect();
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("op/config", &config);
}
