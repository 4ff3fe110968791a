//! Rolling replacement of a whole fleet: nothing is lost, refused or doubled.

use std::collections::HashMap;

use cassialift_core::{
    presets::{KindPolicy, Preset},
    request::RequestKind,
    time::Millis,
};
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, Signal},
    history::{Call, CallEnd, CallRecord, History},
    load::{LoadSettings, Traffic},
    standin::backend::{RunStep, ServiceTime},
};

use super::{
    job_support::is_done,
    support::{assert_whole, start_with, wait_covered},
};

/// The VMs of each data centre.
const CENTRES: [usize; 4] = [2, 2, 2, 2];
/// The slots of each backend server.
const SLOTS: u32 = 4;

fn settings() -> FleetSettings {
    let kind = KindPolicy {
        deadline: Millis::new(10_000),
        ..KindPolicy::default()
    };
    FleetSettings {
        vms: CENTRES.to_vec(),
        servers: 8,
        slots: SLOTS,
        job_time: ServiceTime {
            median: 50_000,
            sigma: 0.5,
        },
        preset: Preset {
            kinds: RequestKind::ALL.map(|one| (one, kind.clone())).into(),
            address_ttl: Millis::new(300),
            ticket_ttl: Millis::new(60_000),
            ..Preset::default()
        },
        ..FleetSettings::default()
    }
}

/// Stops a VM gracefully and starts its successor once it has ended.
async fn replace(fleet: &mut Fleet, vm: usize) {
    fleet.signal(vm, Signal::Terminate).unwrap();
    fleet.wait_exit(vm).await.unwrap();
    let status = fleet.exit_status(vm).unwrap();
    assert!(
        status.is_some_and(|status| status.success()),
        "{vm}: {status:?}"
    );
    fleet.start_vm(vm).unwrap();
    fleet.wait_vm(vm).await.unwrap();
    fleet.wait_slots_owned().await.unwrap();
    wait_covered(fleet, vm).await;
}

/// Returns whether a call got all that it asked for.
fn is_whole(record: &CallRecord) -> bool {
    match &record.end {
        CallEnd::Answer(answer) => answer.coverage.missing.is_empty(),
        end => is_done(end),
    }
}

/// Returns how often each job that was submitted began to run, by its body.
fn runs_of_jobs(history: &History) -> HashMap<&str, usize> {
    let bodies = history
        .calls
        .iter()
        .filter_map(|record| match &record.call {
            Call::Job(request) => Some((request.body.as_str(), 0)),
            Call::Search(_) | Call::Outcome(_) => None,
        });
    let mut jobs: HashMap<_, _> = bodies.collect();
    for run in &history.runs {
        if run.kind == RequestKind::Job && run.step == RunStep::Started {
            *jobs.entry(run.body.as_str()).or_default() += 1;
        }
    }
    jobs
}

#[tokio::test]
async fn test_rolling_replacement_of_eight_vms_under_searches_and_jobs() {
    let mut fleet = start_with(settings()).await;
    let vms = CENTRES.iter().sum();
    fleet.wait_slots_owned().await.unwrap();
    for vm in 0..vms {
        wait_covered(&fleet, vm).await;
    }
    let before = fleet.history().unwrap().calls.len();
    let load = LoadSettings {
        job_share: 0.3,
        ..LoadSettings::default()
    };
    let traffic = Traffic::start(&fleet, &load);
    for vm in 0..vms {
        replace(&mut fleet, vm).await;
    }
    traffic.stop().await.unwrap();
    for vm in 0..vms {
        wait_covered(&fleet, vm).await;
    }
    assert_whole(&fleet).await;
    let history = fleet.history().unwrap();
    let is_traffic = |record: &&CallRecord| !is_watcher(&record.call);
    let calls = history.calls[before..].iter().filter(is_traffic);
    let lost: Vec<_> = calls.filter(|record| !is_whole(record)).collect();
    assert!(lost.is_empty(), "{} calls: {lost:#?}", lost.len());
    let jobs = runs_of_jobs(&history);
    let wrong: Vec<_> = jobs.iter().filter(|(_, runs)| **runs != 1).collect();
    assert!(!jobs.is_empty() && wrong.is_empty(), "{wrong:?}");
}

/// Returns whether a call is one by which the test itself waits for coverage.
fn is_watcher(call: &Call) -> bool {
    matches!(call, Call::Search(request) if request.caller.starts_with("watcher"))
}
