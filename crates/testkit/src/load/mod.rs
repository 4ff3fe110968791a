//! Load at a fixed rate and a report of its results.

mod generate;
mod report;
mod settings;
mod traffic;

pub use generate::generate;
pub use report::Report;
pub use settings::LoadSettings;
pub use traffic::Traffic;
