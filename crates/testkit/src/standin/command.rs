//! The command line interface of the `standin` example.

use std::{
    io,
    net::{AddrParseError, SocketAddr},
    path::PathBuf,
};

use displaydoc::Display;
use tokio::signal::unix::{SignalKind, signal};

use super::{
    ConfigService, VmService,
    backend::{BackendProcess, ProcessSettings},
};

/// An error that prevents a stand-in from running.
#[derive(Debug, Display)]
pub enum StandinError {
    /// usage: standin config ADDRESS | standin vms ADDRESS | standin backend FILE
    Usage,
    /// {text} is not an address such as 127.0.0.1:7000: {error}
    Address {
        /// The argument as given.
        text: String,
        /// The cause.
        error: AddrParseError,
    },
    /// the stand-in cannot run: {0}
    Io(io::Error),
    /// {file} cannot be parsed: {error}
    Settings {
        /// The path of the settings file.
        file: PathBuf,
        /// The cause.
        error: serde_json::Error,
    },
}

impl std::error::Error for StandinError {}

impl From<io::Error> for StandinError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs the stand-in named by the arguments until SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the arguments are invalid or the stand-in cannot run.
pub async fn run_command(args: &[String]) -> Result<(), StandinError> {
    let [kind, target] = args else {
        return Err(StandinError::Usage);
    };
    match kind.as_str() {
        "config" => {
            let _service = ConfigService::start(parse_address(target)?).await?;
            wait_for_signal().await?;
        }
        "vms" => {
            let _service = VmService::start(parse_address(target)?).await?;
            wait_for_signal().await?;
        }
        "backend" => {
            let _servers = BackendProcess::start(load_settings(target)?).await?;
            wait_for_signal().await?;
        }
        _ => return Err(StandinError::Usage),
    }
    Ok(())
}

fn parse_address(text: &str) -> Result<SocketAddr, StandinError> {
    let parsed = text.parse();
    parsed.map_err(|error| StandinError::Address {
        text: text.to_owned(),
        error,
    })
}

fn load_settings(path: &str) -> Result<ProcessSettings, StandinError> {
    let text = std::fs::read_to_string(path)?;
    serde_json::from_str(&text).map_err(|error| StandinError::Settings {
        file: PathBuf::from(path),
        error,
    })
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
