//! Measures the control traffic and resource usage of an idle fleet, and how fast other VMs take
//! over from a killed or frozen one.

mod fleet;
mod outage;
mod process;
mod report;

pub use fleet::{CostSettings, run};
pub use outage::{OutageReport, measure_outage};
pub use report::{ControlCost, linear_fit};
