//! The error of calls to peers.

use cassialift_wire::peer::version::MessageVersion;
use displaydoc::Display;
use tarpc::client::RpcError;

/// Why a peer gave no usable answer.
#[derive(Debug, Display)]
pub enum PeerError {
    /// the peer is not known
    Unknown,
    /// no connection to the peer could be opened: {0}
    Connect(std::io::Error),
    /// no connection to the peer could be opened in time
    ConnectTimeout,
    /// the call to the peer failed: {0}
    Call(RpcError),
    /// the peer's reply belongs to another call
    MismatchedReply,
    /// the peer reads messages up to version {0} only
    Outdated(MessageVersion),
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Returns whether the call was certainly not sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::Unknown | Self::Connect(_) | Self::ConnectTimeout | Self::Outdated(_) => true,
            Self::Call(_) | Self::MismatchedReply => false,
        }
    }
}

/// Returns whether the error of a call shows that its connection broke.
#[must_use]
pub const fn is_broken(error: &RpcError) -> bool {
    match error {
        RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_) => true,
        RpcError::DeadlineExceeded | RpcError::Server(_) => false,
    }
}
