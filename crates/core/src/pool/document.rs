//! The document that describes one backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, ServiceId},
    index::ServerState,
    time::Millis,
};

/// A backend server, as published by the platform under the key `servers/<id>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDocument {
    /// The service that the server runs.
    pub service: ServiceId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub centre: DataCentre,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server takes new work.
    pub state: ServerState,
    /// The remaining time, as of the writing of the document, in which the server is slow because
    /// it has just started.
    #[serde(default)]
    pub warmup: Millis,
    /// The start of the server's run, in milliseconds since the Unix epoch; zero if unknown.
    #[serde(default)]
    pub born: u64,
}

impl ServerDocument {
    /// Returns whether this document was written after `other`, which describes the same server.
    ///
    /// A server that is leaving does not return to service within one run.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let rank = |document: &Self| (document.born, document.state == ServerState::Leaving);
        rank(self) > rank(other)
    }
}
