//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use cassialift_core::time::{Millis, Seconds};
use serde::{Deserialize, Deserializer, Serialize, de::Error};

/// Settings of the gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The address to listen on for callers' requests.
    pub requests: SocketAddr,
    /// The address to listen on for callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// The address to listen on for the platform's readiness checks of this VM.
    pub readiness: SocketAddr,
    /// The time that the process may take to leave before it is killed, in seconds.
    #[serde(default = "default_grace")]
    pub grace: Seconds,
    /// The time for which a backend server still takes work after it announced that it leaves, in
    /// milliseconds.
    #[serde(default = "default_drain", deserialize_with = "read_millis")]
    pub drain: Millis,
    /// The extra calls, both hedges and retries, that a service may get from the whole fleet, as a
    /// share of its first attempts.
    #[serde(default = "default_ratio")]
    pub repeat_ratio: f64,
    /// The extra calls that a service may get beyond that share, over any period.
    #[serde(default = "default_burst")]
    pub repeat_burst: f64,
    /// Whether the whole fleet starts for the first time. Otherwise VMs that ran a moment ago may
    /// have used the burst, so this one sends no extra calls before it has earned them.
    #[serde(default)]
    pub first_start: bool,
    /// The processor time of the VM, in cores; 0 if unknown. Callers and the shards of other VMs go
    /// to the VMs that have the most.
    #[serde(default)]
    pub cores: f64,
    /// The part of a latency objective that passes outside this process, in milliseconds: the
    /// caller's new connection and the network time in both directions.
    #[serde(default = "default_outside")]
    pub outside: Millis,
    /// The time that is added to the expected latency of backend servers in other data centres when
    /// servers are compared, in milliseconds: a round trip and the cost of the links.
    #[serde(default = "default_far_bias")]
    pub far_bias: Millis,
}

/// How long before the end of [`GatewaySettings::drain`] a backend server gets its last calls: a
/// call may wait for its connection, and callers' clocks start when they send.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

impl GatewaySettings {
    /// Returns how long a backend server may be sent calls after it announced that it leaves.
    #[must_use]
    pub fn leave_time(&self) -> Duration {
        self.drain.0.saturating_sub(DRAIN_MARGIN)
    }

    /// Returns the processor time of the VM, in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let thousandths = (self.cores * 1_000.0).round();
        if thousandths >= f64::from(u32::MAX) {
            return u32::MAX;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "larger numbers are handled above, and negative ones become zero"
        )]
        let thousandths = thousandths.max(0.0) as u32;
        thousandths
    }
}

/// Returns the usual time between the signal to stop and the kill.
const fn default_grace() -> Seconds {
    Seconds(Duration::from_secs(30))
}

/// Reads a number of milliseconds that may be written with a fraction.
fn read_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    let millis = f64::deserialize(deserializer)?;
    let time = Duration::try_from_secs_f64(millis / 1_000.0);
    time.map(Millis).map_err(Error::custom)
}

/// Returns the usual time for which a leaving backend server still takes work.
const fn default_drain() -> Millis {
    Millis::new(3_000)
}

/// Returns a ratio at which extra calls stay a small part of the load.
const fn default_ratio() -> f64 {
    0.1
}

/// Returns a burst that is enough for the retries of a few requests after an idle period.
const fn default_burst() -> f64 {
    20.0
}

/// Returns two round trips of a caller a few milliseconds away, and some delay.
const fn default_outside() -> Millis {
    Millis::new(16)
}

/// Returns several round trips between data centres of one region.
const fn default_far_bias() -> Millis {
    Millis::new(15)
}
