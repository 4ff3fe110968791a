//! Learned latencies: a decaying histogram and a moving average.

mod average;
mod histogram;

pub use average::MovingAverage;
pub use histogram::LatencyHistogram;

#[cfg(test)]
mod tests;
