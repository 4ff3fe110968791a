//! Settings of the load generator.

use std::time::Duration;

/// The settings of the load generator.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The number of callers that share the load.
    pub callers: usize,
    /// The number of requests per second over all callers.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The share of requests that are jobs, 0 to 1.
    pub job_share: f64,
    /// The share of the other requests that are wide searches, 0 to 1; the rest is halved between
    /// narrow searches and fetches.
    pub wide_share: f64,
    /// The number of shards of the fleet; narrow searches and fetches choose theirs from
    /// all of them at random.
    pub shards: u32,
    /// The seed of the generator that chooses kinds and shards.
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
