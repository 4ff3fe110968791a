//! Errors of sending metrics.

use displaydoc::Display;

/// The reason why metrics cannot be sent.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// cannot open a socket for metrics: {0}
    Socket(std::io::Error),
    /// cannot use the statsd address: {0}
    Sink(cadence::MetricError),
}

impl std::error::Error for MetricsError {}
