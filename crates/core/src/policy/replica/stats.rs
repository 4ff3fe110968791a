//! What is learned of one backend server.

use std::time::{Duration, Instant};

use crate::policy::latency::MovingAverage;

/// The successive faults or overdue calls after which a backend server is ejected.
const EJECT_FAULTS: u32 = 3;
/// The successive calls that lost against their hedge after which a backend server is ejected.
const EJECT_LOSSES: u32 = 4;
/// How long an ejected backend server waits for its first probe.
const PROBE_DELAY: Duration = Duration::from_millis(500);
/// The longest wait between two probes.
const PROBE_DELAY_MAX: Duration = Duration::from_secs(1);
/// How long a returning backend server takes to get its full share of calls.
const RAMP_TIME: Duration = Duration::from_secs(3);
/// The share of calls that a returning backend server starts with.
const RAMP_START: f64 = 0.1;
/// How long a backend server that said it is leaving gets no call.
const LEAVING_HOLD: Duration = Duration::from_secs(30);
/// How long a health claim is taken for news.
const HEALTH_AGE: Duration = Duration::from_secs(10);
/// How long a call that gave rows outweighs any health claim.
const PROOF_AGE: Duration = Duration::from_secs(1);
/// How much longer a call is assumed to have taken that was cancelled before its reply.
const CENSORED_FACTOR: u32 = 2;
/// The longest wait at an owner that is believed; a longer one would hold back the calls whose
/// replies correct it.
const MOST_WAIT: Duration = Duration::from_secs(2);
/// The successive refusals that are counted at most.
const MOST_REFUSALS: u32 = 16;
/// How long without a sample until a learned latency, or the last refusal, is half forgotten.
const STALE_TIME: Duration = Duration::from_secs(2);

/// What a backend server's health endpoint claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedHealth {
    /// Takes work at full speed.
    Ready,
    /// Takes work, but its caches are cold.
    Warming,
    /// Takes no new work.
    Leaving,
    /// Asks for no work.
    Unhealthy,
}

/// Whether a backend server gets calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// It gets its full share.
    Active,
    /// It gets a growing share since this time.
    Ramp(Instant),
    /// It gets probes only, the next at this time.
    Ejected(Instant),
}

/// What is learned of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaStats {
    /// The slots that the platform publishes.
    pub(crate) slots: u32,
    /// Whether the platform publishes it as leaving.
    pub(crate) listed_leaving: bool,
    /// What is added to its expected latency when replicas are compared.
    pub(crate) penalty: Duration,
    /// Whether calls that lost to their hedges together count as one loss.
    pub(crate) may_pause: bool,
    /// Whether it gets calls.
    pub(crate) state: ReplicaState,
    /// Calls of this entry without a reply.
    pub(crate) in_flight: u32,
    service: MovingAverage,
    sampled: Option<Instant>,
    proved: Option<Instant>,
    queued: u32,
    wait: Duration,
    told: Option<Instant>,
    faults: u32,
    losses: u32,
    /// When the last loss was noted.
    lost: Option<Instant>,
    refusals: u32,
    refused: Option<Instant>,
    probe_delay: Duration,
    left: Option<Instant>,
    claim: Option<(ReportedHealth, Instant)>,
}

impl ReplicaStats {
    pub(crate) fn new(slots: u32, state: ReplicaState) -> Self {
        Self {
            slots: slots.max(1),
            listed_leaving: false,
            penalty: Duration::ZERO,
            may_pause: false,
            state,
            in_flight: 0,
            service: MovingAverage::default(),
            sampled: None,
            proved: None,
            queued: 0,
            wait: Duration::ZERO,
            told: None,
            faults: 0,
            losses: 0,
            lost: None,
            refusals: 0,
            refused: None,
            probe_delay: PROBE_DELAY,
            left: None,
            claim: None,
        }
    }

    /// Notes the queue that the owner told with a reply; returns whether calls waited there
    /// before it or with it.
    pub(crate) fn on_queue(&mut self, queued: u32, wait: Duration, now: Instant) -> bool {
        let waited = self.queue(now) >= 1.0;
        self.queued = queued;
        self.wait = wait.min(MOST_WAIT);
        self.told = Some(now);
        waited || queued > 0
    }

    /// Notes a call that gave rows, and whether it waited in the owner's queue.
    ///
    /// The latency of a call that waited tells of the queue, not of the backend server, so that it
    /// counts only while nothing better is known.
    pub(crate) fn on_done(&mut self, latency: Duration, waited: bool, now: Instant) {
        self.faults = 0;
        self.losses = 0;
        self.refusals /= 2;
        self.proved = Some(now);
        if !waited {
            self.add_sample(latency, now);
        } else if self.service.samples() == 0 {
            self.add_sample(latency.div_f64(1.0 + self.queue_turns(now)), now);
        }
    }

    /// Notes a fault or an overdue call.
    pub(crate) fn on_fault(&mut self, now: Instant) {
        self.faults = self.faults.saturating_add(1);
        match self.state {
            ReplicaState::Active | ReplicaState::Ramp(_) if self.faults >= EJECT_FAULTS => {
                self.eject(now);
            }
            ReplicaState::Ejected(_) => self.postpone_probe(now),
            ReplicaState::Active | ReplicaState::Ramp(_) => {}
        }
    }

    /// Notes a call that it, or its owner, refused to run.
    pub(crate) fn on_refused(&mut self, now: Instant) {
        self.refusals = (self.refusals + 1).min(MOST_REFUSALS);
        self.refused = Some(now);
    }

    /// Notes a call that was cancelled without a reply; it would have taken longer than `elapsed`.
    pub(crate) fn on_cancelled(&mut self, elapsed: Duration, now: Instant) {
        let least = elapsed * CENSORED_FACTOR;
        let known = self.service.get().unwrap_or_default();
        if least <= known || known.is_zero() || self.queue(now) >= 1.0 {
            return;
        }
        let sent = now.checked_sub(elapsed);
        if sent.is_some_and(|sent| self.gave_rows_since(sent)) {
            return;
        }
        self.add_sample(least, now);
        // Calls that were under way together lost to one and the same pause.
        let together = |lost| sent.is_none_or(|sent| sent < lost);
        if self.may_pause && self.lost.is_some_and(together) {
            return;
        }
        self.lost = Some(now);
        self.losses += 1;
        if self.losses >= EJECT_LOSSES {
            self.eject(now);
        }
    }

    /// Returns whether a call to it gave rows after this time.
    pub(crate) fn gave_rows_since(&self, time: Instant) -> bool {
        self.proved.is_some_and(|at| at > time)
    }

    /// Notes that the backend server itself refused work because it is leaving.
    pub(crate) fn on_leaving(&mut self, now: Instant) {
        self.left = Some(now);
    }

    /// Notes what the health endpoint claims.
    pub(crate) fn on_health(&mut self, claim: ReportedHealth, now: Instant) {
        self.claim = Some((claim, now));
    }

    /// Stops calls other than probes.
    pub(crate) fn eject(&mut self, now: Instant) {
        if matches!(self.state, ReplicaState::Ejected(_)) {
            return;
        }
        self.probe_delay = PROBE_DELAY;
        self.state = ReplicaState::Ejected(now + self.probe_delay);
    }

    /// Lets calls return, a growing share of them.
    pub(crate) fn readmit(&mut self, now: Instant) {
        self.faults = 0;
        self.losses = 0;
        self.probe_delay = PROBE_DELAY;
        self.service.reset();
        self.state = ReplicaState::Ramp(now);
    }

    /// Puts off the next probe, twice as long each time.
    pub(crate) fn postpone_probe(&mut self, now: Instant) {
        self.probe_delay = (self.probe_delay * 2).min(PROBE_DELAY_MAX);
        self.state = ReplicaState::Ejected(now + self.probe_delay);
    }

    /// Returns whether a probe is due.
    pub(crate) fn wants_probe(&self, now: Instant) -> bool {
        matches!(self.state, ReplicaState::Ejected(at) if at <= now) && self.in_flight == 0
    }

    /// Returns whether it must get no call at all.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let held = |left: Instant| now.saturating_duration_since(left) < LEAVING_HOLD;
        self.listed_leaving || self.left.is_some_and(held)
    }

    /// Returns the share of calls that it may get, 0 to 1.
    pub(crate) fn ramp(&self, now: Instant) -> f64 {
        match self.state {
            ReplicaState::Active => 1.0,
            ReplicaState::Ejected(_) => 0.0,
            ReplicaState::Ramp(since) => {
                let age = now.saturating_duration_since(since);
                (age.as_secs_f64() / RAMP_TIME.as_secs_f64()).clamp(RAMP_START, 1.0)
            }
        }
    }

    /// Ends a ramp that is over.
    pub(crate) fn settle(&mut self, now: Instant) {
        if matches!(self.state, ReplicaState::Ramp(_)) && self.ramp(now) >= 1.0 {
            self.state = ReplicaState::Active;
        }
    }

    /// Returns the calls that wait at the owner, less those run since it told.
    pub(crate) fn queue(&self, now: Instant) -> f64 {
        let Some(told) = self.told else {
            return 0.0;
        };
        let age = now.saturating_duration_since(told).as_secs_f64();
        if !self.wait.is_zero() {
            let left = 1.0 - age / self.wait.as_secs_f64();
            return f64::from(self.queued) * left.max(0.0);
        }
        let service = self.service.get().unwrap_or_default().as_secs_f64();
        let drained = age * f64::from(self.slots) / service.max(1e-4);
        (f64::from(self.queued) - drained).max(0.0)
    }

    /// Returns how long one more call would wait at the owner: what the owner told, less the time
    /// since.
    ///
    /// The learned latency holds the way to the owner as well, so that it would give too long a
    /// wait; it stands in until the owner has learned how long calls take.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        if let Some(told) = self.told
            && !self.wait.is_zero()
        {
            let age = now.saturating_duration_since(told);
            return self.wait.saturating_sub(age);
        }
        self.least_service(now).mul_f64(self.queue_turns(now))
    }

    /// Returns the latency without queueing; none before the first sample.
    pub(crate) fn service(&self) -> Option<Duration> {
        self.service.get()
    }

    /// Returns how many latencies were seen.
    pub(crate) const fn samples(&self) -> u32 {
        self.service.samples()
    }

    /// Returns the latency without queueing, drawn to `usual` as the last sample ages.
    pub(crate) fn fresh_service(&self, usual: Duration, now: Instant) -> Duration {
        let Some(service) = self.service.get() else {
            return usual;
        };
        let trust = trust(self.sampled, now);
        service.mul_f64(trust) + usual.mul_f64(1.0 - trust)
    }

    /// Returns the latency without queueing that speaks against sending a call: it shrinks as the
    /// last sample ages.
    ///
    /// Calls bring the only samples, so a latency that holds calls back must lapse by itself.
    pub(crate) fn least_service(&self, now: Instant) -> Duration {
        self.fresh_service(Duration::ZERO, now)
    }

    /// Returns the factor by which refusals lengthen the expected latency.
    ///
    /// A refusal comes faster than any reply with rows, but the call has to be sent again.
    pub(crate) fn refusal_factor(&self, now: Instant) -> f64 {
        1.0 + f64::from(self.refusals) * trust(self.refused, now)
    }

    /// Returns how many successive faults there were.
    pub(crate) const fn faults(&self) -> u32 {
        self.faults
    }

    /// Returns the factor by which health claims lengthen the expected latency.
    ///
    /// Rows that came lately outweigh every claim, and an old claim counts for nothing.
    pub(crate) fn health_factor(&self, now: Instant) -> f64 {
        let young = |at: Instant, age: Duration| now.saturating_duration_since(at) < age;
        if self.proved.is_some_and(|at| young(at, PROOF_AGE)) {
            return 1.0;
        }
        match self.claim {
            Some((claim, at)) if young(at, HEALTH_AGE) => match claim {
                ReportedHealth::Ready => 1.0,
                ReportedHealth::Warming => 1.2,
                ReportedHealth::Leaving | ReportedHealth::Unhealthy => 1.5,
            },
            _ => 1.0,
        }
    }

    fn queue_turns(&self, now: Instant) -> f64 {
        self.queue(now) / f64::from(self.slots)
    }

    fn add_sample(&mut self, sample: Duration, now: Instant) {
        self.service.add(sample);
        self.sampled = Some(now);
    }
}

/// Returns how much an observation still says, 1 at its time, half of that after each `STALE_TIME`.
fn trust(observed: Option<Instant>, now: Instant) -> f64 {
    let Some(at) = observed else {
        return 0.0;
    };
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5_f64.powf(age / STALE_TIME.as_secs_f64())
}
