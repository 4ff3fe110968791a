//! Counters and latency histograms by name.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, UdpSocket},
    sync::{
        Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient};

use super::{LatencyBuckets, MetricsError};
use crate::logging::dropped_lines;

const PREFIX: &str = "cassialift";

/// Counters and latency histograms by name.
#[derive(Debug)]
pub struct Metrics {
    /// The client that sends counters; `None` without an address.
    statsd: Option<StatsdClient>,
    counts: RwLock<HashMap<String, AtomicU64>>,
    latencies: Mutex<BTreeMap<&'static str, LatencyBuckets>>,
}

impl Metrics {
    /// Creates empty metrics whose counters are also sent to `statsd`, if an address is given.
    ///
    /// # Errors
    /// Returns an error if the socket could not be opened or the address could not be used.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let statsd = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(MetricsError::Socket)?;
                let udp =
                    BufferedUdpMetricSink::from(address, socket).map_err(MetricsError::Sink)?;
                let sink = QueuingMetricSink::from(udp);
                Some(StatsdClient::from_sink(PREFIX, sink))
            }
            None => None,
        };
        Ok(Self {
            statsd,
            counts: RwLock::default(),
            latencies: Mutex::default(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds an amount to a counter.
    ///
    /// # Panics
    /// Panics if another thread panicked while it added a counter.
    pub fn add(&self, name: &str, amount: u64) {
        if let Some(statsd) = &self.statsd {
            // Statsd uses UDP, and a lost datagram is not a failure of this process, so errors are
            // ignored.
            drop(statsd.count(name, amount));
        }
        let counts = self
            .counts
            .read()
            .expect("no thread panics holding the lock");
        if let Some(count) = counts.get(name) {
            count.fetch_add(amount, Ordering::Relaxed);
            return;
        }
        drop(counts);
        let mut counts = self
            .counts
            .write()
            .expect("no thread panics holding the lock");
        let count = counts.entry(name.to_owned()).or_default();
        count.fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds a latency to the histogram of this name.
    pub fn observe(&self, name: &'static str, latency: Duration) {
        // A panic of another thread leaves the buckets consistent, so a poisoned lock is used.
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.entry(name).or_default().add(latency);
    }

    /// Returns the metrics page: all counters and histograms as text, one value per line.
    ///
    /// A histogram has one line for each bucket, with the number of latencies up to the bucket's
    /// bound in milliseconds, and lines for the number and the sum of all its latencies.
    #[must_use]
    pub fn page(&self) -> String {
        let counters = self.snapshot().into_iter();
        let mut lines: Vec<String> = counters
            .map(|(name, count)| format!("{} {count}", metric_name(&name)))
            .collect();
        // The log keeps its own count, as it must never wait for a lock.
        lines.push(format!(
            "{} {}",
            metric_name("log.dropped"),
            dropped_lines()
        ));
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, buckets) in latencies.iter() {
            lines.extend(buckets.lines(&metric_name(name)));
        }
        lines.push(String::new());
        lines.join("\n")
    }

    /// Returns the values of all counters.
    ///
    /// # Panics
    /// Panics if another thread panicked while it added a counter.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let counts = self
            .counts
            .read()
            .expect("no thread panics holding the lock");
        let pairs = counts.iter();
        pairs
            .map(|(name, count)| (name.clone(), count.load(Ordering::Relaxed)))
            .collect()
    }
}

/// Returns the metric name of a counter or histogram: its name with the prefix, and with
/// characters that metric names may not contain replaced by underscores.
fn metric_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let name: String = name.chars().map(plain).collect();
    format!("{PREFIX}_{name}")
}
