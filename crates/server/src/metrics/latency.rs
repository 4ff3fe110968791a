//! Latency histograms for the metrics page.

use std::time::Duration;

/// The upper bounds of the buckets, in milliseconds.
const BOUNDS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/// A histogram of latencies: the number in each bucket, and the number and sum of all.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyBuckets {
    counts: [u64; BOUNDS.len()],
    count: u64,
    sum: Duration,
}

impl LatencyBuckets {
    pub(super) fn add(&mut self, latency: Duration) {
        let within = |bound: &u64| latency <= Duration::from_millis(*bound);
        if let Some(index) = BOUNDS.iter().position(within) {
            self.counts[index] += 1;
        }
        self.count += 1;
        self.sum += latency;
    }

    /// Returns the lines of the histogram. Each bucket counts all latencies up to its bound.
    pub(super) fn lines(&self, name: &str) -> Vec<String> {
        let mut cumulative = 0;
        let mut lines = Vec::new();
        for (bound, count) in BOUNDS.iter().zip(self.counts) {
            cumulative += count;
            lines.push(format!("{name}_bucket{{le=\"{bound}\"}} {cumulative}"));
        }
        lines.push(format!("{name}_count {}", self.count));
        lines.push(format!("{name}_sum {}", self.sum.as_millis()));
        lines
    }
}
