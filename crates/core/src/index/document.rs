//! The index document of one service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, IndexVersion, ServerId, ServiceId, ShardId};

/// One version of a service's index with its shard map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// The service that the document describes.
    pub service: ServiceId,
    /// The version of the index that queries are to be drawn from.
    pub version: IndexVersion,
    /// The shards of this version.
    pub shards: Vec<ShardEntry>,
    /// The backend servers that the shards name.
    pub servers: Vec<ServerEntry>,
}

/// One shard and the backend servers that hold a replica of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEntry {
    /// The shard's number.
    pub shard: ShardId,
    /// The backend servers with a replica; at least one.
    pub replicas: Vec<ServerId>,
}

/// One backend server as the platform publishes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// The backend server's name.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub centre: DataCentre,
    /// How many requests it runs at once; at least one.
    pub slots: u32,
    /// How many connections it accepts; at least `slots`.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has and takes no new work.
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
