//! Leafs are released again and again; then the operator changes the configuration.

use std::{
    collections::VecDeque,
    io,
    path::Path,
    sync::{Arc, Mutex},
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

const SERVICES: usize = 52;
/// How long a leaf serves after its entry says that it drains, and a little longer.
const DRAIN: Duration = Duration::from_millis(3_500);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The pause between two replacements within a service.
const GAP: Duration = Duration::from_secs(1);
/// How often a leaf of each service is replaced.
const ROUNDS: usize = 78;
const CONFIG_APPLY: Duration = Duration::from_secs(3);

/// The live leafs of one service, the oldest first, and those that drain.
#[derive(Default)]
struct Service {
    ready: VecDeque<Leaf>,
    draining: VecDeque<(Instant, Leaf)>,
    started: usize,
}

struct Pool {
    store: Store,
    runs: Runs,
    services: Vec<Mutex<Service>>,
}

impl Pool {
    fn start_leaf(&self, index: usize) {
        let mut service = self.services[index].lock().unwrap();
        let id = format!("i-{index:02}-{:04}", service.started);
        let zone = ["a", "b"][service.started % 2];
        service.started += 1;
        let name = format!("service-{index}");
        let work = Duration::from_millis(2);
        let leaf = Leaf::start(&id, &name, zone, work, |_| b"answer".to_vec(), &self.runs);
        leaf.report(&self.store, "ready");
        service.ready.push_back(leaf);
    }

    fn drain_oldest(&self, index: usize) {
        let mut service = self.services[index].lock().unwrap();
        if let Some(leaf) = service.ready.pop_front() {
            leaf.report(&self.store, "draining");
            service.draining.push_back((Instant::now(), leaf));
        }
    }

    /// Ends the leafs that have drained for long enough.
    fn end_drained(&self) {
        for service in &self.services {
            let mut service = service.lock().unwrap();
            while service
                .draining
                .front()
                .is_some_and(|(since, _)| since.elapsed() > DRAIN)
            {
                if let Some((_, leaf)) = service.draining.pop_front() {
                    self.store.delete(&leaf.key());
                    leaf.end();
                }
            }
        }
    }

    fn report_all(&self) {
        for service in &self.services {
            let service = service.lock().unwrap();
            for leaf in &service.ready {
                leaf.report(&self.store, "ready");
            }
            for (_, leaf) in &service.draining {
                leaf.report(&self.store, "draining");
            }
        }
    }

    fn started(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.lock().unwrap().started)
            .sum()
    }
}

fn configuration(version: u64, routes: &[(&str, usize)]) -> String {
    let route = |(prefix, service): &(&str, usize)| {
        format!(
            "{{\"Name\":\"r-{}\",\"Hostname\":\"{HOST}\",\"Prefix\":\"/{prefix}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":2000,\"TargetLatencyMs\":200,\
             \"Priority\":1,\"Service\":\"service-{service}\",\"MaxAttempts\":2}}",
            prefix
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let services: Vec<_> = (0..SERVICES)
        .map(|index| {
            format!("{{\"Name\":\"service-{index}\",\"HealthPath\":\"/health\",\"MaxConns\":26}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":\
         {{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> io::Result<Verdict> {
    let (store, server) = Store::start(Reads {
        page: 500,
        lag: Duration::ZERO,
    });
    let pool = Arc::new(Pool {
        store: store.clone(),
        runs: Runs::default(),
        services: (0..SERVICES).map(|_| Mutex::default()).collect(),
    });
    for index in 0..SERVICES {
        pool.start_leaf(index);
        pool.start_leaf(index);
    }
    store.put("op/config", &configuration(1, &[("first", 0)]));
    let reporting = pool.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            reporting.report_all();
        }
    });
    let fleet = Fleet::start(&["a", "a", "b", "b"], server.address, folder)?;
    if !fleet.await_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun("the processes did not get ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let healthy = ask(&fleet, record, "first", "before");
    if healthy.iter().any(|status| status != "200") {
        return Ok(Verdict::CouldNotRun(
            "the first route is not served before the releases",
        ));
    }
    for _ in 0..if is_troubled { ROUNDS } else { 0 } {
        let round = Instant::now();
        for index in 0..SERVICES {
            pool.start_leaf(index);
            pool.drain_oldest(index);
        }
        while round.elapsed() < GAP {
            pool.end_drained();
            thread::sleep(Duration::from_millis(20));
        }
    }
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        pool.end_drained();
        thread::sleep(Duration::from_millis(20));
    }
    record.add(&format!(
        "the releases have ended; {} leafs were started in all",
        pool.started()
    ));
    ask(&fleet, record, "first", "after the releases, old route");
    store.put(
        "op/config",
        &configuration(2, &[("first", 0), ("second", 1)]),
    );
    record.add("the store acknowledged version 2, which adds the route /second/");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let mut refused = 0;
    for _ in 0..4 {
        let answers = ask(&fleet, record, "second", "after version 2, new route");
        refused += answers.iter().filter(|status| *status == "404").count();
        thread::sleep(Duration::from_millis(500));
    }
    if is_troubled {
        // One process alone is replaced; it does not count for the rule.
        fleet.kill(0);
        fleet.start_vm(0, false)?;
        fleet.await_ready(Duration::from_secs(5));
        thread::sleep(Duration::from_secs(2));
        ask(
            &fleet,
            record,
            "second",
            "after front-a-0 was restarted, new route",
        );
    }
    record.add_runs(&pool.runs);
    record.add(&format!(
        "{refused} requests on the new route were refused with 404"
    ));
    Ok(if refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends five requests to each process; returns the outcomes.
fn ask(fleet: &Fleet, record: &Record, prefix: &str, when: &str) -> Vec<String> {
    let mut outcomes = Vec::new();
    for (index, vm) in fleet.vms.iter().enumerate() {
        for number in 0..5 {
            let sent = Instant::now();
            let attempt = format!("{prefix}-{index}-{number}-{:?}", sent);
            let attempt: String = attempt
                .chars()
                .filter(char::is_ascii_alphanumeric)
                .collect();
            let request = request("GET", &format!("/{prefix}/x"), &attempt, 2_000, "", b"");
            let answer = http::call(vm.front, &request, Duration::from_secs(4));
            let outcome = outcome(&answer);
            let name = &vm.name;
            record.add_at(
                sent,
                &format!("{when}: GET /{prefix}/x at {name}: {outcome}"),
            );
            outcomes.push(outcome);
        }
    }
    outcomes
}
