//! Configuration: documents of the platform, their order, and who reads them.

mod batch;
mod document;
mod note;
mod parse;
mod reach;
mod slot;
mod store;

pub use batch::{Batch, BatchError, Change, MAX_DOCUMENTS, MAX_TOTAL_BYTES, RejectedDocument};
pub use document::{Document, INDEX_PREFIX, PRESETS_KEY};
pub use note::ConfigNote;
pub use parse::{
    Accepted, DocumentCause, DocumentFault, parse_document, parse_index, parse_presets,
};
pub use reach::ServiceReach;
pub use store::{Origin, Source, Store};
