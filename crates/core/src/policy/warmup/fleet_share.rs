//! The share of a cold server's rate that the VM which hands out its permits may use.

use std::time::Duration;

/// The time in which VMs may still disagree about the fleet after a change.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The share of the rate that is handed out. Permits are held for a moment, so that the calls of one
/// second may be permits of more than one.
const STEADY_SHARE: f64 = 0.9;
/// The share that a VM hands out while others may do so in its place, as in up to three parts of a fleet.
const SETTLE_SHARE: f64 = 0.3;
/// The share that a VM hands out which has met no other: enough to find out whether servers answer, and so
/// little that the bound holds beside the rest of the fleet and a few more such VMs.
const LONE_SHARE: f64 = 0.05;

/// What a VM knows about the fleet in which it hands out permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSight {
    /// The number of VMs that answer, with this one.
    pub answering: u32,
    /// The most VMs that ever answered at once, with this one.
    pub peak: u32,
    /// The time since the VMs that answer last changed.
    pub stable_for: Duration,
    /// The time since the start of this process.
    pub uptime: Duration,
    /// Whether a seed of the settings, other than this VM, has not answered since its start.
    pub has_unmet_seed: bool,
}

impl FleetSight {
    /// Returns the share of a rate that this VM hands out, which it has done for `tenure`.
    ///
    /// VMs that do not answer may be cut off and hand out permits among themselves, each part of the fleet
    /// in proportion to its size. A seed that was never met may belong to a part whose size is unknown, and a
    /// VM that has just started may know too few to be the one that hands out permits.
    #[must_use]
    pub fn grant_share(&self, tenure: Duration) -> f64 {
        if self.uptime < SETTLE_TIME {
            return 0.0;
        }
        let is_settled = self.stable_for >= SETTLE_TIME || tenure >= SETTLE_TIME;
        let share = if self.has_unmet_seed && self.peak <= 1 {
            LONE_SHARE
        } else if self.has_unmet_seed || !is_settled {
            SETTLE_SHARE
        } else {
            STEADY_SHARE
        };
        share * f64::from(self.answering) / f64::from(self.peak.max(self.answering).max(1))
    }
}
