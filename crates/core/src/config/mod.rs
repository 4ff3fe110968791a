//! Configuration: documents of the platform, their order, and who reads them.

mod document;
mod reach;

pub use document::{Document, INDEX_PREFIX, PRESETS_KEY};
pub use reach::ServiceReach;
