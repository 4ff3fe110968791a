//! Searches with a body, while some shards have no leaf in the zone of the process that is asked.

use std::{
    io,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, HOST, Record, outcome, request},
    http,
    leaf::{Leaf, Runs},
    store::{Reads, Store},
};

const SHARDS: usize = 20;
/// The shards whose leaf in zone a crashes: 5 of 40 leafs.
const CRASHED: usize = 5;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SEARCHES: usize = 40;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    let (store, server) = Store::start(Reads {
        page: 500,
        lag: Duration::ZERO,
    });
    let runs = Runs::default();
    let mut leafs = Vec::new();
    for shard in 0..SHARDS {
        for zone in ["a", "b"] {
            let id = format!("i-{shard:02}-{zone}");
            let records = move |_: &http::Message| {
                let record = |number: usize| format!("record {:09}", number * SHARDS + shard);
                (0..5).map(record).collect::<String>().into_bytes()
            };
            let work = Duration::from_millis(4);
            let leaf = Leaf::start(&id, &format!("shard-{shard}"), zone, work, records, &runs);
            leaf.report(&store, "ready");
            leafs.push(leaf);
        }
    }
    store.put("op/config", &configuration());
    let leafs = Arc::new(leafs);
    let is_crashed =
        move |index: usize| is_troubled && index < CRASHED * 2 && index.is_multiple_of(2);
    let fleet = Fleet::start(&["a", "a", "b", "b"], server.address, folder)?;
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("the processes did not get ready"));
    }
    let began = Instant::now();
    let (reporting, reports) = (leafs.clone(), store.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            for (index, leaf) in reporting.iter().enumerate() {
                if !is_crashed(index) || began.elapsed() < Duration::from_secs(4) {
                    leaf.report(&reports, "ready");
                }
            }
        }
    });
    thread::sleep(Duration::from_secs(4));
    for (_, leaf) in leafs
        .iter()
        .enumerate()
        .filter(|(index, _)| is_crashed(*index))
    {
        record.add(&format!(
            "leaf {} of {} in zone {} crashes",
            leaf.id, leaf.service, leaf.zone
        ));
        leaf.end();
    }
    // The store removes the entries after three intervals without a report.
    thread::sleep(HEARTBEAT * 3 + Duration::from_millis(300));
    for (_, leaf) in leafs
        .iter()
        .enumerate()
        .filter(|(index, _)| is_crashed(*index))
    {
        store.delete(&leaf.key());
    }
    thread::sleep(Duration::from_secs(5));
    for number in 0..SEARCHES {
        let vm = &fleet.vms[number % fleet.vms.len()];
        let attempt = format!("search{number:04}");
        let body = body(&attempt);
        let sent = Instant::now();
        let kind = "Content-Type: application/json\r\n";
        let request = request(
            "POST",
            "/find/watches",
            &attempt,
            1_200,
            kind,
            body.as_bytes(),
        );
        let answer = http::call(vm.front, &request, Duration::from_secs(3));
        let missing = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.header("Missing-Parts"));
        record.add_at(
            sent,
            &format!(
                "{attempt}: POST /find/watches at {}, {} bytes of body: {}, {} parts missing",
                vm.name,
                body.len(),
                outcome(&answer),
                missing.unwrap_or("?")
            ),
        );
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(500));
    let mut changed = 0;
    for run in runs.lock().unwrap().iter() {
        if run.body != body(&run.attempt).as_bytes() {
            changed += 1;
        }
    }
    record.add_runs(&runs);
    let total = runs.lock().unwrap().len();
    record.add(&format!(
        "{changed} of {total} runs at leafs had another body than was sent"
    ));
    if total < SEARCHES * SHARDS / 2 {
        return Ok(Verdict::CouldNotRun("too few runs"));
    }
    Ok(if changed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn body(attempt: &str) -> String {
    format!("{{\"reference\":\"5711/1A\",\"papers\":true,\"search\":\"{attempt}\"}}")
}

fn configuration() -> String {
    let shards: Vec<_> = (0..SHARDS)
        .map(|shard| format!("\"shard-{shard}\""))
        .collect();
    let services: Vec<_> = (0..SHARDS)
        .map(|shard| {
            format!("{{\"Name\":\"shard-{shard}\",\"HealthPath\":\"/health\",\"MaxConns\":26}}")
        })
        .collect();
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-find\",\"Hostname\":\"{HOST}\",\
         \"Prefix\":\"/find/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":1200,\
         \"TargetLatencyMs\":120,\"Priority\":1,\"Shards\":[{}],\"MaxAttempts\":2,\"TopK\":20,\
         \"MinPartShare\":0.75}}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        shards.join(","),
        services.join(",")
    )
}
