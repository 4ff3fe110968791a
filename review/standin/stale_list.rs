//! A leaf leaves, and then all processes are killed and list the store's items again.

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

/// The leafs of other services, which fill the first pages.
const OTHERS: usize = 108;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_secs(3);
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// How long the leaf serves after its entry was removed.
const SERVES: Duration = Duration::from_secs(14);

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    // One copy of the store has all changes, another is two seconds behind.
    let (store, server) = Store::start(Reads {
        page: 50,
        lag: Duration::from_secs(2),
    });
    let runs = Runs::default();
    let start = |id: String, service: &str, zone: &str| {
        let work = Duration::from_millis(20);
        let leaf = Leaf::start(&id, service, zone, work, |_| b"a sale".to_vec(), &runs);
        leaf.report(&store, "ready");
        leaf
    };
    let mut leafs = Vec::new();
    for number in 0..OTHERS {
        let service = format!("other-{}", number / 2);
        leafs.push(start(
            format!("i-{number:03}"),
            &service,
            ["a", "b"][number % 2],
        ));
    }
    for (id, zone) in [("i-x1", "a"), ("i-x2", "b"), ("i-x3", "a")] {
        leafs.push(start(id.to_owned(), "ledger", zone));
    }
    // The last one leaves. It is one of those that never report that they drain.
    let leafs = Arc::new(leafs);
    let leaving = leafs.len() - 1;
    let has_left = Arc::new(AtomicBool::new(false));
    store.put("op/config", &configuration());
    let (reporting, reports, left) = (leafs.clone(), store.clone(), has_left.clone());
    thread::spawn(move || {
        loop {
            let round = Instant::now();
            for (index, leaf) in reporting.iter().enumerate() {
                if index != leaving || !left.load(Ordering::SeqCst) {
                    leaf.report(&reports, "ready");
                }
                thread::sleep(HEARTBEAT / 120);
            }
            thread::sleep(HEARTBEAT.saturating_sub(round.elapsed()));
        }
    });
    let fleet = Fleet::start(&["a", "a", "b", "b"], server.address, folder)?;
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("the processes did not get ready"));
    }
    thread::sleep(Duration::from_secs(6));
    has_left.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(100));
    store.delete(&leafs[leaving].key());
    let removed = Instant::now();
    record.add(&format!(
        "the store acknowledged the removal of {}",
        leafs[leaving].id
    ));
    thread::sleep(Duration::from_millis(500));
    if is_troubled {
        for vm in 0..fleet.vms.len() {
            fleet.kill(vm);
        }
        record.add("all processes are killed");
        thread::sleep(Duration::from_millis(500));
        for vm in 0..fleet.vms.len() {
            fleet.start_vm(vm, false)?;
        }
        record.add("all processes are started again");
    }
    let started = Instant::now();
    if !fleet.await_ready(Duration::from_secs(10)) {
        return Ok(Verdict::CouldNotRun(
            "the processes did not get ready again",
        ));
    }
    record.add("all processes are ready");
    // From here on the processes are in touch, and the time to stop sending to the leaf is over.
    let judged = (started + STABLE_WINDOW).max(removed + DRAIN) + Duration::from_millis(500);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    let mut number = 0;
    let mut served = 0;
    while removed.elapsed() < SERVES {
        let vm = &fleet.vms[number % fleet.vms.len()];
        let attempt = format!("fetch{number:04}");
        let sent = Instant::now();
        let request = request("GET", "/sales/17", &attempt, 2_000, "", b"");
        let answer = http::call(vm.front, &request, Duration::from_secs(3));
        served += usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        let name = &vm.name;
        record.add_at(
            sent,
            &format!("{attempt}: GET /sales/17 at {name}: {}", outcome(&answer)),
        );
        number += 1;
        thread::sleep(Duration::from_millis(30));
    }
    leafs[leaving].end();
    record.add(&format!("{} ends", leafs[leaving].id));
    record.add_runs(&runs);
    let mut late = 0;
    for run in runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.leaf == leafs[leaving].id)
    {
        if run.at > judged {
            late += 1;
            let after = run.at.duration_since(removed).as_secs_f64();
            record.add_at(
                run.at,
                &format!(
                    "{}: reached {} {after:.1} s after its removal",
                    run.attempt, run.leaf
                ),
            );
        }
    }
    record.add(&format!(
        "{late} of {number} requests, {served} answered, reached the leaf too late"
    ));
    if served == 0 {
        return Ok(Verdict::CouldNotRun("nothing was served"));
    }
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn configuration() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-sales\",\"Hostname\":\"{HOST}\",\
         \"Prefix\":\"/sales/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":5000,\
         \"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"ledger\",\"MaxAttempts\":2}}],\
         \"Services\":[{{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}
