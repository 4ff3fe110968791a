//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use cassialift_core::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};

/// Settings of the gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Where to listen for callers' requests.
    pub requests: SocketAddr,
    /// Where to listen for callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// Where to listen for the platform's question whether this VM takes callers.
    pub readiness: SocketAddr,
    /// How many seconds the process may take to leave before it is killed.
    #[serde(default = "default_grace")]
    pub grace: Seconds,
    /// The extra calls, hedges and retries alike, that a service may get from the whole fleet as a
    /// share of its first attempts.
    #[serde(default = "default_ratio")]
    pub repeat_ratio: f64,
    /// The extra calls beyond that share, over any period.
    #[serde(default = "default_burst")]
    pub repeat_burst: f64,
    /// Whether the whole fleet starts for the first time. Else VMs that ran a moment ago may have
    /// used the burst, and this one sends no extra calls before it has earned them.
    #[serde(default)]
    pub first_start: bool,
    /// The processor time that the VM has, cores; callers and other VMs' shards go to the VMs that
    /// have most. Zero when it is not known.
    #[serde(default)]
    pub cores: f64,
    /// What of a latency objective passes outside this process: the caller's new connection, the
    /// way here and the way back.
    #[serde(default = "default_outside")]
    pub outside: Millis,
    /// What is added to the expected latency of backend servers in other data centres when they
    /// are compared with near ones: the way there and back, and what the links cost.
    #[serde(default = "default_far_bias")]
    pub far_bias: Millis,
}

impl GatewaySettings {
    /// Returns the processor time that the VM has, thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let thousandths = (self.cores * 1_000.0).round();
        if thousandths >= f64::from(u32::MAX) {
            return u32::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "compared with the largest, and a negative number becomes zero"
        )]
        let thousandths = thousandths.max(0.0) as u32;
        thousandths
    }
}

/// The usual time between the signal to stop and the kill.
const fn default_grace() -> Seconds {
    Seconds(Duration::from_secs(30))
}

/// Extra calls stay a small part of the load.
const fn default_ratio() -> f64 {
    0.1
}

/// Enough for the retries of a few requests after a quiet time.
const fn default_burst() -> f64 {
    20.0
}

/// Two round trips of a caller a few milliseconds away, and some lateness.
const fn default_outside() -> Millis {
    Millis::new(16)
}

/// Several round trips between data centres of one region.
const fn default_far_bias() -> Millis {
    Millis::new(15)
}
