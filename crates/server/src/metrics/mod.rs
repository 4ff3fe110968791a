//! Counters, kept in memory for the operators' protocol and sent to statsd when one is set.

mod counters;
mod error;

pub use counters::Metrics;
pub use error::MetricsError;
