//! Index documents: which backend server holds which shard of which index version.
//!
//! The platform publishes one document a service under the key `index/<service>`.

mod document;
mod validate;

pub use document::{IndexDocument, ServerEntry, ServerState, ShardEntry};
pub use validate::{
    IndexCause, IndexError, MAX_CONNECTIONS, MAX_NAME_BYTES, MAX_SHARDS, MAX_SLOTS,
};
