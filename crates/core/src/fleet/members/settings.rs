//! Periods and bounds of membership.

use std::time::Duration;

/// Periods and bounds of membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The time between two pings to members in turn; the rate does not depend on the fleet's size.
    pub period: Duration,
    /// How long a suspected member has to refute the suspicion.
    pub suspicion: Duration,
    /// How long indirect probes may take before the member is suspected.
    pub probing: Duration,
    /// How many members probe one that did not answer.
    pub probers: usize,
    /// The most pieces of news on one ping or reply.
    pub updates: usize,
    /// The gap between two ticks from which on the process counts as frozen.
    pub freeze: Duration,
    /// How long a dead member that is off the VM list is remembered.
    pub forget: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            suspicion: Duration::from_millis(1_500),
            probing: Duration::from_millis(800),
            probers: 2,
            updates: 6,
            freeze: Duration::from_secs(1),
            forget: Duration::from_mins(1),
        }
    }
}
