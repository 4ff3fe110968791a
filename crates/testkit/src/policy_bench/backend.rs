//! A fake backend server: slots, a service time distribution, faults.

use std::{collections::BTreeSet, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, ServerId},
    policy::outcome::NotRunCause,
};
use rand::{Rng, RngCore};

/// The median service time.
const SERVICE_MEDIAN: Duration = Duration::from_millis(4);
/// The standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
/// The share of calls that meet a pause of the backend server.
const PAUSE_SHARE: f64 = 0.005;
/// How much longer those take.
const PAUSE_FACTOR: f64 = 4.0;

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Condition {
    /// It takes this many times its usual service time.
    Up(f64),
    /// It takes calls and never replies.
    Unresponsive,
    /// It refuses connections.
    Refusing,
}

/// A fake backend server.
#[derive(Clone, Debug)]
pub(super) struct FakeServer {
    /// Its name.
    pub(super) id: ServerId,
    /// The service that it belongs to.
    pub(super) service: usize,
    /// How it behaves.
    pub(super) condition: Condition,
    /// The index versions that it holds.
    pub(super) versions: BTreeSet<IndexVersion>,
    /// The calls that it may run at once.
    pub(super) slots: u32,
    /// The calls that it runs.
    pub(super) running: u32,
}

impl FakeServer {
    /// Returns whether it is well.
    #[must_use]
    pub(super) fn is_healthy(&self) -> bool {
        self.condition == Condition::Up(1.0)
    }

    /// Returns why it refuses a call that reaches it; none when it takes the call.
    pub(super) fn refusal(&self, version: IndexVersion) -> Option<NotRunCause> {
        if self.condition == Condition::Refusing {
            return Some(NotRunCause::Connect);
        }
        if !self.versions.contains(&version) {
            let held = self.versions.last().copied().unwrap_or_default();
            return Some(NotRunCause::VersionGone(held));
        }
        (self.running >= self.slots).then_some(NotRunCause::Busy)
    }

    /// Draws the time that a call takes; none when it never ends.
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

/// Returns the mean service time of a backend server that is well.
#[must_use]
pub fn mean_service_time() -> Duration {
    let pauses = 1.0 + PAUSE_SHARE * (PAUSE_FACTOR - 1.0);
    SERVICE_MEDIAN.mul_f64((SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp() * pauses)
}

/// Draws from the standard normal distribution by the Box-Muller method.
fn normal(rng: &mut dyn RngCore) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
