//! Backend servers that are slow, hang, drop connections or send wrong replies.

use cassialift_core::{request::RequestKind, time::Millis};
use cassialift_testkit::{
    load::{LoadSettings, Traffic},
    standin::backend::{Fault, Faults, RunEvent, RunStep},
};
use cassialift_wire::backend::HealthState;
use yare::parameterized;

use super::support::{
    assert_invariants, finish, load, run_for, set_all_faults, set_faults, start, wait_all_covered,
    wait_covered, wait_covered_times,
};

#[parameterized(
    slow = { Faults { slowdown: 50.0, ..Faults::default() } },
    hanging = { Faults { hang: true, ..Faults::default() } },
    lying = { Faults { health: Some(HealthState::Unhealthy), ..Faults::default() } },
    slow_to_connect = { Faults { connect: Some(Millis::new(300)), ..Faults::default() } },
    dropping_before = { half_faulty(Fault::DropBefore) },
    dropping_after = { half_faulty(Fault::DropAfter) },
    crossing = { half_faulty(Fault::Crossed) },
    of_another_version = { half_faulty(Fault::WrongVersion) },
    garbled = { half_faulty(Fault::Garbage) },
    oversized = { half_faulty(Fault::Oversized) },
)]
#[test_macro(tokio::test)]
async fn test_straggler(faults: Faults) {
    let fleet = start().await;
    let traffic = load(&fleet);
    run_for(300).await;
    set_faults(&fleet, 0, faults).await;
    run_for(1_500).await;
    set_faults(&fleet, 0, Faults::default()).await;
    wait_all_covered(&fleet).await;
    finish(&fleet, traffic).await;
}

#[parameterized(
    dropping_before = { Fault::DropBefore },
    dropping_after = { Fault::DropAfter },
    crossing = { Fault::Crossed },
    of_another_version = { Fault::WrongVersion },
    garbled = { Fault::Garbage },
)]
#[test_macro(tokio::test)]
async fn test_straggler_jobs(fault: Fault) {
    let fleet = start().await;
    wait_covered(&fleet, 0).await;
    set_all_faults(&fleet, half_faulty(fault)).await;
    let jobs = LoadSettings {
        job_share: 1.0,
        ..LoadSettings::default()
    };
    let traffic = Traffic::start(&fleet, &jobs);
    run_for(1_500).await;
    set_all_faults(&fleet, Faults::default()).await;
    run_for(300).await;
    traffic.stop().await.unwrap();
    let history = fleet.history().unwrap();
    let is_job_start =
        |run: &&RunEvent| run.kind == RequestKind::Job && run.step == RunStep::Started;
    assert!(history.runs.iter().filter(is_job_start).count() > 10);
    assert_invariants(&fleet).await;
}

/// The number of consecutive answers that must cover every shard while a replica fails.
const COVERED_ANSWERS: u32 = 10;

#[parameterized(
    hanging = { Faults { hang: true, ..Faults::default() }, 0 },
    hanging_later = { Faults { hang: true, ..Faults::default() }, 500 },
    full = { Faults { full: true, ..Faults::default() }, 0 },
    full_later = { Faults { full: true, ..Faults::default() }, 500 },
)]
#[test_macro(tokio::test)]
async fn test_straggler_is_avoided(faults: Faults, healthy_millis: u64) {
    let fleet = start().await;
    let earlier_traffic = (healthy_millis > 0).then(|| load(&fleet));
    run_for(healthy_millis).await;
    set_faults(&fleet, 0, faults).await;
    let traffic = earlier_traffic.unwrap_or_else(|| load(&fleet));
    for vm in 0..3 {
        wait_covered_times(&fleet, vm, COVERED_ANSWERS).await;
    }
    finish(&fleet, traffic).await;
}

/// Returns faults in which half of the requests meet `fault`.
fn half_faulty(fault: Fault) -> Faults {
    Faults {
        fault: Some(fault),
        share: 0.5,
        ..Faults::default()
    }
}
