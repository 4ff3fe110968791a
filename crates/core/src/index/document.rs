//! The index document of a service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, IndexVersion, ServerId, ServiceId, ShardId};

/// One version of a service's index, with its shard map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// The service that the document describes.
    pub service: ServiceId,
    /// The version of the index that answers queries.
    pub version: IndexVersion,
    /// The shards of this version.
    pub shards: Vec<ShardEntry>,
    /// The backend servers that store the shards.
    pub servers: Vec<ServerEntry>,
}

/// A shard and the backend servers that store a replica of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// The shard's number.
    pub shard: ShardId,
    /// The names of the backend servers with a replica; at least one.
    pub replicas: Vec<ServerId>,
}

/// A backend server, as published by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// The backend server's name.
    pub id: ServerId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre of the server.
    pub centre: DataCentre,
    /// The number of requests that the server runs concurrently; at least one.
    pub slots: u32,
    /// The number of connections that the server accepts; at least `slots`.
    pub connections: u32,
    /// Whether the server takes new work.
    pub state: ServerState,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server takes new work.
    #[default]
    Serving,
    /// The server completes its running requests and takes no new work.
    Leaving,
}

impl IndexDocument {
    /// Returns the entry of a backend server.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.iter().find(|entry| &*entry.id == id)
    }

    /// Returns the entry of a shard.
    #[must_use]
    pub fn shard(&self, shard: ShardId) -> Option<&ShardEntry> {
        self.shards.iter().find(|entry| entry.shard == shard)
    }
}
