//! The document of one backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataCentre, ServiceId},
    index::ServerState,
    time::Millis,
};

/// One backend server as the platform publishes it, under the key `servers/<id>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDocument {
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stays slow after its start, when the document was written.
    #[serde(default)]
    pub warmup: Millis,
}
