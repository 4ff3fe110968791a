//! The timer service: parts subscribe to ticks and wait for instants through it.

use std::time::{Duration, Instant};

use tokio::time::{Interval, MissedTickBehavior, interval, sleep_until};

/// Hands out ticks and waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer;

/// A subscription to ticks of one period.
#[derive(Debug)]
pub struct Ticks {
    interval: Interval,
}

impl Timer {
    /// Subscribes to a tick every `period`; the first comes at once.
    ///
    /// A subscriber that was late gets one tick, not one for each that it missed.
    ///
    /// # Panics
    /// Panics when `period` is zero or no runtime is running.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let mut interval = interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticks { interval }
    }

    /// Returns the present instant.
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
