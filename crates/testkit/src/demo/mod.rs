//! The README's main job: a small fleet as processes, searches, a job submitted twice, and a kill.

mod build;
mod run;

pub use build::{BuildError, build_programs};
pub use run::{DemoError, run};
