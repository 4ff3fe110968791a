//! Backend servers that are published in a document each, and which of them may be used.

mod document;
mod registry;
mod share;

#[cfg(test)]
mod tests;

pub use document::ServerDocument;
pub use registry::{REMOVAL_GRACE, ServerRegistry};
pub use share::{VmCounts, connection_share};
