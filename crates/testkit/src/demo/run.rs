//! The steps of the demonstration.

use std::time::Duration;

use cassialift_core::request::RequestKind;
use cassialift_wire::caller::JobState;
use displaydoc::Display;

use super::BuildError;
use crate::{
    harness::{Caller, Fleet, FleetSettings, HarnessError, Signal},
    history::CallEnd,
    load::{LoadSettings, Report, Traffic},
};

/// How long load runs before the VM is killed.
const KILL_AFTER: Duration = Duration::from_secs(2);
/// How long load continues after the VM serves again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// How long the VM stays down.
const DOWNTIME: Duration = Duration::from_secs(2);

/// An error that stops the demonstration.
#[derive(Debug, Display)]
pub enum DemoError {
    /// {0}
    Build(BuildError),
    /// {0}
    Harness(HarnessError),
    /// no ticket was received
    NoTicket,
    /// a job ended without an outcome: {0}
    Job(String),
}

impl std::error::Error for DemoError {}

impl From<BuildError> for DemoError {
    fn from(error: BuildError) -> Self {
        Self::Build(error)
    }
}

impl From<HarnessError> for DemoError {
    fn from(error: HarnessError) -> Self {
        Self::Harness(error)
    }
}

/// Runs the demonstration and passes a description of each step to `print`.
///
/// # Errors
/// Returns an error if a step fails.
pub async fn run(mut print: impl FnMut(String)) -> Result<Report, DemoError> {
    let settings = FleetSettings {
        vms: vec![2, 2],
        servers: 8,
        shards: 20,
        ..FleetSettings::default()
    };
    print(String::from(
        "Starting the stand-ins and four VMs in two data centres.",
    ));
    let mut fleet = Fleet::start(settings).await?;
    let mut caller = fleet.caller("counter")?;
    search(&fleet, &mut caller, &mut print).await?;
    submit_twice(&mut caller, &mut print).await?;
    print(String::from(
        "Load from eight callers; a VM is killed in the middle and started again.",
    ));
    let traffic = Traffic::start(&fleet, &LoadSettings::default());
    tokio::time::sleep(KILL_AFTER).await;
    fleet.signal(0, Signal::Kill)?;
    tokio::time::sleep(DOWNTIME).await;
    fleet.start_vm(0)?;
    fleet.wait_vm(0).await?;
    tokio::time::sleep(RECOVERY_TIME).await;
    let latencies = traffic.stop().await?;
    Ok(Report::new(&fleet.history()?, &latencies))
}

/// Sends searches of each kind and prints which shards their answers include.
async fn search(
    fleet: &Fleet,
    caller: &mut Caller,
    print: &mut impl FnMut(String),
) -> Result<(), DemoError> {
    let is_complete = async || {
        let end = caller.search(RequestKind::WideSearch, None).await;
        matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
    };
    fleet
        .wait_for("an answer with every shard", is_complete)
        .await?;
    print(String::from(
        "A wide search was answered with all its shards.",
    ));
    for (kind, shards) in [
        (RequestKind::NarrowSearch, vec![3, 4, 5]),
        (RequestKind::Fetch, vec![7]),
    ] {
        if let CallEnd::Answer(answer) = caller.search(kind, Some(shards)).await {
            let included = answer.coverage.included;
            print(format!(
                "A {kind:?} was answered with the shards {included:?}."
            ));
        }
    }
    Ok(())
}

async fn submit_twice(
    caller: &mut Caller,
    print: &mut impl FnMut(String),
) -> Result<(), DemoError> {
    let Some(ticket) = caller.ticket().await else {
        return Err(DemoError::NoTicket);
    };
    let body = caller.next_body();
    for submission in ["first", "second"] {
        let end = caller.submit(&ticket, &body).await;
        let CallEnd::Job(answer) = &end else {
            return Err(DemoError::Job(format!("{end:?}")));
        };
        let JobState::Done(rows) = &answer.state else {
            return Err(DemoError::Job(format!("{end:?}")));
        };
        print(format!(
            "The {submission} submission of a job gave {} row.",
            rows.len()
        ));
    }
    Ok(())
}
