//! The operators' command line of the cassialift query tier.
//!
//! All commands are read-only. The library returns a [`Report`], which `main` prints.

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
/// Returns an error if the arguments are invalid or a VM gives no usable answer.
pub fn run(args: &[String]) -> Result<Report, CtlError> {
    let options = cli::parse(args)?;
    commands::run(options)
}
