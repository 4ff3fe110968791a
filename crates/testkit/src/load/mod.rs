//! Load at a fixed rate and a report of what came of it.

mod generate;
mod report;
mod settings;

pub use generate::generate;
pub use report::Report;
pub use settings::LoadSettings;
