//! The processes that callers may be sent to.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{ids::DataCentre, view::Reachability};

/// Bounds on address answers.
#[derive(Clone, Debug)]
pub struct AddressSettings {
    /// The most addresses of one answer.
    pub max_addresses: usize,
    /// How long the weight of an entry that has joined takes to grow to its full value.
    pub ramp_time: Duration,
    /// The share of its full weight that an entry starts with, 0 to 1.
    pub initial_weight: f64,
    /// The largest factor that load changes a weight by, in either direction.
    pub load_factor: f64,
    /// How many times the mean load of the fleet the caller's own data centre may carry before
    /// some of its callers are sent elsewhere.
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
    /// Its data centre.
    pub centre: DataCentre,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// The processor time that its VM has, thousandths of a core; zero when that is not known.
    pub capacity: u32,
    /// Whether it can be used.
    pub reachability: Reachability,
    /// The requests that it last said were in flight.
    pub load: u32,
    /// Since when it has answered without a break; none while it does not.
    pub alive_since: Option<Instant>,
}

impl AddressEntry {
    /// Returns the entry's weight among entries of the mean load `mean`.
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
