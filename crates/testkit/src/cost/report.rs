//! The measured cost and its linear fit over the fleet size.

use std::{fmt, time::Duration};

/// The control cost of one process, as the mean over a fleet of `size` processes.
#[derive(Clone, Copy, Debug)]
pub struct ControlCost {
    /// The number of processes in the fleet.
    pub size: usize,
    /// The bytes a second sent to and received from peers.
    pub byte_rate: f64,
    /// The processor time as a share of one core, from 0 to 1.
    pub core_share: f64,
    /// The resident memory in bytes.
    pub memory_bytes: f64,
    /// The time from the kill of a VM until other VMs own all slots of its backend servers.
    pub takeover_time: Duration,
    /// The resident memory in bytes of a process that was restarted in the running fleet.
    pub restarted_memory: f64,
}

impl fmt::Display for ControlCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {:.0} | {:.2} | {:.1} | {:.2} | {:.1} |",
            self.size,
            self.byte_rate,
            self.core_share * 100.0,
            self.memory_bytes / 1_048_576.0,
            self.takeover_time.as_secs_f64(),
            self.restarted_memory / 1_048_576.0,
        )
    }
}

/// Returns the slope and the intercept of the least-squares line of a value over the fleet size.
#[must_use]
pub fn linear_fit(costs: &[ControlCost], value: impl Fn(&ControlCost) -> f64) -> (f64, f64) {
    let (mut count, mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for cost in costs {
        let size = f64::from(u32::try_from(cost.size).unwrap_or(u32::MAX));
        let measured = value(cost);
        count += 1.0;
        x += size;
        y += measured;
        xx += size * size;
        xy += size * measured;
    }
    let slope = (count * xy - x * y) / (count * xx - x * x);
    (slope, (y - slope * x) / count)
}
