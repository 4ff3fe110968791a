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

/// When the VM is killed.
const KILL_AFTER: Duration = Duration::from_secs(2);
/// How long load goes on after the VM is back.
const RECOVERY: Duration = Duration::from_secs(2);
/// How long it stays away.
const KILL_DURATION: Duration = Duration::from_secs(2);

/// Why the demonstration could not run.
#[derive(Debug, Display)]
pub enum DemoError {
    /// {0}
    Build(BuildError),
    /// {0}
    Harness(HarnessError),
    /// no VM gave a ticket
    NoTicket,
    /// a job came to this end in place of its outcome: {0}
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

/// Runs the demonstration; `say` is told each step.
///
/// # Errors
/// Returns why it could not run to its end.
pub async fn run(mut say: impl FnMut(String)) -> Result<Report, DemoError> {
    let settings = FleetSettings {
        vms: vec![2, 2],
        servers: 8,
        shards: 20,
        ..FleetSettings::default()
    };
    say(String::from(
        "Starting the stand-ins and four VMs in two data centres.",
    ));
    let mut fleet = Fleet::start(settings).await?;
    let mut caller = fleet.caller("counter")?;
    search(&fleet, &mut caller, &mut say).await?;
    submit_twice(&mut caller, &mut say).await?;
    say(String::from(
        "Load from eight callers; a VM is killed in the middle and started again.",
    ));
    let traffic = Traffic::start(&fleet, &LoadSettings::default());
    tokio::time::sleep(KILL_AFTER).await;
    fleet.signal(0, Signal::Kill)?;
    tokio::time::sleep(KILL_DURATION).await;
    fleet.start_vm(0)?;
    fleet.wait_vm(0).await?;
    tokio::time::sleep(RECOVERY).await;
    let latencies = traffic.stop().await?;
    Ok(Report::new(&fleet.history()?, &latencies))
}

async fn search(
    fleet: &Fleet,
    caller: &mut Caller,
    say: &mut impl FnMut(String),
) -> Result<(), DemoError> {
    let covered = async || {
        let end = caller.search(RequestKind::WideSearch, None).await;
        matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
    };
    fleet
        .wait_for("an answer with every shard", covered)
        .await?;
    say(String::from(
        "A wide search was answered with all its shards.",
    ));
    for (kind, shards) in [
        (RequestKind::NarrowSearch, vec![3, 4, 5]),
        (RequestKind::Fetch, vec![7]),
    ] {
        if let CallEnd::Answer(answer) = caller.search(kind, Some(shards)).await {
            let included = answer.coverage.included;
            say(format!(
                "A {kind:?} was answered with the shards {included:?}."
            ));
        }
    }
    Ok(())
}

async fn submit_twice(caller: &mut Caller, say: &mut impl FnMut(String)) -> Result<(), DemoError> {
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
        say(format!(
            "The {submission} submission of a job gave {} row.",
            rows.len()
        ));
    }
    Ok(())
}
