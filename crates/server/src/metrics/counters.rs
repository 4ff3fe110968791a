//! Counters by name.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, UdpSocket},
    sync::{
        Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient};

use super::{LatencyBuckets, MetricsError};
use crate::logging::dropped_lines;

const PREFIX: &str = "cassialift";

/// Counters by name.
#[derive(Debug)]
pub struct Metrics {
    statsd: StatsdClient,
    counts: RwLock<HashMap<String, AtomicU64>>,
    latencies: Mutex<BTreeMap<&'static str, LatencyBuckets>>,
}

impl Metrics {
    /// Makes counters that are sent to `statsd`, or nowhere when it is missing.
    ///
    /// # Errors
    /// Returns why the socket could not be opened.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let statsd = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(MetricsError::Socket)?;
                let udp =
                    BufferedUdpMetricSink::from(address, socket).map_err(MetricsError::Sink)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(udp))
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
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

    /// Adds to a counter.
    ///
    /// # Panics
    /// Panics when another thread panicked while it added a name.
    pub fn add(&self, name: &str, amount: u64) {
        // Statsd is sent over UDP; a lost datagram is no failure of this process.
        drop(self.statsd.count(name, amount));
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

    /// Adds a latency to a histogram.
    pub fn observe(&self, name: &'static str, latency: Duration) {
        // The buckets are whole between any two steps.
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies.entry(name).or_default().add(latency);
    }

    /// Returns counters and histograms as text, one value a line.
    ///
    /// A histogram has a line for each bucket, with the number of latencies up to that many
    /// milliseconds, and the number and the sum of all.
    #[must_use]
    pub fn page(&self) -> String {
        let counters = self.snapshot().into_iter();
        let mut lines: Vec<String> = counters
            .map(|(name, count)| format!("{} {count}", metric_name(&name)))
            .collect();
        // The log counts by itself, as it never waits for anything.
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

    /// Returns all counters.
    ///
    /// # Panics
    /// Panics when another thread panicked while it added a name.
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

/// Returns a name in the letters that metric names may have.
fn metric_name(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let name: String = name.chars().map(plain).collect();
    format!("{PREFIX}_{name}")
}
