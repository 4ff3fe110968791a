//! A leaf fails part of its requests after it has run them, while its health probe is good.

use std::{
    fs, io,
    path::Path,
    sync::Arc,
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

const HOST: &str = "press.example";
/// The leafs; one of them fails (`share` .15 of `srv_grey`), 4 of 10 requests (`x` .4).
const LEAFS: usize = 7;
const OF_TEN: u64 = 4;
/// Jobs a second, and for how long they are sent.
const RATE: u32 = 20;
const LENGTH: Duration = Duration::from_secs(20);

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-promise-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let zones = ["kgn-a", "kgn-b", "spt-a"];
    let leafs: Vec<Leaf> = (0..LEAFS)
        .map(|n| {
            Leaf::start(
                "pressdesk",
                zones[n % 3],
                300,
                Duration::from_millis(30),
                record,
            )
        })
        .collect();
    for leaf in &leafs {
        leaf.register(&store, "ready");
    }
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r-print\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/print/\",\
         \"RouteType\":\"non_idempotent\",\"TimeoutMs\":4000,\"TargetLatencyMs\":400,\"Priority\":2,\
         \"MaxAttempts\":2,\"Service\":\"pressdesk\"}}],\"Services\":[{{\"Name\":\"pressdesk\",\
         \"HealthPath\":\"/health\",\"MaxConns\":51,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":\
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
    if trouble {
        leafs[0].fail(OF_TEN);
        record.line(&format!(
            "{} of {LEAFS} leafs fails {OF_TEN} of 10 jobs after it has run them",
            leafs[0].id
        ));
    }
    let began = Instant::now();
    let mut tasks = Vec::new();
    let mut number = 0;
    while began.elapsed() < LENGTH {
        number += 1;
        let front = machines[number as usize % machines.len()].front.clone();
        let record = Arc::clone(record);
        tasks.push(thread::spawn(move || submit(&front, number, &record)));
        let due = began + Duration::from_secs(1) * number / RATE;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let ends: Vec<Job> = tasks
        .into_iter()
        .filter_map(|task| task.join().ok())
        .collect();
    let broken = ends.iter().map(|end| end.broken).sum::<usize>();
    let doubled = ends.iter().filter(|end| end.runs > 1).count();
    record.line(&format!(
        "{} jobs were sent; {doubled} ran more than once, in several attempts",
        ends.len()
    ));
    record.line(&format!(
        "REFUSED: {broken} attempts were answered 503 and had run"
    ));
    Ok(broken == 0)
}

/// What became of one job.
struct Job {
    /// The attempts that were answered 408, 421, 429 or 503 and had run.
    broken: usize,
    /// The runs of all its attempts.
    runs: usize,
}

/// Submits a job, and once more under another id if the first answer promises that it has not run.
fn submit(front: &str, number: u32, record: &Record) -> Job {
    let mut job = Job { broken: 0, runs: 0 };
    for attempt in 0..2 {
        let id = format!("{number:08x}{attempt:08x}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("Attempt-Id", id.clone()),
            ("Deadline-Ms", "4000".to_owned()),
        ];
        let path = format!("/print/{number}");
        let answer = http::call(
            front,
            "POST",
            &path,
            &headers,
            b"batch",
            Duration::from_secs(4),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.request(&id, front, &status.to_string());
        let runs = record.runs(&id);
        job.runs += runs.len();
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        if is_promise && !runs.is_empty() {
            job.broken += 1;
            let stamp = answer.as_ref().map_or("none", |answer| {
                answer.header("server-stamp").unwrap_or("none")
            });
            record.line(&format!(
                "{path} {id}: answered {status}, Server-Stamp {stamp}; run at {}",
                runs[0].1
            ));
        }
        if !is_promise {
            break;
        }
    }
    job
}
