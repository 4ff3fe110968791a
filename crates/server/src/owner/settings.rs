//! Settings of calls to backend servers.

use cassialift_core::time::Millis;
use serde::{Deserialize, Serialize};

/// Settings of calls to backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerSettings {
    /// The longest time that opening a connection may take.
    pub connect: Millis,
    /// The time after a call's deadline for which its reply is awaited before the connection is
    /// closed.
    pub grace: Millis,
    /// The longest time that a cancellation or a health check may take.
    pub cancel: Millis,
    /// The longest idle time of a connection on which a request that may not be repeated is sent.
    pub fresh: Millis,
    /// The time for which calls to a backend server that said it is leaving are paused.
    pub hold: Millis,
    /// The largest reply body that is read, in bytes.
    pub reply: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            connect: Millis::new(1_000),
            grace: Millis::new(100),
            cancel: Millis::new(500),
            fresh: Millis::new(1_000),
            hold: Millis::new(1_000),
            reply: 4 << 20,
        }
    }
}
