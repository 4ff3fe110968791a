//! What an idle fleet spends on control, and how fast it takes over from a killed or frozen VM.

mod fleet;
mod outage;
mod process;
mod report;

pub use fleet::{CostSettings, run};
pub use outage::{OutageReport, measure_outage};
pub use report::{ControlCost, linear_fit};
