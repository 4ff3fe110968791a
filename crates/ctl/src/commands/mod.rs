//! The commands, each in its own file.

mod check;
mod config;
mod explain;
mod status;
mod time;

use crate::{
    CtlError, Report,
    cli::{self, Command, CtlOptions},
};

/// Runs a command and returns its report.
pub(crate) fn run(options: CtlOptions) -> Result<Report, CtlError> {
    let json = options.json;
    match options.command {
        Command::Check { files, kind } => Ok(check::run(&files, kind, json)),
        Command::Status { vm } => status::run(vm, json),
        Command::Explain { vm, topic } => explain::run(vm, topic.as_deref(), json),
        Command::Help => Ok(Report::text(cli::usage())),
        Command::Version => {
            let version = env!("CARGO_PKG_VERSION");
            Ok(Report::text(format!("cassialiftctl {version}")))
        }
    }
}
