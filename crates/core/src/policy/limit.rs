//! The adaptive concurrency limit of one backend server.

use std::time::{Duration, Instant};

use super::{latency::MovingAverage, outcome::CallOutcome};

/// The factor by which a shed call or high latency multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// The minimum time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// The growth of the limit per second, except during a pause after a decrease.
const INCREASE_PER_SECOND: f64 = 0.5;
/// The initial time after a decrease before the limit grows again.
const GROWTH_PAUSE: Duration = Duration::from_millis(500);
/// The maximum time after a decrease before the limit grows again.
const GROWTH_PAUSE_MAX: Duration = Duration::from_secs(8);
/// The multiple of the lowest average service time above which latency counts as overload.
const SLOW_FACTOR: f64 = 3.0;
/// The maximum service time that is counted for one call, as a multiple of the lowest average.
///
/// A few calls that were delayed while a backend server was frozen do not show how many calls it
/// can run at once.
const SAMPLE_CAP_FACTOR: f64 = 6.0;
/// The weight of a call in the average service time. A larger weight makes the average noisy, and
/// the lowest value of a noisy average is too low.
const SERVICE_WEIGHT: f64 = 0.02;
/// The number of service times below which latency does not change the limit.
const MIN_SAMPLES: u32 = 50;
/// The share by which the remembered lowest service time rises with each call.
const MIN_SERVICE_RISE: f64 = 0.000_2;

/// The adaptive concurrency limit of one backend server, between 1 and its slots.
///
/// The limit follows additive increase, multiplicative decrease. A decrease after the limit has
/// grown again doubles the pause before the next growth, so that the limit settles below the level
/// at which the backend server sheds load.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    level: f64,
    service: MovingAverage,
    min_service: Option<Duration>,
    updated_at: Instant,
    decreased_at: Option<Instant>,
    growth_pause: Duration,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at all slots.
    #[must_use]
    pub fn new(slots: u32, now: Instant) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            level: f64::from(slots),
            service: MovingAverage::new(SERVICE_WEIGHT),
            min_service: None,
            updated_at: now,
            decreased_at: None,
            growth_pause: GROWTH_PAUSE,
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots > self.slots && self.decreased_at.is_none() {
            self.level = f64::from(slots);
        }
        self.slots = slots;
        self.level = self.level.min(f64::from(slots));
    }

    /// Returns the number of calls that may run at the backend server at once.
    #[must_use]
    pub fn get(&self) -> u32 {
        (1..=self.slots)
            .rev()
            .find(|&limit| f64::from(limit) <= self.level)
            .unwrap_or(1)
    }

    /// Records the outcome of a call and the time that the backend server took for the call.
    pub fn on_reply(&mut self, outcome: CallOutcome, service: Duration, now: Instant) {
        self.grow(now);
        match outcome {
            CallOutcome::Done(_) => self.on_service(service, now),
            _ if outcome.is_shed() => self.decrease(now),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => {}
        }
    }

    /// Raises the limit for the time since the last update.
    pub fn grow(&mut self, now: Instant) {
        let resumes_at = self
            .decreased_at
            .map_or(self.updated_at, |at| at + self.growth_pause);
        let from = self.updated_at.max(resumes_at);
        let elapsed = now.saturating_duration_since(from).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let slots = f64::from(self.slots);
        self.level = (self.level + elapsed * INCREASE_PER_SECOND).min(slots);
        if self.level >= slots
            && self
                .decreased_at
                .is_some_and(|at| now > at + GROWTH_PAUSE_MAX * 2)
        {
            self.decreased_at = None;
            self.growth_pause = GROWTH_PAUSE;
        }
    }

    fn on_service(&mut self, service: Duration, now: Instant) {
        let cap = self
            .min_service
            .map(|min_service| min_service.mul_f64(SAMPLE_CAP_FACTOR));
        self.service.add(service.min(cap.unwrap_or(service)));
        let Some(average) = self.service.get() else {
            return;
        };
        if self.service.samples() < MIN_SAMPLES {
            return;
        }
        let min_service = self
            .min_service
            .map_or(average, |min_service| min_service.min(average));
        self.min_service = Some(min_service.mul_f64(1.0 + MIN_SERVICE_RISE));
        if average > min_service.mul_f64(SLOW_FACTOR) {
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: Instant) {
        if let Some(at) = self.decreased_at {
            if now.saturating_duration_since(at) < DECREASE_INTERVAL {
                return;
            }
            // The pause gets longer only if the limit had started to grow again, because then it
            // grew too far.
            if now > at + self.growth_pause {
                self.growth_pause = (self.growth_pause * 2).min(GROWTH_PAUSE_MAX);
            }
        }
        self.decreased_at = Some(now);
        self.level = (self.level * DECREASE_FACTOR).max(1.0);
    }
}
