//! Set-up and verdict of process tests.

use std::time::Duration;

use cassialift_core::request::RequestKind;
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, Partition, SEARCH_SERVICE},
    history::CallEnd,
    load::{LoadSettings, Traffic},
    standin::backend::{BackendChange, Faults},
};

/// Starts a fleet of three VMs in two data centres.
pub(crate) async fn start() -> Fleet {
    start_with(FleetSettings::default()).await
}

/// Starts a fleet whose backend servers live in one process.
pub(crate) async fn start_with(settings: FleetSettings) -> Fleet {
    let settings = FleetSettings {
        backend_processes: 1,
        ..settings
    };
    Fleet::start(settings).await.unwrap()
}

/// Starts load of all kinds of request.
pub(crate) fn load(fleet: &Fleet) -> Traffic {
    Traffic::start(fleet, &LoadSettings::default())
}

/// Lets load run for a while with what the test has done.
pub(crate) async fn run_for(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Asserts that the history so far breaks no rule and no backend server closed a connection for
/// its limit.
pub(crate) async fn assert_whole(fleet: &Fleet) {
    let violations = fleet.history().unwrap().check();
    let text: String = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{text}");
    for (server, stats) in fleet.backend_stats().await.unwrap() {
        assert_eq!(stats.refused_connections, 0, "{server}: {stats:?}");
    }
}

/// Ends the load and asserts what [`assert_whole`] does.
pub(crate) async fn finish(fleet: &Fleet, traffic: Traffic) {
    traffic.stop().await.unwrap();
    assert_whole(fleet).await;
}

/// Searches at each VM in turn until an answer covers every shard.
pub(crate) async fn wait_all_covered(fleet: &Fleet) {
    for vm in 0..fleet.vm_addresses().len() {
        wait_covered(fleet, vm).await;
    }
}

/// Searches at each VM in turn until an answer runs under a preset.
pub(crate) async fn wait_all_preset(fleet: &Fleet, preset: &str) {
    for vm in 0..fleet.vm_addresses().len() {
        wait_preset(fleet, vm, preset).await;
    }
}

/// Searches at one VM until an answer covers every shard.
pub(crate) async fn wait_covered(fleet: &Fleet, vm: usize) {
    wait_covered_row(fleet, vm, 1).await;
}

/// Searches at one VM until so many answers in a row cover every shard; else panics with the last
/// end that did not.
pub(crate) async fn wait_covered_row(fleet: &Fleet, vm: usize, row: u32) {
    let mut caller = fleet.caller(&format!("watcher-{vm}")).unwrap();
    let mut last = None;
    let covered = async || {
        caller.pin_address(fleet.vm_address(vm));
        for _ in 0..row {
            let end = caller.search(RequestKind::WideSearch, None).await;
            if !is_covered(&end) {
                last = Some(end);
                return false;
            }
        }
        true
    };
    let waited = fleet.wait_for("full coverage", covered).await;
    if let Err(error) = waited {
        let last = last.map(without_rows);
        panic!("VM {vm}: {error}; the last end was {last:?}");
    }
}

fn is_covered(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
}

fn without_rows(mut end: CallEnd) -> CallEnd {
    if let CallEnd::Answer(answer) = &mut end {
        answer.rows.clear();
    }
    end
}

/// Searches at one VM until an answer runs under a preset.
pub(crate) async fn wait_preset(fleet: &Fleet, vm: usize, preset: &str) {
    let mut caller = fleet.caller(&format!("preset-{vm}")).unwrap();
    let in_force = async || {
        caller.pin_address(fleet.vm_address(vm));
        let end = caller.search(RequestKind::Fetch, Some(vec![0])).await;
        matches!(end, CallEnd::Answer(answer) if &*answer.preset == preset)
    };
    fleet.wait_for(preset, in_force).await.unwrap();
}

/// Cuts, or joins, the links to every VM.
pub(crate) fn cut_all(fleet: &Fleet, cut: Partition) {
    for vm in 0..fleet.vm_addresses().len() {
        fleet.set_partition(vm, cut);
    }
}

/// Sets the faults of all backend servers.
pub(crate) async fn set_all_faults(fleet: &Fleet, faults: Faults) {
    let change = BackendChange {
        faults: Some(faults),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
}

/// Sets the faults of one backend server of the search service.
pub(crate) async fn set_faults(fleet: &Fleet, server: usize, faults: Faults) {
    let change = BackendChange {
        server: Some(format!("{SEARCH_SERVICE}-{server}").into()),
        faults: Some(faults),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
}
