//! A histogram of latencies in which old samples lose weight.

use std::time::Duration;

/// The base-2 logarithm of the lower bound of the histogram in microseconds, 64 us.
const MIN_EXPONENT: u32 = 6;
/// The base-2 logarithm of the number of buckets per doubling.
const SUB_BITS: u32 = 3;
/// The number of doublings covered, up to 67 s.
const DOUBLINGS: u32 = 20;
/// The number of buckets.
const BUCKETS: usize = (DOUBLINGS << SUB_BITS) as usize;
/// The sample count at which all buckets are halved.
const WINDOW_SAMPLES: u32 = 1_024;

/// A histogram with eight buckets per doubling. All counts are halved whenever the window is full,
/// so that old samples lose weight.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    buckets: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        self.buckets[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= WINDOW_SAMPLES {
            self.halve();
        }
    }

    /// Returns the latency below which a share `quantile` of the samples lies, accurate to 12.5 %.
    ///
    /// Returns `None` before `min_samples` samples were added.
    #[must_use]
    pub fn quantile(&self, quantile: f64, min_samples: u32) -> Option<Duration> {
        if self.total < min_samples.max(1) {
            return None;
        }
        let rank = f64::from(self.total) * quantile.clamp(0.0, 1.0);
        let mut seen = 0_u32;
        for (index, count) in self.buckets.iter().enumerate() {
            seen += count;
            if *count > 0 && f64::from(seen) >= rank {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.buckets {
            *count /= 2;
            self.total += *count;
        }
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros())
        .unwrap_or(u64::MAX)
        .max(1 << MIN_EXPONENT);
    let exponent = micros.ilog2();
    let sub = (micros >> (exponent - SUB_BITS)) & ((1 << SUB_BITS) - 1);
    let index = (u64::from(exponent - MIN_EXPONENT) << SUB_BITS) + sub;
    usize::try_from(index).map_or(BUCKETS - 1, |index| index.min(BUCKETS - 1))
}

fn upper_bound(index: usize) -> Duration {
    let exponent = (index >> SUB_BITS) + MIN_EXPONENT as usize;
    let sub = (index & ((1 << SUB_BITS) - 1)) as u64;
    let width = 1_u64 << (exponent - SUB_BITS as usize);
    Duration::from_micros((1 << exponent) + (sub + 1) * width)
}
