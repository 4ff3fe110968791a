//! A fake backend server with slots, random service times and faults.

use std::{collections::BTreeSet, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, ServerId},
    policy::outcome::NotRunCause,
};
use rand::{Rng, RngCore};

/// Median service time of a healthy backend server, without pauses.
const SERVICE_MEDIAN: Duration = Duration::from_millis(4);
/// Standard deviation of the natural logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
/// Share of calls that are delayed by a pause of the backend server.
const PAUSE_SHARE: f64 = 0.005;
/// Factor by which a pause lengthens the service time of a call.
const PAUSE_FACTOR: f64 = 4.0;

/// The condition of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// The server runs calls, at this multiple of its usual service time.
    Up(f64),
    /// The server accepts calls and never replies.
    Unresponsive,
    /// The server refuses connections.
    Refusing,
}

/// A fake backend server.
#[derive(Clone, Debug)]
pub(super) struct FakeServer {
    /// The identifier of the server in index documents.
    pub(super) id: ServerId,
    /// The index of the service that the server belongs to.
    pub(super) service: usize,
    /// The current condition.
    pub(super) condition: Condition,
    /// The index versions that the server can serve.
    pub(super) versions: BTreeSet<IndexVersion>,
    /// The number of calls that may run at once.
    pub(super) slots: u32,
    /// The number of calls that are running.
    pub(super) running: u32,
}

impl FakeServer {
    /// Returns whether the server is up at its usual service time.
    #[must_use]
    pub(super) fn is_healthy(&self) -> bool {
        self.condition == Condition::Up(1.0)
    }

    /// Returns why the server refuses a call for an index version, or `None` if it accepts it.
    pub(super) fn refusal(&self, version: IndexVersion) -> Option<NotRunCause> {
        if self.condition == Condition::Refusing {
            return Some(NotRunCause::Connect);
        }
        if !self.versions.contains(&version) {
            let newest = self.versions.last().copied().unwrap_or_default();
            return Some(NotRunCause::VersionGone(newest));
        }
        (self.running >= self.slots).then_some(NotRunCause::Busy)
    }

    /// Returns a random service time for a call, or `None` if the server never replies.
    pub(super) fn service_time(&self, rng: &mut dyn RngCore) -> Option<Duration> {
        let Condition::Up(factor) = self.condition else {
            return None;
        };
        let pause = if rng.random::<f64>() < PAUSE_SHARE {
            PAUSE_FACTOR
        } else {
            1.0
        };
        let spread = (SERVICE_SIGMA * normal(rng)).exp();
        Some(SERVICE_MEDIAN.mul_f64(spread * pause * factor))
    }
}

/// Returns the mean service time of a healthy backend server, including pauses.
#[must_use]
pub fn mean_service_time() -> Duration {
    let pauses = 1.0 + PAUSE_SHARE * (PAUSE_FACTOR - 1.0);
    SERVICE_MEDIAN.mul_f64((SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp() * pauses)
}

/// Returns a sample of the standard normal distribution, by the Box-Muller transform.
fn normal(rng: &mut dyn RngCore) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
