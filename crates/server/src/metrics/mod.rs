//! Counters and latency histograms, kept in memory for the operators' protocol. Counters are also
//! sent to a statsd server if the settings name one.

mod counters;
mod error;
mod latency;

pub use counters::Metrics;
pub use error::MetricsError;
use latency::LatencyBuckets;
