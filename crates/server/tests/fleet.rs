//! Processes of a fleet take over from each other.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cassialift_core::{
    presets::{KindPolicy, Preset},
    request::RequestKind,
    time::Millis,
};
use cassialift_testkit::{
    client::JsonClient,
    harness::{Caller, Fleet, FleetSettings, SEARCH_SERVICE, Signal},
    history::CallEnd,
    standin::backend::ServiceTime,
};
use cassialift_wire::{
    caller::{SEARCH_PATH, SearchAnswer, SearchRequest},
    operator::{STATUS_PATH, Status},
};

const SLOTS: u32 = 4;

fn settings() -> FleetSettings {
    FleetSettings {
        vms: vec![2, 2],
        servers: 6,
        slots: SLOTS,
        preset: preset(),
        ..FleetSettings::default()
    }
}

fn preset() -> Preset {
    let kind = KindPolicy {
        deadline: Millis::new(5_000),
        ..KindPolicy::default()
    };
    Preset {
        kinds: RequestKind::ALL.map(|one| (one, kind.clone())).into(),
        address_ttl: Millis::new(500),
        ticket_ttl: Millis::new(60_000),
        ..Preset::default()
    }
}

/// Returns the status pages of the VMs named; none if one does not answer.
async fn statuses(fleet: &Fleet, vms: &[usize]) -> Option<Vec<Status>> {
    let mut pages = Vec::new();
    for vm in vms {
        let reply = fleet.get(*vm, STATUS_PATH).await.ok()?;
        pages.push(reply.parse().ok()?);
    }
    Some(pages)
}

/// Returns the slots that the VMs use of each backend server, one entry for each that uses any.
fn users(pages: &[Status]) -> BTreeMap<&str, Vec<u32>> {
    let mut users: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for server in pages.iter().flat_map(|page| &page.servers) {
        let entry = users.entry(&server.server).or_default();
        if server.slots > 0 {
            entry.push(server.slots);
        }
    }
    users
}

/// Waits until each backend server is used in full by one of the VMs named and all agree on it.
async fn wait_whole(fleet: &Fleet, vms: &[usize]) {
    let whole = async || {
        let Some(pages) = statuses(fleet, vms).await else {
            return false;
        };
        let agree = |page: &Status| {
            let names = page.servers.iter().map(|one| (&one.server, &one.owner));
            names.eq(pages[0].servers.iter().map(|one| (&one.server, &one.owner)))
        };
        let users = users(&pages);
        !users.is_empty() && users.values().all(|used| **used == [SLOTS]) && pages.iter().all(agree)
    };
    fleet
        .wait_for("one owner for each server", whole)
        .await
        .unwrap();
}

fn state_of(page: &Status, vm: &str) -> String {
    let found = page.vms.iter().find(|one| &*one.vm == vm);
    found.map(|one| one.state.clone()).unwrap_or_default()
}

/// Waits until a search at each of the VMs named covers every shard.
async fn wait_covered(fleet: &Fleet, vms: &[usize]) {
    for vm in vms {
        let mut caller = fleet.caller("counter").unwrap();
        caller.pin_address(fleet.vm_address(*vm));
        let covered = async || is_full(&caller.search(RequestKind::WideSearch, None).await);
        fleet.wait_for("full coverage", covered).await.unwrap();
    }
}

fn is_full(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
}

#[tokio::test]
async fn test_killed_vm_is_detected_and_its_servers_taken_over() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    wait_whole(&fleet, &[0, 1, 2, 3]).await;
    fleet.signal(0, Signal::Kill).unwrap();
    let rest = [1, 2, 3];
    let detected = async || {
        let pages = statuses(&fleet, &rest).await.unwrap_or_default();
        !pages.is_empty() && pages.iter().all(|page| state_of(page, "vm-0") == "dead")
    };
    fleet.wait_for("the detection", detected).await.unwrap();
    wait_whole(&fleet, &rest).await;
    wait_covered(&fleet, &rest).await;
    fleet.start_vm(0).unwrap();
    fleet.wait_vm(0).await.unwrap();
    wait_whole(&fleet, &[0, 1, 2, 3]).await;
}

#[tokio::test]
async fn test_frozen_owner_is_stood_in_for_and_distrusts_itself_when_it_wakes() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    wait_whole(&fleet, &[0, 1, 2, 3]).await;
    fleet.signal(0, Signal::Stop).unwrap();
    let rest = [1, 2, 3];
    let stood_in = async || {
        let pages = statuses(&fleet, &rest).await.unwrap_or_default();
        let users = users(&pages);
        // Longer than a pause that the frozen VM need not notice.
        let dead = pages.iter().all(|page| state_of(page, "vm-0") == "dead");
        let enough = |used: &Vec<u32>| used.iter().sum::<u32>() >= SLOTS / 2;
        dead && !users.is_empty() && users.values().all(enough)
    };
    fleet.wait_for("the standbys", stood_in).await.unwrap();
    wait_covered(&fleet, &rest).await;
    fleet.signal(0, Signal::Continue).unwrap();
    let said = async || {
        let pages = statuses(&fleet, &[0]).await.unwrap_or_default();
        let mut events = pages.iter().flat_map(|page| &page.events);
        events.any(|event| event.part == "fleet" && event.text.contains("distrusts"))
    };
    fleet
        .wait_for("the woken VM's own word", said)
        .await
        .unwrap();
    wait_whole(&fleet, &[0, 1, 2, 3]).await;
    wait_covered(&fleet, &[0, 1, 2, 3]).await;
}

/// Searches until told to stop and returns the calls that were not answered in full.
async fn load(mut caller: Caller, stop: Arc<AtomicBool>) -> Vec<CallEnd> {
    let mut failed = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let end = caller.search(RequestKind::WideSearch, None).await;
        if !is_full(&end) {
            failed.push(end);
        }
    }
    failed
}

#[tokio::test]
async fn test_rolling_replacement_under_load_loses_nothing() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    let all = [0, 1, 2, 3];
    wait_whole(&fleet, &all).await;
    wait_covered(&fleet, &all).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = ["gate", "counter", "press"]
        .map(|name| tokio::spawn(load(fleet.caller(name).unwrap(), Arc::clone(&stop))))
        .into();
    for vm in all {
        fleet.signal(vm, Signal::Terminate).unwrap();
        fleet.wait_exit(vm).await.unwrap();
        let status = fleet.exit_status(vm).unwrap();
        assert!(status.unwrap().success(), "{status:?}");
        fleet.start_vm(vm).unwrap();
        fleet.wait_vm(vm).await.unwrap();
        wait_whole(&fleet, &all).await;
    }
    stop.store(true, Ordering::Release);
    for caller in callers {
        let failed = caller.await.unwrap();
        assert!(
            failed.is_empty(),
            "{} calls: {:?}",
            failed.len(),
            failed.first()
        );
    }
    let violations = fleet.history().unwrap().check();
    let text: String = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{text}");
}

#[tokio::test]
async fn test_draining_finishes_calls_longer_than_thirty_seconds() {
    let time = ServiceTime {
        median: 34_000_000,
        sigma: 0.0,
    };
    let kind = KindPolicy {
        deadline: Millis::new(60_000),
        ..KindPolicy::default()
    };
    let mut fleet = Fleet::start(FleetSettings {
        vms: vec![2],
        search_time: time,
        preset: Preset {
            kinds: RequestKind::ALL.map(|one| (one, kind.clone())).into(),
            ..preset()
        },
        ..settings()
    })
    .await
    .unwrap();
    wait_whole(&fleet, &[0, 1]).await;
    let client = JsonClient::new(Duration::from_mins(1)).unwrap();
    let request = SearchRequest {
        id: "long".to_owned(),
        caller: "counter".into(),
        service: SEARCH_SERVICE.into(),
        kind: RequestKind::Fetch,
        shards: Some(vec![0]),
        deadline: None,
        query: "long".to_owned(),
    };
    let address = fleet.vm_address(0);
    let call = tokio::spawn(async move { client.post(address, SEARCH_PATH, &request).await });
    let running = async || {
        let stats = fleet.backend_stats().await.unwrap_or_default();
        stats.values().any(|one| one.started > 0)
    };
    fleet.wait_for("the long call", running).await.unwrap();
    for vm in [0, 1] {
        fleet.signal(vm, Signal::Terminate).unwrap();
    }
    let reply = call.await.unwrap().unwrap();
    let answer: SearchAnswer = reply.parse().unwrap();
    assert_eq!(answer.coverage.included, [0]);
    for vm in [0, 1] {
        fleet.wait_exit(vm).await.unwrap();
        let status = fleet.exit_status(vm).unwrap();
        assert!(status.unwrap().success(), "{status:?}");
    }
}
