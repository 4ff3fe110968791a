//! What an idle fleet spends on control, and how fast it takes over from a killed VM.

mod fleet;
mod process;
mod report;

pub use fleet::{CostSettings, run};
pub use report::{Cost, slope};
