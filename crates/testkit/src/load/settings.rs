//! Settings of the load generator.

use std::time::Duration;

/// Settings of the load generator.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// How many callers share the load.
    pub callers: usize,
    /// Requests a second, over all callers.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The share of requests that are jobs, 0 to 1.
    pub job_share: f64,
    /// The share of the other requests that are wide searches, 0 to 1; the rest is halved between
    /// narrow searches and fetches.
    pub wide_share: f64,
    /// How many shards the fleet has, to draw those of narrow searches and fetches from.
    pub shards: u32,
    /// The seed of the kinds and shards drawn.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            callers: 8,
            rate: 100.0,
            duration: Duration::from_secs(5),
            job_share: 0.05,
            wide_share: 0.5,
            shards: 8,
            seed: 1,
        }
    }
}
