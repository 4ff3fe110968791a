//! Index documents: the shards of an index version and the backend servers that store them.
//!
//! The platform publishes one document per service under the key `index/<service>`.

mod document;
mod validate;

pub use document::{IndexDocument, ServerEntry, ServerState, ShardEntry};
pub use validate::{
    IndexCause, IndexError, MAX_CONNECTIONS, MAX_NAME_BYTES, MAX_SHARDS, MAX_SLOTS,
};
