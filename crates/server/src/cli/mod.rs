//! The command line of the server program.

mod error;
mod options;

use std::path::{Path, PathBuf};

pub use error::CliError;

use crate::{
    process::{self, PlatformAdapter},
    settings::Settings,
};

/// The result of a successful run.
#[derive(Debug)]
pub enum Output {
    /// The text to write to standard output.
    Text(String),
    /// The server ran and was stopped gracefully.
    Stopped,
}

/// Runs the program with its arguments, excluding the name of the program.
///
/// `adapter` returns the adapter to the platform that the settings name, if one is needed.
///
/// # Errors
/// Returns an error if the arguments or settings were refused or the server could not run.
pub fn run(
    args: &[String],
    adapter: fn(&Settings) -> Option<PlatformAdapter>,
) -> Result<Output, CliError> {
    let matches = options::parse(args)?;
    if matches.opt_present("help") {
        return Ok(Output::Text(options::usage()));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Output::Text(format!("cassialift {version}")));
    }
    let Some(path) = matches.opt_str("settings") else {
        return Err(CliError::NoSettings);
    };
    let settings = Settings::load(Path::new(&path))?;
    if matches.opt_present("check") {
        return Ok(Output::Text(format!("{path}: settings are valid")));
    }
    let adapter = adapter(&settings);
    let reload = PathBuf::from(path);
    process::run(settings, adapter, reload)?;
    Ok(Output::Stopped)
}
