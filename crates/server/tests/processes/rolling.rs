//! Rolling replacement of all VMs of a fleet: no call is lost or refused, and each job runs
//! exactly once.

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
    support::{assert_invariants, start_with, wait_covered},
};

/// The number of VMs of each data centre.
const VMS_PER_CENTRE: [usize; 4] = [2, 2, 2, 2];
/// The number of slots of each backend server.
const SLOTS: u32 = 4;

fn settings() -> FleetSettings {
    let kind = KindPolicy {
        deadline: Millis::new(10_000),
        ..KindPolicy::default()
    };
    FleetSettings {
        vms: VMS_PER_CENTRE.to_vec(),
        servers: 8,
        slots: SLOTS,
        job_time: ServiceTime {
            median: 50_000,
            sigma: 0.5,
        },
        preset: Preset {
            kinds: RequestKind::ALL
                .map(|request_kind| (request_kind, kind.clone()))
                .into(),
            address_ttl: Millis::new(300),
            ticket_ttl: Millis::new(60_000),
            ..Preset::default()
        },
        ..FleetSettings::default()
    }
}

/// Shuts a VM down gracefully, asserts that its process ended with success, starts a new process
/// and waits until all slots are owned and the VM covers every shard.
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

/// Returns whether a call was answered in full: a search with all shards, or the outcome of a job.
fn is_complete(record: &CallRecord) -> bool {
    match &record.end {
        CallEnd::Answer(answer) => answer.coverage.missing.is_empty(),
        end => is_done(end),
    }
}

/// Returns the number of started runs of each submitted job, by the job's body.
fn job_run_counts(history: &History) -> HashMap<&str, usize> {
    let bodies = history
        .calls
        .iter()
        .filter_map(|record| match &record.call {
            Call::Job(request) => Some((request.body.as_str(), 0)),
            Call::Search(_) | Call::Outcome(_) => None,
        });
    let mut run_counts: HashMap<_, _> = bodies.collect();
    for run in &history.runs {
        if run.kind == RequestKind::Job && run.step == RunStep::Started {
            *run_counts.entry(run.body.as_str()).or_default() += 1;
        }
    }
    run_counts
}

#[tokio::test]
async fn test_rolling_replacement_of_eight_vms_under_searches_and_jobs() {
    let mut fleet = start_with(settings()).await;
    let vms = VMS_PER_CENTRE.iter().sum();
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
    assert_invariants(&fleet).await;
    let history = fleet.history().unwrap();
    let is_traffic = |record: &&CallRecord| !is_coverage_check(&record.call);
    let calls = history.calls[before..].iter().filter(is_traffic);
    let lost: Vec<_> = calls.filter(|record| !is_complete(record)).collect();
    assert!(lost.is_empty(), "{} calls: {lost:#?}", lost.len());
    let run_counts = job_run_counts(&history);
    let wrong: Vec<_> = run_counts.iter().filter(|(_, runs)| **runs != 1).collect();
    assert!(!run_counts.is_empty() && wrong.is_empty(), "{wrong:?}");
}

/// Returns whether a call was sent by [`wait_covered`] and not by the load.
fn is_coverage_check(call: &Call) -> bool {
    matches!(call, Call::Search(request) if request.caller.starts_with("watcher"))
}
