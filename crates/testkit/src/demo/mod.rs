//! The demonstration of the README: a small fleet as processes, searches, a job that is submitted
//! twice and the kill of a VM.

mod build;
mod run;

pub use build::{BuildError, build_programs};
pub use run::{DemoError, run};
