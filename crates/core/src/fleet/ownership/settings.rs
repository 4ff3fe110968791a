//! Settings of ownership.

use std::time::Duration;

/// Settings of ownership.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// The time between two requests to the same partner.
    pub request_period: Duration,
    /// The time for which a standby's promise holds, from the time of the request for it.
    pub lease: Duration,
    /// The time for which a reply to a claim is valid and for which a role that was given up is
    /// remembered; no server can change owners twice within this time.
    pub transfer_window: Duration,
    /// The time for which a claim waits for the reply of a single silent process.
    pub claim_timeout: Duration,
    /// The time between two ticks above which the process is considered to have been frozen.
    pub freeze_threshold: Duration,
    /// The maximum number of servers for which a handover begins in one tick.
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
