//! The adapter between a process and a platform that speaks protocols of its own.

use std::sync::Arc;

use cassialift_wire::platform::{ConfigSource, Dialect};

/// The adapter between a process and a platform that speaks protocols of its own.
#[derive(Clone, Debug)]
pub struct PlatformAdapter {
    /// Where the configuration and the list of backend servers are read from.
    pub source: Arc<dyn ConfigSource>,
    /// The translation of the requests that callers send and backend servers receive.
    pub dialect: Arc<dyn Dialect>,
}
