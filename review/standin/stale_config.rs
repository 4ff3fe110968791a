//! The operator changes the configuration, and then all processes are killed and list the store's
//! items again.

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

/// The items of others in the store, more than a page holds.
const OTHERS: usize = 60;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CONFIG_APPLY: Duration = Duration::from_secs(3);
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// How long requests are sent on the new route.
const TRAFFIC: Duration = Duration::from_secs(12);

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    // The copy of the store that answers the first page has all changes, the other one is behind.
    let (store, server) = Store::start(Reads {
        page: 50,
        lag: Duration::from_secs(2),
    });
    let runs = Runs::default();
    for number in 0..OTHERS {
        store.put(&format!("my/desk-{number:02}"), "open");
    }
    let mut leafs = Vec::new();
    for (id, zone) in [("i-1", "a"), ("i-2", "b"), ("i-3", "a"), ("i-4", "b")] {
        let work = Duration::from_millis(20);
        let leaf = Leaf::start(id, "ledger", zone, work, |_| b"a sale".to_vec(), &runs);
        leaf.report(&store, "ready");
        leafs.push(leaf);
    }
    store.put("op/config", &configuration(1, &["sales"]));
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
    thread::sleep(Duration::from_secs(6));
    if ask(&fleet, record, "sales", Duration::from_secs(1)).0 > 0 {
        return Ok(Verdict::CouldNotRun("the first route is not there"));
    }
    store.put("op/config", &configuration(2, &["sales", "returns"]));
    let acknowledged = Instant::now();
    record.add("the store acknowledged version 2, which adds the route /returns/");
    thread::sleep(Duration::from_millis(300));
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
    let judged = (started + STABLE_WINDOW).max(acknowledged + CONFIG_APPLY);
    let judged = judged + Duration::from_secs(1);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    let (refused, sent) = ask(&fleet, record, "returns", TRAFFIC);
    let (first, _) = ask(&fleet, record, "sales", Duration::from_secs(1));
    record.add_runs(&runs);
    record.add(&format!(
        "{refused} of {sent} requests on the new route were refused with 404, and {first} on the \
         first one"
    ));
    Ok(if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests for a time; returns how many were refused with 404, and how many there were.
fn ask(fleet: &Fleet, record: &Record, prefix: &str, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let (mut sent, mut refused) = (0, 0);
    while Instant::now() < until {
        let vm = &fleet.vms[sent % fleet.vms.len()];
        let at = Instant::now();
        let attempt = format!("{prefix}{sent:04}");
        let request = request("GET", &format!("/{prefix}/17"), &attempt, 2_000, "", b"");
        let answer = http::call(vm.front, &request, Duration::from_secs(3));
        refused += usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 404));
        let text = outcome(&answer);
        record.add_at(
            at,
            &format!("{attempt}: GET /{prefix}/17 at {}: {text}", vm.name),
        );
        sent += 1;
        thread::sleep(Duration::from_millis(50));
    }
    (refused, sent)
}

fn configuration(version: u64, prefixes: &[&str]) -> String {
    let route = |prefix: &&str| {
        format!(
            "{{\"Name\":\"r-{prefix}\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/{prefix}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\
             \"Priority\":1,\"Service\":\"ledger\",\"MaxAttempts\":2}}"
        )
    };
    let routes: Vec<_> = prefixes.iter().map(route).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\
         \"Services\":[{{\"Name\":\"ledger\",\"HealthPath\":\"/health\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
