//! The rate that a backend server states as its limit.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// The highest rate, in calls per 1,000 seconds. It limits nothing.
const MAX_MILLIS: u64 = 1_000_000_000;
/// The lowest rate, in calls per 1,000 seconds. A server that takes nothing at all still gets a call
/// now and then, whose reply tells when the limit ends.
const MIN_MILLIS: u64 = 100;

/// A number of calls a second, between one in ten seconds and a million.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallRate {
    /// Calls per 1,000 seconds.
    millis: u64,
}

impl CallRate {
    /// Returns the rate of this many calls a second, moved into the range of rates; `None` for a
    /// negative number or no number.
    #[must_use]
    pub fn per_second(calls: f64) -> Option<Self> {
        if calls.is_nan() || calls < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and larger numbers become the highest rate"
        )]
        let millis = (calls * 1_000.0).round() as u64;
        let millis = millis.clamp(MIN_MILLIS, MAX_MILLIS);
        Some(Self { millis })
    }

    /// Returns the number of calls that the rate allows in a time.
    #[must_use]
    pub fn calls_in(self, time: Duration) -> f64 {
        self.as_f64() * time.as_secs_f64()
    }

    /// Returns the time that the rate takes for one call.
    #[must_use]
    pub fn period(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_f64())
    }

    /// Returns a share of the rate.
    #[must_use]
    pub fn share(self, share: f64) -> Self {
        Self::per_second(self.as_f64() * share).unwrap_or(self)
    }

    /// Returns the number of calls a second.
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    pub(crate) const fn as_f64(self) -> f64 {
        self.millis as f64 / 1_000.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls a second", self.as_f64())
    }
}

/// What a reply states about the limit of its backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedLimit {
    /// Nothing: there is no reply, or it need not be the backend server's own.
    #[default]
    Unknown,
    /// The backend server states no limit.
    Unlimited,
    /// The backend server takes this many calls from all VMs together.
    Limited(CallRate),
}
