//! The adaptive concurrency limit towards one backend server.

use std::time::{Duration, Instant};

use super::{latency::MovingAverage, outcome::CallOutcome};

/// The factor that a shed reply or high latency multiplies the limit by.
const DECREASE: f64 = 0.7;
/// The least time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(200);
/// How much the limit grows a second while nothing speaks against it.
const INCREASE_PER_SECOND: f64 = 0.5;
/// How long the limit rests after the first decrease before it grows again.
const REST: Duration = Duration::from_millis(500);
/// The longest rest.
const REST_MAX: Duration = Duration::from_secs(8);
/// The factor over the lowest average service time from which latency counts as overload.
const SLOW_FACTOR: f64 = 3.0;
/// The most that one call counts in the average service time, a factor over the lowest average.
///
/// A few calls that were held up while a backend server was frozen say nothing of its concurrency.
const SLOWEST_SAMPLE: f64 = 6.0;
/// The weight of a call in the average service time; a noisy average has too low a floor.
const SERVICE_WEIGHT: f64 = 0.02;
/// The service times seen below which latency decides nothing.
const SLOW_SAMPLES: u32 = 50;
/// How fast the remembered lowest service time rises, a share a call.
const FLOOR_RISE: f64 = 0.000_2;

/// The adaptive concurrency limit towards one backend server, between 1 and its slots.
///
/// Additive increase, multiplicative decrease. Each decrease soon after a growth doubles the rest
/// before the next growth, so that the limit settles below a level that sheds.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    level: f64,
    service: MovingAverage,
    floor: Option<Duration>,
    updated: Instant,
    decreased: Option<Instant>,
    rest: Duration,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at all slots.
    #[must_use]
    pub fn new(slots: u32, now: Instant) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            level: f64::from(slots),
            service: MovingAverage::new(SERVICE_WEIGHT),
            floor: None,
            updated: now,
            decreased: None,
            rest: REST,
        }
    }

    /// Takes over a new number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots > self.slots && self.decreased.is_none() {
            self.level = f64::from(slots);
        }
        self.slots = slots;
        self.level = self.level.min(f64::from(slots));
    }

    /// Returns how many calls may be at the backend server at once.
    #[must_use]
    pub fn get(&self) -> u32 {
        (1..=self.slots)
            .rev()
            .find(|&limit| f64::from(limit) <= self.level)
            .unwrap_or(1)
    }

    /// Notes what came of a call and how long the backend server took for it.
    pub fn on_reply(&mut self, outcome: CallOutcome, service: Duration, now: Instant) {
        self.grow(now);
        match outcome {
            CallOutcome::Done(_) => self.on_service(service, now),
            _ if outcome.is_shed() => self.decrease(now),
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => {}
        }
    }

    /// Lets the limit grow with time.
    pub fn grow(&mut self, now: Instant) {
        let rested = self.decreased.map_or(self.updated, |at| at + self.rest);
        let from = self.updated.max(rested);
        let grown = now.saturating_duration_since(from).as_secs_f64();
        self.updated = self.updated.max(now);
        let full = f64::from(self.slots);
        self.level = (self.level + grown * INCREASE_PER_SECOND).min(full);
        if self.level >= full && self.decreased.is_some_and(|at| now > at + REST_MAX * 2) {
            self.decreased = None;
            self.rest = REST;
        }
    }

    fn on_service(&mut self, service: Duration, now: Instant) {
        let most = self.floor.map(|floor| floor.mul_f64(SLOWEST_SAMPLE));
        self.service.add(service.min(most.unwrap_or(service)));
        let Some(average) = self.service.get() else {
            return;
        };
        if self.service.samples() < SLOW_SAMPLES {
            return;
        }
        let floor = self.floor.map_or(average, |floor| floor.min(average));
        self.floor = Some(floor.mul_f64(1.0 + FLOOR_RISE));
        if average > floor.mul_f64(SLOW_FACTOR) {
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: Instant) {
        if let Some(at) = self.decreased {
            if now.saturating_duration_since(at) < DECREASE_PAUSE {
                return;
            }
            // Only a growth that proved too much is answered by a longer rest.
            if now > at + self.rest {
                self.rest = (self.rest * 2).min(REST_MAX);
            }
        }
        self.decreased = Some(now);
        self.level = (self.level * DECREASE).max(1.0);
    }
}
