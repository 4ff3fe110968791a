//! Counters by name.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, UdpSocket},
    sync::{
        RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

use cadence::{BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient};

use super::MetricsError;

const PREFIX: &str = "cassialift";

/// Counters by name.
#[derive(Debug)]
pub struct Metrics {
    statsd: StatsdClient,
    counts: RwLock<HashMap<String, AtomicU64>>,
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
        let counts = RwLock::default();
        Ok(Self { statsd, counts })
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
