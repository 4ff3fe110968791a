//! The entry role: it faces callers.

mod addresses;
mod admit;
mod gather;
mod http;
pub mod jobs;
mod refuse;
mod search;

pub use http::serve;
