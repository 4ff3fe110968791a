//! What operators are told: the status page.

mod status;

pub use status::status;
