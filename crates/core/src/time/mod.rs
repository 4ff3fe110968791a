//! Durations as they are written in settings and messages.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration that is written as a whole number of milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Millis(pub Duration);

impl Millis {
    /// Creates a duration of `millis` milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}

impl From<u64> for Millis {
    fn from(millis: u64) -> Self {
        Self::new(millis)
    }
}

impl From<Millis> for u64 {
    fn from(value: Millis) -> Self {
        Self::try_from(value.0.as_millis()).unwrap_or(Self::MAX)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl From<Millis> for Duration {
    fn from(value: Millis) -> Self {
        value.0
    }
}

/// A duration that is written as a number of seconds, which may have a fraction.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Seconds(pub Duration);

impl TryFrom<f64> for Seconds {
    type Error = std::time::TryFromFloatSecsError;

    fn try_from(seconds: f64) -> Result<Self, Self::Error> {
        Duration::try_from_secs_f64(seconds).map(Self)
    }
}

impl From<Seconds> for f64 {
    fn from(value: Seconds) -> Self {
        value.0.as_secs_f64()
    }
}
