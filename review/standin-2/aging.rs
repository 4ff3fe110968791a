//! Leafs are replaced one after the other for some time; then the configuration changes.

use std::{
    fs, io,
    path::Path,
    sync::Arc,
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

const HOST: &str = "desk.example";
/// The shards of the searches, two leafs each, as on the small installations.
const SHARDS: usize = 50;
/// The time between two replacements in one service (`gap_s` of `release`).
const GAP: Duration = Duration::from_secs(1);
/// How long a leaf serves after the store took its `draining` (`DrainMs` and a little longer).
const DRAIN: Duration = Duration::from_millis(3_300);
/// How long leafs are replaced.
const RELEASES: Duration = Duration::from_secs(86);
/// The time after an ack from which requests count (`ConfigApplyMs` and half a second).
const APPLY: Duration = Duration::from_millis(3_500);
/// How often each machine is asked on a route of one service, and on that of searches.
const ASKED: usize = 10;
const SEARCHED: usize = 2;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = std::env::temp_dir().join(format!("review-aging-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let result = play(&record, &temporary, trouble);
    fs::remove_dir_all(&temporary)?;
    result
}

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> io::Result<bool> {
    let store = Store::new();
    let zones = ["ikeja-a", "lekki-b", "yaba-c"];
    let mut fixed = Vec::new();
    for (place, zone) in zones.iter().enumerate() {
        fixed.push(Leaf::start(
            "ledger",
            zone,
            Work::Bytes(600),
            Times::steady(5),
            record,
        ));
        fixed.push(Leaf::start(
            "portal",
            zone,
            Work::Bytes(600),
            Times::steady(5),
            record,
        ));
        fixed.push(Leaf::start(
            &format!("quiet{place}"),
            zone,
            Work::Bytes(600),
            Times::steady(5),
            record,
        ));
    }
    let mut shards: Vec<Vec<Leaf>> = (0..SHARDS)
        .map(|shard| {
            zones[..2]
                .iter()
                .map(|zone| start_shard(shard, zone, record))
                .collect()
        })
        .collect();
    for leaf in fixed.iter().chain(shards.iter().flatten()) {
        leaf.register(&store, "ready");
    }
    configure(&store, record, 3, "ledger", false);
    let mut machines: Vec<Machine> = zones
        .iter()
        .enumerate()
        .map(|(place, zone)| Machine::new(&format!("front-{place}"), zone, &store.listen(), folder))
        .collect();
    let seeds: Vec<String> = machines.iter().map(Machine::control).collect();
    for machine in &mut machines {
        machine.start(&seeds, true)?;
    }
    let is_up = wait_for(Duration::from_secs(15), || {
        machines.iter().all(Machine::is_ready)
    });
    if !is_up {
        return Err(io::Error::other("the machines did not get ready"));
    }
    thread::sleep(Duration::from_secs(1));
    let mut requests = Requests { record, sent: 0 };
    for machine in &machines {
        let (served, of) = requests.ask(machine, "/ledger/", "ledger", ASKED);
        record.line(&format!(
            "before: {} served {served} of {of} on /ledger/",
            machine.name
        ));
        let (served, of) = requests.ask(machine, "/search/", "", SEARCHED);
        record.line(&format!(
            "before: {} served {served} of {of} on /search/",
            machine.name
        ));
    }
    let began = Instant::now();
    let mut ids = fixed.len() + 2 * SHARDS;
    if trouble {
        ids += release(&store, &mut shards, began, record);
    } else {
        thread::sleep(RELEASES);
    }
    record.line(&format!(
        "{ids} leafs have registered in all; the store is at revision {}",
        store.revision()
    ));
    // The last leafs that drain leave, and all is calm for `StableWindowMs`.
    thread::sleep(Duration::from_secs(1));
    for machine in &machines {
        let (served, of) = requests.ask(machine, "/search/", "", SEARCHED);
        record.line(&format!(
            "calm: {} served {served} of {of} on /search/",
            machine.name
        ));
    }
    configure(&store, record, 8, "portal", true);
    thread::sleep(APPLY);
    let mut broken = 0;
    for machine in &machines {
        let (served, of) = requests.ask(machine, "/ledger/", "portal", ASKED);
        record.line(&format!(
            "after: {} served {served} of {of} on /ledger/ as version 8 says",
            machine.name
        ));
        broken += of - served;
        let (served, of) = requests.ask(machine, "/added/", "portal", ASKED);
        record.line(&format!(
            "after: {} served {served} of {of} on /added/ as version 8 says",
            machine.name
        ));
        broken += of - served;
        for line in machine.log_lines("Refused a batch").iter().rev().take(1) {
            record.line(&format!("log of {}: {line}", machine.name));
        }
    }
    let ended = machines
        .iter_mut()
        .filter_map(|machine| machine.has_ended().then_some(()))
        .count();
    record.line(&format!("{ended} processes ended by themselves"));
    record.line(&format!(
        "CONFIG: {broken} requests were handled as only an older version allows"
    ));
    Ok(broken == 0 && ended == 0)
}

fn start_shard(shard: usize, zone: &str, record: &Arc<Record>) -> Leaf {
    Leaf::start(
        &format!("shard{shard}"),
        zone,
        Work::Records(6),
        Times::steady(3),
        record,
    )
}

/// Replaces one leaf of each shard each [`GAP`]: the new one starts first, then the old one drains.
/// Returns the number of leafs that were started.
fn release(store: &Store, shards: &mut [Vec<Leaf>], began: Instant, record: &Arc<Record>) -> usize {
    let mut draining: Vec<(Instant, Leaf)> = Vec::new();
    let mut started = 0;
    let step = GAP / u32::try_from(SHARDS).unwrap_or(1);
    let mut round = 0;
    while began.elapsed() < RELEASES {
        for leafs in shards.iter_mut().enumerate() {
            let (shard, leafs) = leafs;
            let old = leafs.remove(0);
            let new = start_shard(shard, &old.zone, record);
            new.register(store, "ready");
            leafs.push(new);
            old.register(store, "draining");
            draining.push((Instant::now(), old));
            started += 1;
            while draining.first().is_some_and(|(at, _)| at.elapsed() > DRAIN) {
                draining.remove(0).1.end(store);
            }
            let due = began + GAP * round + step * u32::try_from(shard + 1).unwrap_or(0);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        round += 1;
        if round % 10 == 0 {
            record.line(&format!("{started} leafs were replaced"));
        }
    }
    thread::sleep(DRAIN);
    for (_, leaf) in draining {
        leaf.end(store);
    }
    started
}

fn configure(store: &Store, record: &Record, version: u64, service: &str, added: bool) {
    let names: Vec<String> = (0..SHARDS)
        .map(|shard| format!("\"shard{shard}\""))
        .collect();
    let route = |name: &str, prefix: &str, target: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"{HOST}\",\"Prefix\":\"{prefix}\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\"Priority\":2,\
             \"MaxAttempts\":2,{target}}}"
        )
    };
    let mut routes = vec![
        route(
            "r-ledger",
            "/ledger/",
            &format!("\"Service\":\"{service}\""),
        ),
        route(
            "r-search",
            "/search/",
            &format!(
                "\"Shards\":[{}],\"TopK\":20,\"MinPartShare\":0.89",
                names.join(",")
            ),
        ),
    ];
    if added {
        routes.push(route("r-added", "/added/", "\"Service\":\"portal\""));
    }
    let plain =
        ["ledger", "portal", "quiet0", "quiet1", "quiet2"].map(|name| (name.to_owned(), 100));
    let shards = (0..SHARDS).map(|shard| (format!("shard{shard}"), 26));
    let services: Vec<String> = plain
        .into_iter()
        .chain(shards)
        .map(|(name, connections)| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":{connections},\
                 \"Protocol\":\"h1\",\"Tls\":false}}"
            )
        })
        .collect();
    let config = format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    let revision = store.put("op/config", &config);
    record.line(&format!(
        "version {version} acknowledged at revision {revision}: /ledger/ to {service}"
    ));
}

struct Requests<'a> {
    record: &'a Record,
    sent: u64,
}

impl Requests<'_> {
    /// Sends some requests to a machine; returns how many were run by a service (any, if it is empty), and
    /// how many were sent.
    fn ask(
        &mut self,
        machine: &Machine,
        path: &str,
        service: &str,
        count: usize,
    ) -> (usize, usize) {
        let mut served = 0;
        for _ in 0..count {
            self.sent += 1;
            let attempt = format!("{:016x}", self.sent * 0x0101_0101);
            let headers = [
                ("Host", HOST.to_owned()),
                ("Attempt-Id", attempt.clone()),
                ("Deadline-Ms", "1200".to_owned()),
            ];
            let target = format!("{path}{:x}", self.sent);
            let limit = Duration::from_secs(5);
            let answer = http::call(&machine.front, "GET", &target, &headers, b"", limit);
            let status = answer.as_ref().map_or(0, http::Message::status);
            let runs = self.record.runs(&attempt);
            let by: Vec<&str> = runs
                .iter()
                .map(|(service, _)| service.as_str())
                .take(2)
                .collect();
            let is_right =
                status == 200 && (service.is_empty() || by.iter().all(|by| *by == service));
            served += usize::from(is_right);
            if !is_right {
                let text = format!(
                    "{} {target} {attempt}: status {status}, run by {by:?}",
                    machine.name
                );
                self.record.line(&text);
            }
        }
        (served, count)
    }
}
