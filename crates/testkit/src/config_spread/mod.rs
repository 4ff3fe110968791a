//! Measures how often a fleet reads the configuration service and how fast changes propagate.

mod report;
mod run;

pub use report::SpreadReport;
pub use run::{SpreadSettings, run};
