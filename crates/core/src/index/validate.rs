//! Validation of index documents.
//!
//! The result depends on the document alone, so either all processes accept it or all reject it.

use std::{collections::HashSet, net::SocketAddr};

use displaydoc::Display;

use super::{IndexDocument, ServerEntry, ShardEntry};
use crate::{
    ids::{ServerId, ShardId},
    jsonc::Path,
};

/// The maximum number of shards in one document.
pub const MAX_SHARDS: usize = 65_536;
/// The maximum number of slots of one backend server.
pub const MAX_SLOTS: u32 = 1_024;
/// The maximum number of connections that one backend server accepts.
pub const MAX_CONNECTIONS: u32 = 65_535;
/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// The reason why an index document is rejected, and the path of the invalid value.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{path}: {cause}")]
pub struct IndexError {
    /// The path of the invalid value.
    pub path: Path,
    /// The cause of the rejection.
    pub cause: IndexCause,
}

/// The cause of the rejection of an index document. The comment of each variant is its message.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum IndexCause {
    /// the document names no shard
    NoShards,
    /// the document names {0} shards, more than 65536
    TooManyShards(usize),
    /// shard {0} stands twice
    DuplicateShard(ShardId),
    /// shard {0} has no replica
    NoReplica(ShardId),
    /// shard {shard} names backend server {server} twice
    DuplicateReplica {
        /// The shard.
        shard: ShardId,
        /// The backend server.
        server: ServerId,
    },
    /// shard {shard} names backend server {server}, which the document does not describe
    UnknownServer {
        /// The shard that names the server.
        shard: ShardId,
        /// The server that is not described.
        server: ServerId,
    },
    /// backend server {0} stands twice
    DuplicateServer(ServerId),
    /// two backend servers have the address {0}
    DuplicateAddress(SocketAddr),
    /// {0} is no address that can be connected to
    BadAddress(SocketAddr),
    /// backend server {0} has no slots
    NoSlots(ServerId),
    /// backend server {0} accepts fewer connections than it has slots
    TooFewConnections(ServerId),
    /// {value} is more than {limit}
    TooLarge {
        /// The value.
        value: u32,
        /// The maximum allowed value.
        limit: u32,
    },
    /// a name must have 1 to 256 bytes
    BadName,
}

impl std::error::Error for IndexError {}

impl IndexCause {
    /// Returns a hint on how to correct the document, if there is one.
    #[must_use]
    pub const fn hint(&self) -> Option<&'static str> {
        Some(match self {
            Self::NoShards => "delete the document to withdraw the service",
            Self::DuplicateShard(_) | Self::DuplicateServer(_) | Self::DuplicateReplica { .. } => {
                "keep one of the two"
            }
            Self::NoReplica(_) => "name at least one backend server",
            Self::UnknownServer { .. } => "add the backend server to servers",
            Self::TooFewConnections(_) => "connections must be at least slots",
            Self::TooManyShards(_)
            | Self::DuplicateAddress(_)
            | Self::BadAddress(_)
            | Self::NoSlots(_)
            | Self::TooLarge { .. }
            | Self::BadName => return None,
        })
    }
}

impl IndexDocument {
    /// Checks that the document is consistent.
    ///
    /// # Errors
    /// Returns the first error: servers are checked before shards, both in document order.
    pub fn validate(&self) -> Result<(), IndexError> {
        check_name(Path::new("service"), &self.service)?;
        let servers = self.validate_servers()?;
        let count = self.shards.len();
        if count == 0 {
            return fail(Path::new("shards"), IndexCause::NoShards);
        }
        if count > MAX_SHARDS {
            return fail(Path::new("shards"), IndexCause::TooManyShards(count));
        }
        let mut shards = HashSet::new();
        for (i, entry) in self.shards.iter().enumerate() {
            let path = Path::new("shards").item(i);
            if !shards.insert(entry.shard) {
                return fail(path.key("shard"), IndexCause::DuplicateShard(entry.shard));
            }
            validate_replicas(&path, entry, &servers)?;
        }
        Ok(())
    }

    /// Checks the backend servers and returns their names.
    fn validate_servers(&self) -> Result<HashSet<&ServerId>, IndexError> {
        let mut servers = HashSet::new();
        let mut addresses = HashSet::new();
        for (i, entry) in self.servers.iter().enumerate() {
            let path = Path::new("servers").item(i);
            validate_server(&path, entry)?;
            if !servers.insert(&entry.id) {
                let cause = IndexCause::DuplicateServer(ServerId::clone(&entry.id));
                return fail(path.key("id"), cause);
            }
            if !addresses.insert(entry.address) {
                let cause = IndexCause::DuplicateAddress(entry.address);
                return fail(path.key("address"), cause);
            }
        }
        Ok(servers)
    }
}

fn validate_server(path: &Path, entry: &ServerEntry) -> Result<(), IndexError> {
    let at = |key| path.clone().key(key);
    check_name(at("id"), &entry.id)?;
    check_name(at("centre"), &entry.centre)?;
    if entry.address.port() == 0 || entry.address.ip().is_unspecified() {
        return fail(at("address"), IndexCause::BadAddress(entry.address));
    }
    if entry.slots == 0 {
        let cause = IndexCause::NoSlots(ServerId::clone(&entry.id));
        return fail(at("slots"), cause);
    }
    check_limit(at("slots"), entry.slots, MAX_SLOTS)?;
    check_limit(at("connections"), entry.connections, MAX_CONNECTIONS)?;
    if entry.connections < entry.slots {
        let cause = IndexCause::TooFewConnections(ServerId::clone(&entry.id));
        return fail(at("connections"), cause);
    }
    Ok(())
}

/// Checks that a shard names at least one replica, each on another known backend server.
fn validate_replicas(
    path: &Path,
    entry: &ShardEntry,
    servers: &HashSet<&ServerId>,
) -> Result<(), IndexError> {
    let shard = entry.shard;
    let path = path.clone().key("replicas");
    if entry.replicas.is_empty() {
        return fail(path, IndexCause::NoReplica(shard));
    }
    let mut seen = HashSet::new();
    for (i, server) in entry.replicas.iter().enumerate() {
        let server = ServerId::clone(server);
        if !servers.contains(&server) {
            let cause = IndexCause::UnknownServer { shard, server };
            return fail(path.item(i), cause);
        }
        if !seen.insert(ServerId::clone(&server)) {
            let cause = IndexCause::DuplicateReplica { shard, server };
            return fail(path.item(i), cause);
        }
    }
    Ok(())
}

fn fail<T>(path: Path, cause: IndexCause) -> Result<T, IndexError> {
    Err(IndexError { path, cause })
}

/// Checks the length of a name.
fn check_name(path: Path, name: &str) -> Result<(), IndexError> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    fail(path, IndexCause::BadName)
}

/// Checks that a value is not above its limit.
fn check_limit(path: Path, value: u32, limit: u32) -> Result<(), IndexError> {
    if value <= limit {
        return Ok(());
    }
    fail(path, IndexCause::TooLarge { value, limit })
}
