//! Requests that end the backend servers that run them, recognised when they come again.

mod fingerprint;

pub use fingerprint::Fingerprint;
