//! An exponentially weighted moving average of durations.

use std::time::Duration;

/// The default weight of a new sample once the average has settled.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average. The first samples weigh more, so that the average
/// settles fast.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: Duration,
    samples: u32,
    weight: f64,
}

impl Default for MovingAverage {
    fn default() -> Self {
        Self::new(SAMPLE_WEIGHT)
    }
}

impl MovingAverage {
    /// Creates an average that gives a new sample this weight, 0 to 1, once it has settled.
    #[must_use]
    pub const fn new(weight: f64) -> Self {
        Self {
            value: Duration::ZERO,
            samples: 0,
            weight,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        self.value = self.value.mul_f64(1.0 - weight) + sample.mul_f64(weight);
    }

    /// Returns the average, or `None` before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        if self.samples == 0 {
            return None;
        }
        Some(self.value)
    }

    /// Returns the number of samples.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Drops all samples.
    pub const fn reset(&mut self) {
        *self = Self::new(self.weight);
    }
}
