//! Parsing of the command line.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::CtlError;

/// The options of a valid command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CtlOptions {
    pub(crate) command: Command,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Validates files offline.
    Check {
        files: Vec<String>,
        kind: Option<FileKind>,
    },
    /// Shows the fleet as one VM sees it.
    Status { vm: SocketAddr },
    /// Explains the recent decisions of a VM.
    Explain {
        vm: SocketAddr,
        topic: Option<String>,
    },
    /// Prints the usage.
    Help,
    /// Prints the version.
    Version,
}

/// A kind of file that `check` can validate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FileKind {
    Settings,
    Presets,
    Index,
}

impl FileKind {
    /// Returns the name of the kind, as `--kind` accepts it.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Presets => "presets",
            Self::Index => "index",
        }
    }
}

/// The first part of the help text, before the list of options.
const BRIEF: &str = "Usage: cassialiftctl check FILE... [--kind KIND] [--json]
       cassialiftctl status --vm ADDR [--json]
       cassialiftctl explain --vm ADDR [TOPIC] [--json]

Commands:
    check     validate settings, preset and index files off-line
    status    show the fleet as the VM at ADDR sees it
    explain   show why requests were refused or retried, what was decided, and
              which preset is in force; TOPIC is preset, a part such as config or
              owner, or a word of the explanation

Exit codes:
    0  success
    1  the VM gave no answer
    2  wrong command line
    3  check refused a file";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "vm", "ask the VM at this callers address", "ADDR");
    options.optopt(
        "",
        "kind",
        "take FILE for settings, presets or index",
        "KIND",
    );
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

/// Returns the help text.
pub(crate) fn usage() -> String {
    options().usage(BRIEF).trim_end().to_owned()
}

/// Parses the arguments, the program's name excluded.
pub(crate) fn parse(args: &[String]) -> Result<CtlOptions, CtlError> {
    let matches = options().parse(args).map_err(CtlError::Options)?;
    Ok(CtlOptions {
        command: parse_command(&matches)?,
        json: matches.opt_present("json"),
    })
}

fn parse_command(matches: &Matches) -> Result<Command, CtlError> {
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let [name, rest @ ..] = matches.free.as_slice() else {
        return Err(CtlError::NoCommand);
    };
    match name.as_str() {
        "check" if rest.is_empty() => Err(CtlError::NoFile("check")),
        "check" => Ok(Command::Check {
            files: rest.to_vec(),
            kind: parse_kind(matches)?,
        }),
        "status" => {
            refuse_extra(rest.first())?;
            let vm = parse_vm(matches, "status")?;
            Ok(Command::Status { vm })
        }
        "explain" => {
            refuse_extra(rest.get(1))?;
            let vm = parse_vm(matches, "explain")?;
            let topic = rest.first().cloned();
            Ok(Command::Explain { vm, topic })
        }
        other => Err(CtlError::UnknownCommand(other.to_owned())),
    }
}

/// Returns an error if there is an argument that the command does not take.
fn refuse_extra(argument: Option<&String>) -> Result<(), CtlError> {
    match argument {
        Some(extra) => Err(CtlError::ExtraArgument(extra.clone())),
        None => Ok(()),
    }
}

fn parse_kind(matches: &Matches) -> Result<Option<FileKind>, CtlError> {
    let Some(kind) = matches.opt_str("kind") else {
        return Ok(None);
    };
    let kinds = [FileKind::Settings, FileKind::Presets, FileKind::Index];
    match kinds.into_iter().find(|known| known.name() == kind) {
        Some(known) => Ok(Some(known)),
        None => Err(CtlError::UnknownKind(kind)),
    }
}

fn parse_vm(matches: &Matches, command: &'static str) -> Result<SocketAddr, CtlError> {
    let Some(text) = matches.opt_str("vm") else {
        return Err(CtlError::NoVm(command));
    };
    text.parse()
        .map_err(|cause| CtlError::InvalidAddress { text, cause })
}
