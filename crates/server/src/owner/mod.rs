//! The edge to backend servers.

mod call;

pub use call::Owner;
