//! Whether this VM reaches the backend servers at all.
//!
//! The callers, the peers and the platform may reach a VM that has lost its links to all backend
//! servers. Each call then fails like one to a server that ended, so that only all of them together
//! tell the difference.

mod table;

pub use table::{Reach, ReachTable};

#[cfg(test)]
mod tests;
