//! Errors that prevent a process from starting or running.

use std::net::SocketAddr;

use displaydoc::Display;

use crate::{metrics::MetricsError, platform::PlatformError};

/// An error that prevents a process from starting or running.
#[derive(Debug, Display)]
pub enum ProcessError {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot start a runtime: {0}
    Runtime(std::io::Error),
    /// {0}
    Metrics(MetricsError),
    /// {0}
    Platform(PlatformError),
    /// the settings name a store, and this program has no adapter for it
    NoAdapter,
    /// the callers' server stopped: {0}
    Serve(volo_http::error::BoxError),
}

impl std::error::Error for ProcessError {}

impl ProcessError {
    /// Returns a hint for the operator on how to resolve the error.
    #[must_use]
    pub const fn hint(&self) -> &'static str {
        match self {
            Self::Listen(..) => "check that the address is this VM's and free",
            Self::Runtime(_) => "check the limits on threads and memory",
            Self::Metrics(_) => "check the statsd address in the settings",
            Self::NoAdapter => "run the cassialift program, which has one",
            Self::Platform(_) | Self::Serve(_) => "see the log for the cause",
        }
    }
}
