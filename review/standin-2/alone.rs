//! All machines lose power and one of them comes back; later one leaf after the other is cut off for some
//! seconds.

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    leaf::Leaf,
    machine::{Machine, wait_for},
    record::Record,
    store::Store,
};

const HOST: &str = "archive.example";
/// The leafs of the service, as many as `arkivhent` has, and requests a second.
const LEAFS: usize = 3;
const RATE: u32 = 8;
/// How long each leaf is cut off, in seconds, and the time until the next one.
const CUT: u32 = 5;
const PAUSE: u32 = 3;
/// `RecoveryS`, and how long requests are counted after it.
const RECOVERY: u32 = 15;
const COUNTED: u32 = 15;
/// Requests before the first cut, in seconds.
const BEFORE: u32 = 8;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-alone-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let zones = ["bergen-a", "stavanger-b", "floro-c"];
    let mut leafs: Vec<Leaf> = (0..LEAFS)
        .map(|n| {
            Leaf::start(
                "archive",
                zones[n % 3],
                1_500,
                Duration::from_millis(40),
                record,
            )
        })
        .collect();
    let links: Vec<_> = leafs.iter_mut().map(Leaf::put_behind_link).collect();
    for leaf in &leafs {
        leaf.register(&store, "ready");
    }
    configure(&store);
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
    let mut traffic = Traffic {
        front: machines[0].front.clone(),
        record: Arc::clone(record),
        sent: 0,
    };
    traffic.send("while all machines run", 4);
    if trouble {
        for machine in &mut machines {
            machine.kill();
        }
        record.line("all machines lose power");
        thread::sleep(Duration::from_millis(1_500));
        machines[0].start(&seeds, false)?;
        record.line(&format!(
            "{} comes back; the others do not",
            machines[0].name
        ));
        if !wait_for(Duration::from_secs(15), || machines[0].is_ready()) {
            return Err(io::Error::other("the machine did not get ready"));
        }
    }
    let before = traffic.send("before the first cut", BEFORE);
    for (leaf, link) in leafs.iter().zip(&links) {
        if trouble {
            link.cut();
            record.line(&format!("{} is cut off", leaf.id));
        }
        traffic.send("during the cut", CUT);
        if trouble {
            link.heal();
            record.line(&format!("{} can be reached again", leaf.id));
        }
        traffic.send("after the cut", PAUSE);
    }
    traffic.send("within the time to recover", RECOVERY);
    let after = traffic.send("after the time to recover", COUNTED);
    for line in machines[0].log_lines("cold").iter().rev().take(2) {
        record.line(&format!("log of {}: {line}", machines[0].name));
    }
    record.line(&format!(
        "RECOVER: {:.2} served before the first cut, {:.2} after the time to recover",
        before, after
    ));
    Ok(before < 0.25 || after >= 0.25)
}

fn configure(store: &Store) {
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r-archive\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/archive/\",\
         \"RouteType\":\"idempotent\",\"TimeoutMs\":4000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"MaxAttempts\":2,\"Service\":\"archive\"}}],\"Services\":[{{\"Name\":\"archive\",\
         \"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\
         \"WarmupPerS\":20.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config);
}

struct Traffic {
    front: String,
    record: Arc<Record>,
    sent: u32,
}

impl Traffic {
    /// Sends requests for some seconds; returns the share that is served.
    fn send(&mut self, when: &str, seconds: u32) -> f64 {
        let began = Instant::now();
        let count = seconds * RATE;
        let [served, refused] = [(); 2].map(|()| Arc::new(AtomicU32::new(0)));
        let mut tasks = Vec::new();
        for number in 0..count {
            self.sent += 1;
            let (front, sent, record) = (self.front.clone(), self.sent, Arc::clone(&self.record));
            let (served, refused) = (Arc::clone(&served), Arc::clone(&refused));
            tasks.push(thread::spawn(move || {
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", format!("{sent:016x}")),
                    ("Deadline-Ms", "4000".to_owned()),
                ];
                let path = format!("/archive/{sent:x}");
                let answer =
                    http::call(&front, "GET", &path, &headers, b"", Duration::from_secs(4));
                let status = answer.map_or(0, |answer| answer.status());
                record.request(&headers[1].1, &front, &status.to_string());
                served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
                refused.fetch_add(u32::from(status == 503), Ordering::Relaxed);
            }));
            let due = began + Duration::from_secs(1) * (number + 1) / RATE;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        for task in tasks {
            let _ = task.join();
        }
        let [served, refused] = [served, refused].map(|count| count.load(Ordering::Relaxed));
        let text = format!("{when}: {count} sent, {served} served, {refused} refused with 503");
        self.record.line(&text);
        f64::from(served) / f64::from(count)
    }
}
