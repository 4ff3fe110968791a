//! Guards the choice of owner routing over entries that send to the backend servers directly.
//!
//! Time is passed in and seeds are fixed, so that the verdicts are the same every time.

use std::time::Duration;

use cassialift_testkit::policy_bench::{
    Arrangement, Deployment, Fault, Record, RunSettings, Schedule, Strategy, Window, run,
};
use yare::parameterized;

const SECONDS: u64 = 3;

fn run_as(arrangement: Arrangement, deployment: Deployment, load: f64, faults: Schedule) -> Record {
    let record = run(RunSettings {
        deployment: deployment.first_service(),
        strategy: Strategy::Policy,
        arrangement,
        seed: 5,
        load,
        duration: Duration::from_secs(SECONDS),
        faults,
    });
    assert!(record.offered > 100, "{arrangement:?}");
    assert_eq!(record.broken(), 0, "{arrangement:?}");
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
    let owner = run_as(Arrangement::Owner, deployment.clone(), load, Vec::new());
    let adaptive = run_as(Arrangement::DirectAdaptive, deployment, load, Vec::new());
    assert!(refusals(&owner) < refusals(&adaptive));
    assert_eq!(refusals(&owner), 0);
}

#[test]
fn test_static_share_never_exceeds_slots() {
    let deployment = Deployment::adebayo();
    let record = run_as(Arrangement::DirectStatic, deployment, 1.2, Vec::new());
    assert_eq!(refusals(&record), 0);
    // 80 slots dealt to 8 entries: 10 of 20 shards each, with one connection a slot.
    assert!(record.coverage(Window::secs(0, SECONDS)) <= 0.5);
    assert_eq!(Window::secs(0, SECONDS).sum(&record.opened), 80);
}

#[parameterized(
    owner = { Arrangement::Owner },
    direct_static = { Arrangement::DirectStatic },
    direct_adaptive = { Arrangement::DirectAdaptive },
)]
fn test_replacement_keeps_promises(arrangement: Arrangement) {
    for gone in [Fault::Leave(2), Fault::Kill(2)] {
        let faults = vec![
            (Duration::from_millis(500), gone),
            (Duration::from_secs(2), Fault::Join(2)),
        ];
        let record = run_as(arrangement, Deployment::riddim(), 0.5, faults);
        let opened = Window::secs(2, 3).sum(&record.opened);
        assert!(opened > 0, "{gone:?}");
    }
}
