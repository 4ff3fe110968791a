//! Another writer's entries have keys with spaces; then all processes are killed and started again.

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

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The entries of the other writer, more than a page holds.
const ENTRIES: usize = 60;
const RECOVERY: Duration = Duration::from_secs(12);
const TRAFFIC: Duration = Duration::from_secs(10);

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    let (store, server) = Store::start(Reads {
        page: 50,
        lag: Duration::ZERO,
    });
    let runs = Runs::default();
    let mut leafs = Vec::new();
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "a"), ("i-4", "b")] {
        let work = Duration::from_millis(20);
        let leaf = Leaf::start(id, "ledger", zone, work, |_| b"a sale".to_vec(), &runs);
        leaf.report(&store, "ready");
        leafs.push(leaf);
    }
    store.put("op/config", &configuration());
    let leafs = Arc::new(leafs);
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
    for number in 0..ENTRIES {
        let key = format!("servers/desk {number:02}");
        store.put(&key, &format!("{{\"Note\":\"counter desk {number}\"}}"));
    }
    record.add(&format!(
        "another writer put {ENTRIES} entries, servers/desk 00 and so on"
    ));
    thread::sleep(Duration::from_secs(3));
    let before = ask(&fleet, record, "before", TRAFFIC);
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
    thread::sleep(RECOVERY);
    let after = ask(&fleet, record, "after", TRAFFIC);
    record.add_runs(&runs);
    record.add(&format!(
        "served before: {before:.2} of the requests, after: {after:.2}"
    ));
    if before < 0.25 {
        return Ok(Verdict::CouldNotRun("too little was served before"));
    }
    Ok(if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests for a time; returns the share that was served.
fn ask(fleet: &Fleet, record: &Record, name: &str, time: Duration) -> f64 {
    let until = Instant::now() + time;
    let (mut number, mut served) = (0, 0);
    while Instant::now() < until {
        let vm = &fleet.vms[number % fleet.vms.len()];
        let attempt = format!("{name}{number:04}");
        let sent = Instant::now();
        let request = request("GET", "/sales/17", &attempt, 2_000, "", b"");
        let answer = http::call(vm.front, &request, Duration::from_secs(3));
        served += i32::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        let text = outcome(&answer);
        record.add_at(
            sent,
            &format!("{attempt}: GET /sales/17 at {}: {text}", vm.name),
        );
        number += 1;
        thread::sleep(Duration::from_millis(50));
    }
    f64::from(served) / f64::from(u32::try_from(number.max(1)).unwrap_or(1))
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
