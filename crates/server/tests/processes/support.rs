//! Fleets, load, faults and checks for the tests on processes.

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

/// Starts a fleet whose backend servers all run in one process.
pub(crate) async fn start_with(settings: FleetSettings) -> Fleet {
    let settings = FleetSettings {
        backend_processes: 1,
        ..settings
    };
    Fleet::start(settings).await.unwrap()
}

/// Starts a load of requests of all kinds.
pub(crate) fn load(fleet: &Fleet) -> Traffic {
    Traffic::start(fleet, &LoadSettings::default())
}

/// Sleeps for `millis` milliseconds while the load runs against the state that the test has set up.
pub(crate) async fn run_for(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Asserts that the history so far violates no invariant and that no backend server refused a
/// connection because of its connection limit.
pub(crate) async fn assert_invariants(fleet: &Fleet) {
    let violations = fleet.history().unwrap().check();
    let text: String = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{text}");
    for (server, stats) in fleet.backend_stats().await.unwrap() {
        assert_eq!(stats.refused_connections, 0, "{server}: {stats:?}");
    }
}

/// Stops the load, then calls [`assert_invariants`].
pub(crate) async fn finish(fleet: &Fleet, traffic: Traffic) {
    traffic.stop().await.unwrap();
    assert_invariants(fleet).await;
}

/// Searches at each VM in turn until it gives an answer that covers every shard.
pub(crate) async fn wait_all_covered(fleet: &Fleet) {
    for vm in 0..fleet.vm_addresses().len() {
        wait_covered(fleet, vm).await;
    }
}

/// Searches at each VM in turn until it answers under the given preset.
pub(crate) async fn wait_all_preset(fleet: &Fleet, preset: &str) {
    for vm in 0..fleet.vm_addresses().len() {
        wait_preset(fleet, vm, preset).await;
    }
}

/// Searches at one VM until an answer covers every shard.
pub(crate) async fn wait_covered(fleet: &Fleet, vm: usize) {
    wait_covered_times(fleet, vm, 1).await;
}

/// Searches at one VM until `count` consecutive answers cover every shard.
///
/// # Panics
/// Panics if this takes too long; the message has the last call that was not answered in full.
pub(crate) async fn wait_covered_times(fleet: &Fleet, vm: usize, count: u32) {
    let mut caller = fleet.caller(&format!("watcher-{vm}")).unwrap();
    let mut last_failure = None;
    let covered = async || {
        caller.pin_address(fleet.vm_address(vm));
        for _ in 0..count {
            let end = caller.search(RequestKind::WideSearch, None).await;
            if !is_covered(&end) {
                last_failure = Some(end);
                return false;
            }
        }
        true
    };
    let result = fleet.wait_for("full coverage", covered).await;
    if let Err(error) = result {
        let last_failure = last_failure.map(without_rows);
        panic!("VM {vm}: {error}; the last call without full coverage ended with {last_failure:?}");
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

/// Searches at one VM until it answers under the given preset.
pub(crate) async fn wait_preset(fleet: &Fleet, vm: usize, preset: &str) {
    let mut caller = fleet.caller(&format!("preset-{vm}")).unwrap();
    let is_active = async || {
        caller.pin_address(fleet.vm_address(vm));
        let end = caller.search(RequestKind::Fetch, Some(vec![0])).await;
        matches!(end, CallEnd::Answer(answer) if &*answer.preset == preset)
    };
    fleet.wait_for(preset, is_active).await.unwrap();
}

/// Sets the same partition on the links to every VM; [`Partition::None`] ends it.
pub(crate) fn partition_all(fleet: &Fleet, partition: Partition) {
    for vm in 0..fleet.vm_addresses().len() {
        fleet.set_partition(vm, partition);
    }
}

/// Sets the same faults on all backend servers.
pub(crate) async fn set_all_faults(fleet: &Fleet, faults: Faults) {
    let change = BackendChange {
        faults: Some(faults),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
}

/// Sets the faults of one backend server of the search service; `server` counts from zero.
pub(crate) async fn set_faults(fleet: &Fleet, server: usize, faults: Faults) {
    let change = BackendChange {
        server: Some(format!("{SEARCH_SERVICE}-{server}").into()),
        faults: Some(faults),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
}
