//! Periods and bounds of ownership.

use std::time::Duration;

/// Periods and bounds of ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// The time between two asks to the same partner.
    pub request_period: Duration,
    /// How long a standby's promise holds after it was asked for.
    pub lease: Duration,
    /// How long an answer to a claim counts, and how long a role that was given up is
    /// remembered; no server can change hands twice within it.
    pub transfer_window: Duration,
    /// How long a claim waits for the answer of a single silent process.
    pub claim_timeout: Duration,
    /// The gap between two ticks from which on the process counts as frozen.
    pub freeze_threshold: Duration,
    /// The most servers that are handed over in one tick.
    pub max_handovers: usize,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            request_period: Duration::from_millis(300),
            lease: Duration::from_secs(1),
            transfer_window: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(3),
            freeze_threshold: Duration::from_secs(1),
            max_handovers: 2,
        }
    }
}
