//! Fleets, submissions and checks of run counts for tests with jobs.

use std::collections::BTreeMap;

use cassialift_core::{
    presets::{KindPolicy, Preset},
    request::{ExecutionStatus, RequestKind},
    time::Millis,
};
use cassialift_testkit::{
    harness::{Caller, Fleet, FleetSettings},
    history::CallEnd,
    standin::backend::{RunEvent, RunStep, ServiceTime},
};
use cassialift_wire::caller::JobState;
use tokio::task::JoinHandle;

use super::support::start_with;

/// The longest deadline of jobs, in milliseconds.
const MAX_JOB_DEADLINE_MS: u64 = 20_000;

/// Starts a fleet whose jobs run for `job_millis` milliseconds each.
pub(crate) async fn start_with_jobs(job_millis: u64, preset: Preset) -> Fleet {
    let job_time = ServiceTime {
        median: job_millis * 1_000,
        sigma: 0.0,
    };
    start_with(FleetSettings {
        job_time,
        preset,
        ..FleetSettings::default()
    })
    .await
}

/// Waits until one VM issues a ticket and returns it.
pub(crate) async fn ticket_from(fleet: &Fleet, caller: &mut Caller, vm: usize) -> String {
    let mut ticket = None;
    let issued = async || {
        caller.pin_address(fleet.vm_address(vm));
        ticket = caller.ticket().await;
        ticket.is_some()
    };
    fleet.wait_for("a ticket", issued).await.unwrap();
    ticket.unwrap()
}

/// Submits a job at one VM in a background task.
pub(crate) fn submit(fleet: &Fleet, vm: usize, ticket: &str, body: &str) -> JoinHandle<CallEnd> {
    let mut caller = fleet.caller("press").unwrap();
    let address = fleet.vm_address(vm);
    let (ticket, body) = (ticket.to_owned(), body.to_owned());
    tokio::spawn(async move { caller.submit_at(address, &ticket, &body).await })
}

/// Waits until backend servers have started at least `count` runs of a body.
pub(crate) async fn wait_started(fleet: &Fleet, body: &str, count: usize) {
    let has_started = async || start_count(fleet, body) >= count;
    fleet
        .wait_for("a run of the job", has_started)
        .await
        .unwrap();
}

/// Returns how many runs of a body the backend servers have started.
pub(crate) fn start_count(fleet: &Fleet, body: &str) -> usize {
    let runs = fleet.history().unwrap().runs;
    let is_run_start = |run: &&_| is_start(run, body);
    runs.iter().filter(is_run_start).count()
}

fn is_start(run: &RunEvent, body: &str) -> bool {
    run.step == RunStep::Started && run.body == body
}

/// Returns whether the end of a call states that the job was not run.
pub(crate) fn claims_not_run(end: &CallEnd) -> bool {
    match end {
        CallEnd::Refused(refusal) => refusal.ran == ExecutionStatus::NotRun,
        CallEnd::Job(answer) => matches!(answer.state, JobState::NotRun(_)),
        CallEnd::NoConnection => true,
        CallEnd::Answer(_) | CallEnd::Broken(_) | CallEnd::Unreadable(_) => false,
    }
}

/// Returns whether the end of a call is the outcome of a job that was run.
pub(crate) fn is_done(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Job(answer) if matches!(answer.state, JobState::Done(_)))
}

/// Returns a preset with the given time to live of tickets, in milliseconds, and the same deadline
/// of jobs up to [`MAX_JOB_DEADLINE_MS`].
pub(crate) fn preset_with_ticket_ttl(ttl_millis: u64) -> Preset {
    let policy = KindPolicy {
        deadline: Millis::new(ttl_millis.min(MAX_JOB_DEADLINE_MS)),
        ..KindPolicy::default()
    };
    Preset {
        kinds: BTreeMap::from([(RequestKind::Job, policy)]),
        ticket_ttl: Millis::new(ttl_millis),
        ..Preset::default()
    }
}
