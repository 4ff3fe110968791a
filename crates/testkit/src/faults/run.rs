//! Injects a schedule of faults into a fleet under load and checks the history.

use std::{fmt, time::Duration};

use tokio::time::Instant;

use super::{FaultAction, FaultSettings, Schedule};
use crate::{
    harness::{Fleet, FleetSettings, HarnessError},
    load::{LoadSettings, Report, Traffic},
};

/// The result of a schedule.
#[derive(Debug)]
pub struct ScheduleReport {
    /// The seed that the schedule was generated from.
    pub seed: u64,
    /// The schedule.
    pub schedule: Schedule,
    /// The report on the history, with its violations.
    pub report: Report,
}

/// Runs the schedule generated from the settings.
///
/// # Errors
/// Returns an error if the harness cannot run the fleet or a fault.
pub async fn run(
    settings: &FaultSettings,
    load: &LoadSettings,
) -> Result<ScheduleReport, HarnessError> {
    let schedule = Schedule::generate(settings);
    let per_centre = settings.vms.div_ceil(2);
    let mut fleet = Fleet::start(FleetSettings {
        vms: vec![per_centre, settings.vms - per_centre],
        servers: settings.servers,
        shards: load.shards,
        seed: settings.seed,
        ..FleetSettings::default()
    })
    .await?;
    let traffic = Traffic::start(&fleet, load);
    apply_schedule(&mut fleet, &schedule).await?;
    let latencies = traffic.stop().await?;
    Ok(ScheduleReport {
        seed: settings.seed,
        schedule,
        report: Report::new(&fleet.history()?, &latencies),
    })
}

/// Injects and reverts each fault at its time.
async fn apply_schedule(fleet: &mut Fleet, schedule: &Schedule) -> Result<(), HarnessError> {
    let mut changes: Vec<(Duration, bool, FaultAction)> = Vec::new();
    for fault in &schedule.faults {
        changes.push((fault.start, true, fault.action));
        changes.push((fault.end, false, fault.action));
    }
    changes.sort_by_key(|(at, ..)| *at);
    let start = Instant::now();
    for (at, is_start, action) in changes {
        tokio::time::sleep_until(start + at).await;
        if is_start {
            action.inject(fleet).await?;
        } else {
            action.revert(fleet).await?;
        }
    }
    Ok(())
}

impl fmt::Display for ScheduleReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        write!(f, "{}{}", self.schedule, self.report)
    }
}
