//! The edges of a process to a platform that an adapter translates.

use std::sync::Arc;

use cassialift_wire::platform::{Dialect, Source};

/// The edges of a process to a platform that an adapter translates.
#[derive(Clone, Debug)]
pub struct Edges {
    /// Where the configuration and the backend servers are read from.
    pub source: Arc<dyn Source>,
    /// How callers and backend servers spell their requests.
    pub dialect: Arc<dyn Dialect>,
}
