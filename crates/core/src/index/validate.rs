//! Validation of index documents; deterministic, so that all processes accept or all reject.

use std::collections::HashSet;

use displaydoc::Display;

use super::IndexDocument;
use crate::ids::{ServerId, ShardId};

/// Why an index document is rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum IndexError {
    /// the document names no shard
    NoShards,
    /// shard {0} stands twice
    DuplicateShard(ShardId),
    /// shard {0} has no replica
    NoReplica(ShardId),
    /// shard {shard} names backend server {server}, which the document does not describe
    UnknownServer {
        /// The shard that names the server.
        shard: ShardId,
        /// The server that is not described.
        server: ServerId,
    },
    /// backend server {0} stands twice
    DuplicateServer(ServerId),
    /// backend server {0} has no slots
    NoSlots(ServerId),
    /// backend server {0} accepts fewer connections than it has slots
    FewConnections(ServerId),
}

impl std::error::Error for IndexError {}

impl IndexDocument {
    /// Checks that the document is consistent.
    ///
    /// # Errors
    /// Returns the first inconsistency in document order.
    pub fn validate(&self) -> Result<(), IndexError> {
        let servers = self.validate_servers()?;
        if self.shards.is_empty() {
            return Err(IndexError::NoShards);
        }
        let mut shards = HashSet::new();
        for entry in &self.shards {
            if !shards.insert(entry.shard) {
                return Err(IndexError::DuplicateShard(entry.shard));
            }
            if entry.replicas.is_empty() {
                return Err(IndexError::NoReplica(entry.shard));
            }
            for server in &entry.replicas {
                if !servers.contains(server) {
                    let (shard, server) = (entry.shard, ServerId::clone(server));
                    return Err(IndexError::UnknownServer { shard, server });
                }
            }
        }
        Ok(())
    }

    fn validate_servers(&self) -> Result<HashSet<&ServerId>, IndexError> {
        let mut servers = HashSet::new();
        for entry in &self.servers {
            if !servers.insert(&entry.id) {
                return Err(IndexError::DuplicateServer(ServerId::clone(&entry.id)));
            }
            if entry.slots == 0 {
                return Err(IndexError::NoSlots(ServerId::clone(&entry.id)));
            }
            if entry.connections < entry.slots {
                return Err(IndexError::FewConnections(ServerId::clone(&entry.id)));
            }
        }
        Ok(servers)
    }
}
