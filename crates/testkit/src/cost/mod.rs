//! What an idle fleet spends on control, and how fast it takes over from a killed or frozen VM.

mod fleet;
mod process;
mod report;
mod silence;

pub use fleet::{CostSettings, run};
pub use report::{Cost, slope};
pub use silence::{Silence, silence};
