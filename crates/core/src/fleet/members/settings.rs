//! Settings of membership.

use std::time::Duration;

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The time between two pings, each to the next member in turn; the rate does not depend on the
    /// fleet's size.
    pub ping_period: Duration,
    /// The time in which a suspected member can refute the suspicion before it is considered dead.
    pub suspect_timeout: Duration,
    /// The maximum duration of indirect probes, after which the member is suspected.
    pub probe_timeout: Duration,
    /// The number of members that are asked to probe one that did not answer.
    pub probe_count: usize,
    /// The maximum number of updates in one ping or reply.
    pub max_updates: usize,
    /// The time between two ticks above which the process is considered to have been frozen.
    pub freeze_threshold: Duration,
    /// The time for which a dead or unknown member that is not on the VM list is kept.
    pub forget_after: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            ping_period: Duration::from_millis(500),
            suspect_timeout: Duration::from_millis(1_500),
            probe_timeout: Duration::from_millis(800),
            probe_count: 2,
            max_updates: 6,
            freeze_threshold: Duration::from_secs(1),
            forget_after: Duration::from_mins(1),
        }
    }
}
