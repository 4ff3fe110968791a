//! The operators' command line of the cassialift query tier.
//!
//! It reads and never changes anything. Nothing here prints; `main` does.

mod cli;
mod client;
mod commands;
mod error;
mod report;

pub use error::CtlError;
pub use report::Report;

/// Runs the program with its arguments, the program's name excluded.
///
/// # Errors
/// Returns why the arguments were refused or a VM gave no answer.
pub fn run(args: &[String]) -> Result<Report, CtlError> {
    let options = cli::parse(args)?;
    commands::run(options)
}
