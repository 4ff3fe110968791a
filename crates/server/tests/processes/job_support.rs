//! Set-up and verdict of tests with jobs.

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

/// The deadline of jobs, milliseconds.
const JOB_DEADLINE_MS: u64 = 20_000;

/// Starts a fleet whose jobs take `millis`.
pub(crate) async fn start_with_jobs(millis: u64, preset: Preset) -> Fleet {
    let job_time = ServiceTime {
        median: millis * 1_000,
        sigma: 0.0,
    };
    start_with(FleetSettings {
        job_time,
        preset,
        ..FleetSettings::default()
    })
    .await
}

/// Gets a ticket from one VM.
pub(crate) async fn ticket_at(fleet: &Fleet, caller: &mut Caller, vm: usize) -> String {
    let mut ticket = None;
    let issued = async || {
        caller.pin_address(fleet.vm_address(vm));
        ticket = caller.ticket().await;
        ticket.is_some()
    };
    fleet.wait_for("a ticket", issued).await.unwrap();
    ticket.unwrap()
}

/// Submits a job at one VM while the test goes on.
pub(crate) fn submit(fleet: &Fleet, vm: usize, ticket: &str, body: &str) -> JoinHandle<CallEnd> {
    let mut caller = fleet.caller("press").unwrap();
    let address = fleet.vm_address(vm);
    let (ticket, body) = (ticket.to_owned(), body.to_owned());
    tokio::spawn(async move { caller.submit_at(address, &ticket, &body).await })
}

/// Waits until backend servers have begun to run `count` requests with a body.
pub(crate) async fn wait_started(fleet: &Fleet, body: &str, count: usize) {
    let begun = async || started(fleet, body) >= count;
    fleet.wait_for("a run to begin", begun).await.unwrap();
}

/// Returns how often backend servers began to run a body.
pub(crate) fn started(fleet: &Fleet, body: &str) -> usize {
    let runs = fleet.history().unwrap().runs;
    let of_body = |run: &&_| is_start(run, body);
    runs.iter().filter(of_body).count()
}

fn is_start(run: &RunEvent, body: &str) -> bool {
    run.step == RunStep::Started && run.body == body
}

/// Returns whether an end claims that the job was not run.
pub(crate) fn claims_not_run(end: &CallEnd) -> bool {
    match end {
        CallEnd::Refused(refusal) => refusal.ran == ExecutionStatus::NotRun,
        CallEnd::Job(answer) => matches!(answer.state, JobState::NotRun(_)),
        CallEnd::NoConnection => true,
        CallEnd::Answer(_) | CallEnd::Broken(_) | CallEnd::Unreadable(_) => false,
    }
}

/// Returns whether an end gives the job's outcome.
pub(crate) fn is_done(end: &CallEnd) -> bool {
    matches!(end, CallEnd::Job(answer) if matches!(answer.state, JobState::Done(_)))
}

/// Makes a preset with a ticket's time to live and as long a deadline of jobs as it allows.
pub(crate) fn tickets_of(millis: u64) -> Preset {
    let policy = KindPolicy {
        deadline: Millis::new(millis.min(JOB_DEADLINE_MS)),
        ..KindPolicy::default()
    };
    Preset {
        kinds: BTreeMap::from([(RequestKind::Job, policy)]),
        ticket_ttl: Millis::new(millis),
        ..Preset::default()
    }
}
