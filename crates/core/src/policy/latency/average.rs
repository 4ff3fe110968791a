//! An exponentially weighted moving average of durations.

use std::time::Duration;

/// The weight of a new sample once the average has settled.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average; the first samples weigh more, so that it settles fast.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: Duration,
    samples: u32,
}

impl MovingAverage {
    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value = self.value.mul_f64(1.0 - weight) + sample.mul_f64(weight);
    }

    /// Returns the average; none before the first sample.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        if self.samples == 0 {
            return None;
        }
        Some(self.value)
    }

    /// Returns how many samples were added.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Forgets all samples.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
