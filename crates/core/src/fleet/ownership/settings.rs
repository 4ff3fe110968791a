//! Periods and bounds of ownership.

use std::time::Duration;

/// Periods and bounds of ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// The time between two asks to the same partner.
    pub period: Duration,
    /// How long a standby's promise holds after it was asked for.
    pub lease: Duration,
    /// How long an answer to a claim counts, and how long a role that was given up is
    /// remembered; no server can change hands twice within it.
    pub window: Duration,
    /// How long a claim waits for the answer of a single silent process.
    pub patience: Duration,
    /// The gap between two ticks from which on the process counts as frozen.
    pub freeze: Duration,
    /// The most servers that are handed over in one tick.
    pub handovers: usize,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(300),
            lease: Duration::from_secs(1),
            window: Duration::from_secs(1),
            patience: Duration::from_secs(3),
            freeze: Duration::from_secs(1),
            handovers: 2,
        }
    }
}
