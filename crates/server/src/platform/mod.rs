//! The client for the platform's read-only services.

mod client;
mod error;

pub use client::PlatformClient;
pub use error::PlatformError;
