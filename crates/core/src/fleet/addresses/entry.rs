//! Entries and settings of address answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{ids::DataCentre, view::Reachability};

/// Settings of address answers.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// The maximum number of addresses in one answer.
    pub max_addresses: usize,
    /// The time in which the weight of an entry grows to its full value after the process has
    /// joined.
    pub ramp_time: Duration,
    /// The share of the full weight that an entry starts with, from 0 to 1.
    pub initial_weight: f64,
    /// The maximum factor by which load raises or lowers a weight.
    pub load_factor: f64,
    /// The mean load of a data centre above which some of its callers are sent elsewhere, as a
    /// multiple of the fleet's mean load.
    pub excess_ratio: f64,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            max_addresses: 3,
            ramp_time: Duration::from_secs(10),
            initial_weight: 0.2,
            load_factor: 2.0,
            excess_ratio: 2.0,
        }
    }
}

/// A process that callers may be sent to.
#[derive(Clone, Debug)]
pub struct AddressEntry {
    /// The data centre of the process.
    pub centre: DataCentre,
    /// The address on which the process listens for callers.
    pub address: SocketAddr,
    /// The processor time of the VM, in thousandths of a core; zero if unknown.
    pub capacity: u32,
    /// Whether the process can be used.
    pub reachability: Reachability,
    /// The number of requests in flight that the process last reported.
    pub load: u32,
    /// The time since which the process has answered without interruption; `None` while it does not
    /// answer.
    pub alive_since: Option<Instant>,
}

impl AddressEntry {
    /// Returns the entry's weight among entries whose mean load is `mean`.
    pub(super) fn weight(&self, mean: f64, settings: &AddressSettings, now: Instant) -> f64 {
        let age = self
            .alive_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let grown = age.as_secs_f64() / settings.ramp_time.as_secs_f64();
        let ramp = grown.clamp(settings.initial_weight, 1.0);
        let load = (mean + 1.0) / (f64::from(self.load) + 1.0);
        ramp * load.clamp(1.0 / settings.load_factor, settings.load_factor)
    }
}
