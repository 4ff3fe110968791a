//! The error type of the commands.

use std::net::SocketAddr;

use displaydoc::Display;

/// The reason why a command returned no report.
///
/// The comment of each variant is its message.
#[derive(Debug, Display)]
pub enum CtlError {
    /// {0}
    Options(getopts::Fail),
    /// no command was named
    NoCommand,
    /// there is no command {0}
    UnknownCommand(String),
    /// {0} needs a file
    NoFile(&'static str),
    /// {0} needs --vm ADDR
    NoVm(&'static str),
    /// unexpected argument {0}
    ExtraArgument(String),
    /// {text} is not an address: {cause}
    InvalidAddress {
        /// The argument.
        text: String,
        /// The error of the parser.
        cause: std::net::AddrParseError,
    },
    /// there is no kind of file {0}
    UnknownKind(String),
    /// the program cannot start its runtime: {0}
    Runtime(std::io::Error),
    /// the HTTP client cannot be built: {0}
    BuildClient(volo_http::error::ClientError),
    /// {vm} does not answer: {cause}
    Unreachable {
        /// The VM's address.
        vm: SocketAddr,
        /// The error of the HTTP client.
        cause: volo_http::error::ClientError,
    },
    /// {0} gave no answer within 3 s
    Timeout(SocketAddr),
    /// {vm} answered with status {status}
    Status {
        /// The VM's address.
        vm: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
    /// {vm} sent an answer that cannot be read: {cause}
    InvalidBody {
        /// The VM's address.
        vm: SocketAddr,
        /// The error of the HTTP client.
        cause: volo_http::body::BodyConvertError,
    },
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// Returns a hint for the operator on how to resolve the error.
    #[must_use]
    pub const fn hint(&self) -> &'static str {
        match self {
            Self::Options(_)
            | Self::NoCommand
            | Self::UnknownCommand(_)
            | Self::NoFile(_)
            | Self::ExtraArgument(_) => "see cassialiftctl --help",
            Self::NoVm(_) | Self::InvalidAddress { .. } => {
                "write the VM's callers address, such as --vm 10.0.0.1:8080"
            }
            Self::UnknownKind(_) => "kinds are settings, presets and index",
            Self::Runtime(_) | Self::BuildClient(_) => "check the limits on threads and memory",
            Self::Unreachable { .. } | Self::Timeout(_) => {
                "check the address, or ask another VM what it knows of this one"
            }
            Self::Status { .. } | Self::InvalidBody { .. } => {
                "check that the address is a cassialift VM's callers address"
            }
        }
    }

    /// Returns the exit code: 2 for an invalid command line, 1 for all other errors.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Options(_)
            | Self::NoCommand
            | Self::UnknownCommand(_)
            | Self::NoFile(_)
            | Self::NoVm(_)
            | Self::ExtraArgument(_)
            | Self::InvalidAddress { .. }
            | Self::UnknownKind(_) => 2,
            Self::Runtime(_)
            | Self::BuildClient(_)
            | Self::Unreachable { .. }
            | Self::Timeout(_)
            | Self::Status { .. }
            | Self::InvalidBody { .. } => 1,
        }
    }
}
