//! Errors of requests to the platform.

use std::net::SocketAddr;

use displaydoc::Display;

/// An error of a request to the platform.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the request to {0} failed: {1}
    Call(SocketAddr, volo_http::error::ClientError),
    /// {0} answered with status {1}
    Status(SocketAddr, u16),
    /// the answer of {0} was aborted or is too large: {1}
    Body(SocketAddr, volo_http::error::BoxError),
    /// {0} sent an answer that cannot be read: {1}
    Parse(SocketAddr, serde_json::Error),
    /// {0} gave no answer in time
    Timeout(SocketAddr),
    /// the HTTP client could not be built: {0}
    Build(volo_http::error::ClientError),
}

impl std::error::Error for PlatformError {}
