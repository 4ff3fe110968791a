//! Backend servers that the platform publishes one by one, and which of them may be used.

mod document;
mod roster;
mod share;

#[cfg(test)]
mod tests;

pub use document::ServerDocument;
pub use roster::{LAPSE_HOLD, Roster};
pub use share::{VmCounts, connection_share};
