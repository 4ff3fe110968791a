//! Randomised schedules of faults that are injected into a fleet under load.

mod action;
mod run;
mod schedule;

pub use action::FaultAction;
pub use run::{ScheduleReport, run};
pub use schedule::{FaultSettings, Schedule, ScheduledFault};
