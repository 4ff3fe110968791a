//! What was measured.

use std::{fmt, time::Duration};

/// What was measured of one fleet.
#[derive(Clone, Debug)]
pub struct SpreadReport {
    /// The fleet's processes.
    pub processes: usize,
    /// The processes that could reach the service.
    pub with_access: usize,
    /// Reads a second with nothing changing.
    pub idle_rate: f64,
    /// Reads a second while the service answers every read with an error.
    pub down_rate: f64,
    /// How long each change took until every process had it in force, ascending.
    pub propagation_times: Vec<Duration>,
}

impl SpreadReport {
    /// Returns the time within which this share, in hundredths, of all changes were in force.
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
