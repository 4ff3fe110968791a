//! Backend servers that are published in documents of their own, and the choice of those that may
//! be used.

mod document;
mod registry;
mod share;

#[cfg(test)]
mod tests;

pub use document::ServerDocument;
pub use registry::{REMOVAL_GRACE, ServerRegistry};
pub use share::{VmCounts, connection_share};
