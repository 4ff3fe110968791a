//! The line that tells of a request's end.

use std::time::{Duration, Instant};

use cassialift_core::request::Coverage;

use super::fan::SendCounts;

/// What a request is logged with.
#[derive(Debug)]
pub(super) struct Trace {
    pub(super) started: Instant,
    pub(super) id: String,
    pub(super) route: String,
    /// The operators' number of the configuration that it ran under.
    pub(super) version: u64,
    /// The platform's revision of that configuration.
    pub(super) revision: u64,
    pub(super) counts: SendCounts,
    pub(super) coverage: Coverage,
    /// Calls that were not first ones, and VMs that were asked for shards.
    pub(super) notes: Vec<String>,
}

impl Trace {
    pub(super) fn new(started: Instant) -> Self {
        Self {
            started,
            id: String::new(),
            route: String::new(),
            version: 0,
            revision: 0,
            counts: SendCounts::default(),
            coverage: Coverage::default(),
            notes: Vec::new(),
        }
    }

    pub(super) fn log(&self, status: u16, end: &str, took: Duration) {
        let Self {
            id,
            route,
            version,
            revision,
            counts,
            coverage,
            notes,
            ..
        } = self;
        let missing = coverage.missing.iter();
        let missing: Vec<_> = missing
            .map(|one| format!("{}:{:?}", one.shard, one.reason))
            .collect();
        log::info!(
            target: "request",
            "event=end id={id} route={route} status={status} end={end} took_ms={} \
             config={version} revision={revision} shards_in={} missing=[{}] \
             calls={} hedges={} retries={} probes={} notes=[{}]",
            took.as_millis(), coverage.included.len(), missing.join(","),
            counts.sent, counts.hedges, counts.retries, counts.probes, notes.join(","),
        );
    }
}
