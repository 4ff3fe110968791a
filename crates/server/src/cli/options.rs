//! Command-line options of the server program.

use getopts::{Matches, Options};

use super::CliError;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "read settings from FILE", "FILE");
    options.optflag("c", "check", "validate the settings and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

pub(super) fn parse(args: &[String]) -> Result<Matches, CliError> {
    let matches = options().parse(args).map_err(CliError::Options)?;
    match matches.free.first() {
        Some(extra) => Err(CliError::Extra(extra.clone())),
        None => Ok(matches),
    }
}

pub(super) fn usage() -> String {
    options().usage("Usage: cassialift --settings FILE [--check]")
}
