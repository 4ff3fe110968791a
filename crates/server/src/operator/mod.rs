//! The status page for operators.

mod status;

pub use status::status;
