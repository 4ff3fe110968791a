//! Another writer's entries, in which fields are missing, stand under the ids of leafs for a moment.

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
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

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How often the other writer writes.
const WRITES: usize = 10;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    let (store, server) = Store::start(Reads {
        page: 500,
        lag: Duration::ZERO,
    });
    let runs = Runs::default();
    let mut leafs = Vec::new();
    for service in ["ledger", "portal"] {
        for (number, zone) in ["a", "b", "a"].into_iter().enumerate() {
            let id = format!("i-{service}-{number}");
            let work = Duration::from_millis(20);
            let body = move |_: &http::Message| format!("from {service}").into_bytes();
            let leaf = Leaf::start(&id, service, zone, work, body, &runs);
            leaf.report(&store, "ready");
            leafs.push(leaf);
        }
    }
    let leafs = Arc::new(leafs);
    store.put("op/config", &configuration());
    let (reporting, reports) = (leafs.clone(), store.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            for leaf in reporting.iter() {
                leaf.report(&reports, "ready");
            }
        }
    });
    let fleet = Fleet::start(&["a", "a", "b", "b"], server.address, folder)?;
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("the processes did not get ready"));
    }
    thread::sleep(Duration::from_secs(5));
    let has_ended = Arc::new(AtomicBool::new(false));
    let (writing, writes, ended) = (leafs.clone(), store.clone(), has_ended.clone());
    let writer_record = record.clone();
    let writer = thread::spawn(move || {
        for _ in 0..WRITES {
            let leaf = &writing[5];
            let entry = format!(
                "{{\"Service\":\"ledger\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Slots\":2,\
                 \"State\":\"ready\"}}",
                leaf.address(),
                leaf.zone
            );
            if is_troubled {
                writes.put(&leaf.key(), &entry);
                writer_record.add(&format!("another writer puts {}: {entry}", leaf.key()));
            }
            thread::sleep(HEARTBEAT);
        }
        ended.store(true, Ordering::SeqCst);
    });
    let mut number = 0;
    let mut foreign = 0;
    while !has_ended.load(Ordering::SeqCst) {
        let vm = &fleet.vms[number % fleet.vms.len()];
        let attempt = format!("sale{number:04}");
        let sent = Instant::now();
        let request = request("GET", "/sales/17", &attempt, 2_000, "", b"");
        let answer = http::call(vm.front, &request, Duration::from_secs(3));
        let body = answer
            .as_ref()
            .map(|answer| answer.body.clone())
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        foreign += usize::from(body == "from portal");
        let text = outcome(&answer);
        record.add_at(
            sent,
            &format!("{attempt}: GET /sales/17 at {}: {text}, {body}", vm.name),
        );
        number += 1;
        thread::sleep(Duration::from_millis(25));
    }
    drop(writer.join());
    record.add_runs(&runs);
    let is_foreign = |run: &&crate::leaf::Run| run.leaf.starts_with("i-portal");
    let run_there = runs.lock().unwrap().iter().filter(is_foreign).count();
    record.add(&format!(
        "{run_there} of {number} requests on the route to ledger were run by portal, {foreign} \
         answered by it"
    ));
    Ok(if run_there > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/{prefix}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\
             \"Priority\":1,\"Service\":\"{name}\",\"MaxAttempts\":2}}"
        )
    };
    format!(
        "{{\"Version\":1,\"Routes\":[{},{}],\
         \"Services\":[{{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\"MaxConns\":100}},\
         {{\"Name\":\"portal\",\"HealthPath\":\"/health\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route("ledger", "sales"),
        route("portal", "shop")
    )
}
