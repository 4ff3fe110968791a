//! The timer service, through which parts subscribe to ticks and wait for instants.

use std::time::{Duration, Instant};

use tokio::time::{Interval, MissedTickBehavior, interval, sleep_until};

/// The timer service. All uses share the clock of the tokio runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer;

/// A subscription to periodic ticks.
#[derive(Debug)]
pub struct Ticks {
    interval: Interval,
}

impl Timer {
    /// Subscribes to a tick every `period`. The first tick comes at once.
    ///
    /// A subscriber that was late gets a single tick, not one for each that it missed.
    ///
    /// # Panics
    /// Panics if `period` is zero or no runtime is running.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let mut interval = interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticks { interval }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    /// Waits until an instant.
    pub async fn at(&self, instant: Instant) {
        sleep_until(instant.into()).await;
    }

    /// Waits for a duration.
    pub async fn after(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

impl Ticks {
    /// Waits for the next tick and returns its instant.
    pub async fn next(&mut self) -> Instant {
        self.interval.tick().await.into_std()
    }
}
