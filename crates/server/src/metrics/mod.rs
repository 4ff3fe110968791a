//! Counters, kept in memory for the operators' protocol and sent to statsd when one is set.

mod counters;
mod error;
mod latency;

pub use counters::Metrics;
pub use error::MetricsError;
use latency::LatencyBuckets;
