//! The report of a measurement.

use std::{fmt, time::Duration};

/// The measurements of one fleet.
#[derive(Clone, Debug)]
pub struct SpreadReport {
    /// The number of processes in the fleet.
    pub processes: usize,
    /// The number of processes that could reach the configuration service.
    pub with_access: usize,
    /// The reads a second while nothing changes.
    pub idle_rate: f64,
    /// The reads a second while the service answers every read with an error.
    pub down_rate: f64,
    /// The time until a change was active in every process, for each change, in ascending order.
    pub propagation_times: Vec<Duration>,
}

impl SpreadReport {
    /// Returns the propagation time at a percentile, or zero without any change.
    #[must_use]
    pub fn percentile(&self, percent: usize) -> Duration {
        let rank = (self.propagation_times.len() * percent).div_ceil(100);
        let index = rank.saturating_sub(1);
        self.propagation_times
            .get(index)
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for SpreadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {:.1} | {:.1} | {} | {} ms | {} ms | {} ms |",
            self.processes,
            self.with_access,
            self.idle_rate,
            self.down_rate,
            self.propagation_times.len(),
            self.percentile(50).as_millis(),
            self.percentile(99).as_millis(),
            self.percentile(100).as_millis(),
        )
    }
}
