//! Guards the choice of owner routing over entries that send directly to the backend servers.
//!
//! Time is simulated and seeds are fixed, so that the results are the same in every run.

use std::time::Duration;

use cassialift_testkit::policy_bench::{
    Deployment, Fault, Record, RoutingMode, RunSettings, Schedule, Strategy, Window, run,
};
use yare::parameterized;

/// The duration of each run.
const SECONDS: u64 = 3;

fn run_as(routing: RoutingMode, deployment: Deployment, load: f64, faults: Schedule) -> Record {
    let record = run(RunSettings {
        deployment: deployment.keep_first_service(),
        strategy: Strategy::Policy,
        routing,
        seed: 5,
        load,
        duration: Duration::from_secs(SECONDS),
        faults,
    });
    assert!(record.offered_requests > 100, "{routing:?}");
    assert_eq!(record.violations(), 0, "{routing:?}");
    record
}

fn refusals(record: &Record) -> u64 {
    Window::secs(0, SECONDS + 1).sum(&record.busy_refusals)
}

#[parameterized(
    adebayo_half = { Deployment::adebayo(), 0.5 },
    adebayo_overload = { Deployment::adebayo(), 1.2 },
    riddim_half = { Deployment::riddim(), 0.5 },
    riddim_overload = { Deployment::riddim(), 1.2 },
)]
fn test_owner_routing_has_fewer_refusals_than_adaptive(deployment: Deployment, load: f64) {
    let owner = run_as(RoutingMode::Owner, deployment.clone(), load, Vec::new());
    let adaptive = run_as(RoutingMode::DirectAdaptive, deployment, load, Vec::new());
    assert!(refusals(&owner) < refusals(&adaptive));
    assert_eq!(refusals(&owner), 0);
}

#[test]
fn test_static_share_never_exceeds_slots() {
    let deployment = Deployment::adebayo();
    let record = run_as(RoutingMode::DirectStatic, deployment, 1.2, Vec::new());
    assert_eq!(refusals(&record), 0);
    // The 80 slots are divided among 8 entries: each reaches 10 of the 20 shards, with one
    // connection per slot.
    assert!(record.coverage(Window::secs(0, SECONDS)) <= 0.5);
    assert_eq!(Window::secs(0, SECONDS).sum(&record.opened_connections), 80);
}

#[parameterized(
    owner = { RoutingMode::Owner },
    direct_static = { RoutingMode::DirectStatic },
    direct_adaptive = { RoutingMode::DirectAdaptive },
)]
fn test_replacement_keeps_invariants(routing: RoutingMode) {
    for removal in [Fault::Leave(2), Fault::Kill(2)] {
        let faults = vec![
            (Duration::from_millis(500), removal),
            (Duration::from_secs(2), Fault::Join(2)),
        ];
        let record = run_as(routing, Deployment::riddim(), 0.5, faults);
        let opened = Window::secs(2, 3).sum(&record.opened_connections);
        assert!(opened > 0, "{removal:?}");
    }
}
