//! The state learned about one backend server.

use std::time::{Duration, Instant};

use crate::{
    ids::ServiceId,
    policy::{
        latency::MovingAverage,
        server_limit::{CallRate, Permits, StatedLimit},
        warmup::Warmup,
    },
};

/// The number of successive faults or overdue calls after which a backend server is ejected.
const EJECT_FAULTS: u32 = 3;
/// The number of successive calls overtaken by their hedges after which a backend server is
/// ejected.
const EJECT_LOSSES: u32 = 4;
/// The time from an ejection to the first probe.
const PROBE_DELAY: Duration = Duration::from_millis(500);
/// The maximum time between two probes.
const PROBE_DELAY_MAX: Duration = Duration::from_secs(1);
/// The time in which the share of a returning backend server grows to its full share of calls.
const RAMP_TIME: Duration = Duration::from_secs(3);
/// The share of calls with which a returning backend server starts.
const RAMP_START: f64 = 0.1;
/// The time for which a backend server gets no calls after it reported that it is leaving.
const LEAVING_TIME: Duration = Duration::from_secs(30);
/// The time for which a reported health state is used.
const HEALTH_AGE: Duration = Duration::from_secs(10);
/// The time for which a call that returned rows outweighs any reported health state.
const ROWS_AGE: Duration = Duration::from_secs(1);
/// The assumed latency of a call that was cancelled before its reply, as a multiple of the elapsed
/// time.
const CENSORED_FACTOR: u32 = 2;
/// The maximum wait at an owner that is assumed. A longer one would prevent the calls whose replies
/// correct the value.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The maximum number of successive refusals that are counted.
const MAX_REFUSALS: u32 = 16;
/// The half-life of the weight of a learned latency or of the last refusal.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The health state that the health endpoint of a backend server reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedHealth {
    /// The backend server accepts work at full speed.
    Ready,
    /// The backend server accepts work, but its caches are cold.
    Warming,
    /// The backend server accepts no new work.
    Leaving,
    /// The backend server asks not to be sent any work.
    Unhealthy,
}

/// Whether a backend server gets calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// The backend server gets its full share of calls.
    Active,
    /// The backend server gets a growing share of calls since this time.
    Ramp(Instant),
    /// The backend server gets only probes, the next one at this time.
    Ejected(Instant),
}

/// What a backend server states about itself in a reply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// The backend server is leaving: the time after which it may be sent nothing more.
    pub leaves_in: Option<Duration>,
    /// The time for which the backend server wants no calls from this process.
    pub pause: Option<Duration>,
    /// The calls a second that the backend server takes from all VMs together.
    pub limit: StatedLimit,
    /// How long the backend server stays cold; zero if it is warm, `None` if it does not say.
    pub cold: Option<Duration>,
}

/// The state learned about one backend server.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts from different sources"
)]
#[derive(Clone, Debug)]
pub(crate) struct ReplicaStats {
    /// The service of the backend server; `None` before the first list.
    pub(crate) service_id: Option<ServiceId>,
    /// The number of slots that the platform publishes.
    pub(crate) slots: u32,
    /// Whether the platform publishes the backend server as leaving.
    pub(crate) listed_leaving: bool,
    /// Whether the data centre of the backend server is evacuated.
    evacuated: bool,
    /// The run of the backend server that the platform publishes; `None` before the first list.
    born: Option<u64>,
    /// The time at which another run was published under the same name.
    replaced_at: Option<Instant>,
    /// The penalty added to the expected latency when replicas are compared.
    pub(crate) penalty: Duration,
    /// Whether concurrent calls that were overtaken by their hedges count as one loss.
    pub(crate) may_pause: bool,
    /// Whether the backend server gets calls.
    pub(crate) state: ReplicaState,
    /// The number of calls of this entry without a reply.
    pub(crate) in_flight: u32,
    service: MovingAverage,
    sampled_at: Option<Instant>,
    rows_at: Option<Instant>,
    queue_len: u32,
    queue_wait: Duration,
    reported_at: Option<Instant>,
    faults: u32,
    losses: u32,
    /// The time of the last counted loss.
    lost_at: Option<Instant>,
    refusals: u32,
    refused_at: Option<Instant>,
    probe_delay: Duration,
    leaving_since: Option<Instant>,
    /// The time after which the backend server, which announced that it leaves, gets no more calls.
    leave_at: Option<Instant>,
    /// The end of the pause that the backend server asked for.
    paused_until: Option<Instant>,
    /// Whether the backend server has returned rows since the pause.
    resumed: bool,
    /// The limit that the backend server states; `None` if it states none.
    pub(super) stated: Option<CallRate>,
    /// Whether the backend server is cold.
    pub(super) warmup: Warmup,
    /// The permits for calls to the backend server; `None` if neither limits them.
    pub(super) permits: Option<Permits>,
    health: Option<(ReportedHealth, Instant)>,
}

impl ReplicaStats {
    pub(crate) fn new(slots: u32, state: ReplicaState) -> Self {
        Self {
            service_id: None,
            slots: slots.max(1),
            listed_leaving: false,
            evacuated: false,
            born: None,
            replaced_at: None,
            penalty: Duration::ZERO,
            may_pause: false,
            state,
            in_flight: 0,
            service: MovingAverage::default(),
            sampled_at: None,
            rows_at: None,
            queue_len: 0,
            queue_wait: Duration::ZERO,
            reported_at: None,
            faults: 0,
            losses: 0,
            lost_at: None,
            refusals: 0,
            refused_at: None,
            probe_delay: PROBE_DELAY,
            leaving_since: None,
            leave_at: None,
            paused_until: None,
            resumed: true,
            stated: None,
            warmup: Warmup::default(),
            permits: None,
            health: None,
        }
    }

    /// Records the queue that the owner reported with a reply. Returns whether calls waited there
    /// according to this report, or should still be waiting according to the previous one.
    pub(crate) fn on_queue_report(
        &mut self,
        queue_len: u32,
        queue_wait: Duration,
        now: Instant,
    ) -> bool {
        let waited = self.queue_len(now) >= 1.0;
        self.queue_len = queue_len;
        self.queue_wait = queue_wait.min(MAX_WAIT);
        self.reported_at = Some(now);
        waited || queue_len > 0
    }

    /// Records a call that returned rows, and whether calls waited in the queue of the owner.
    ///
    /// The latency of a call that waited depends more on the queue than on the backend server, so
    /// it counts only while no other sample is known.
    pub(crate) fn on_done(&mut self, latency: Duration, waited: bool, now: Instant) {
        self.faults = 0;
        self.losses = 0;
        self.refusals /= 2;
        self.resumed = self.paused_until.is_none_or(|until| until <= now);
        self.rows_at = Some(now);
        self.warmup.recover(now);
        if !waited {
            self.add_sample(latency, now);
        } else if self.service.samples() == 0 {
            self.add_sample(latency.div_f64(1.0 + self.queue_rounds(now)), now);
        }
    }

    /// Records a fault or an overdue call.
    pub(crate) fn on_fault(&mut self, now: Instant) {
        self.faults = self.faults.saturating_add(1);
        match self.state {
            ReplicaState::Active | ReplicaState::Ramp(_) if self.faults >= EJECT_FAULTS => {
                self.eject(now);
                self.warmup.suspect();
            }
            ReplicaState::Ejected(_) => self.postpone_probe(now),
            ReplicaState::Active | ReplicaState::Ramp(_) => {}
        }
    }

    /// Records a call that the backend server, or its owner, refused to run.
    pub(crate) fn on_refused(&mut self, now: Instant) {
        self.refusals = (self.refusals + 1).min(MAX_REFUSALS);
        self.refused_at = Some(now);
    }

    /// Records a call that was cancelled without a reply and would have taken longer than
    /// `elapsed`.
    pub(crate) fn on_cancelled(&mut self, elapsed: Duration, now: Instant) {
        let assumed = elapsed * CENSORED_FACTOR;
        let known = self.service.get().unwrap_or_default();
        if assumed <= known || known.is_zero() || self.queue_len(now) >= 1.0 {
            return;
        }
        let sent = now.checked_sub(elapsed);
        if sent.is_some_and(|sent| self.returned_rows_since(sent)) {
            return;
        }
        self.add_sample(assumed, now);
        // Calls in flight at the last loss were overtaken because of the same pause.
        let is_concurrent = |lost| sent.is_none_or(|sent| sent < lost);
        if self.may_pause && self.lost_at.is_some_and(is_concurrent) {
            return;
        }
        self.lost_at = Some(now);
        self.losses += 1;
        if self.losses >= EJECT_LOSSES {
            self.eject(now);
        }
    }

    /// Returns whether a call to the backend server returned rows after this time.
    pub(crate) fn returned_rows_since(&self, time: Instant) -> bool {
        self.rows_at.is_some_and(|at| at > time)
    }

    /// Records that the backend server itself refused work because it is leaving.
    pub(crate) fn on_leaving(&mut self, now: Instant) {
        self.leaving_since = Some(now);
    }

    /// Records the run that the platform publishes. What a former run announced no longer counts.
    pub(crate) fn set_run(&mut self, born: u64, now: Instant) {
        let previous = self.born.replace(born);
        if previous.is_none_or(|previous| previous == born) {
            return;
        }
        self.replaced_at = Some(now);
        self.leaving_since = None;
        self.leave_at = None;
        self.paused_until = None;
        self.resumed = true;
        self.stated = None;
        self.permits = None;
        self.warmup.restart(now);
    }

    /// Sets whether the data centre of the backend server is evacuated. Afterwards its share of calls
    /// grows as after an ejection.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool, now: Instant) {
        let has_ended = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if has_ended {
            self.readmit(now);
            self.warmup.restart(now);
        }
    }

    /// Returns whether the reply to a call that was sent at `sent_at` may come from a former run.
    pub(super) fn may_be_of_former_run(&self, sent_at: Instant) -> bool {
        self.replaced_at.is_some_and(|at| sent_at < at)
    }

    /// Records what the backend server stated in its reply to a call that was sent at `sent_at`.
    /// Returns whether it states anything that was not known.
    pub(crate) fn on_notice(
        &mut self,
        notice: ServerNotice,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        if self.may_be_of_former_run(sent_at) {
            return false;
        }
        let mut is_news = false;
        if let (Some(time), None) = (notice.leaves_in, self.leave_at) {
            self.leave_at = Some(now + time);
            is_news = true;
        }
        if let Some(pause) = notice.pause {
            let until = now + pause;
            if self.paused_until.is_none_or(|known| known < until) {
                is_news |= !self.is_paused(now);
                self.paused_until = Some(until);
                self.resumed = false;
            }
        }
        is_news
    }

    /// Returns whether the backend server has announced that it leaves.
    pub(crate) const fn has_announced_leave(&self) -> bool {
        self.leave_at.is_some()
    }

    /// Returns whether the backend server wants no calls now.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the time until the backend server may get calls, apart from its limit: zero if it may
    /// get them now, `None` if it must not get any more.
    pub(crate) fn ready_in(&self, now: Instant) -> Option<Duration> {
        if self.evacuated || self.is_leaving(now) {
            return None;
        }
        let pause = self
            .paused_until
            .map(|until| until.saturating_duration_since(now))
            .unwrap_or_default();
        let is_gone = |at: Instant| now + pause >= at;
        (!self.leave_at.is_some_and(is_gone)).then_some(pause)
    }

    /// Returns whether the backend server may get a call now, if its limit allows one.
    ///
    /// After a pause it gets no more calls at once than it has slots, until one has returned rows.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        let has_room = self.resumed || self.in_flight < self.slots;
        self.ready_in(now) == Some(Duration::ZERO) && has_room
    }

    /// Records the health state that the health endpoint reports.
    pub(crate) fn on_health(&mut self, health: ReportedHealth, now: Instant) {
        self.health = Some((health, now));
    }

    /// Stops all calls except for probes.
    pub(crate) fn eject(&mut self, now: Instant) {
        if matches!(self.state, ReplicaState::Ejected(_)) {
            return;
        }
        self.probe_delay = PROBE_DELAY;
        self.state = ReplicaState::Ejected(now + self.probe_delay);
    }

    /// Starts the ramp of a returning backend server.
    pub(crate) fn readmit(&mut self, now: Instant) {
        self.faults = 0;
        self.losses = 0;
        self.probe_delay = PROBE_DELAY;
        self.service.reset();
        self.state = ReplicaState::Ramp(now);
    }

    /// Postpones the next probe by twice the previous delay, up to [`PROBE_DELAY_MAX`].
    pub(crate) fn postpone_probe(&mut self, now: Instant) {
        self.probe_delay = (self.probe_delay * 2).min(PROBE_DELAY_MAX);
        self.state = ReplicaState::Ejected(now + self.probe_delay);
    }

    /// Returns whether a probe is due.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        matches!(self.state, ReplicaState::Ejected(at) if at <= now) && self.in_flight == 0
    }

    /// Returns whether the backend server must get no calls at all.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let is_recent = |since: Instant| now.saturating_duration_since(since) < LEAVING_TIME;
        self.listed_leaving || self.leaving_since.is_some_and(is_recent)
    }

    /// Returns the share of calls that the backend server may get, 0 to 1.
    ///
    /// The permits for a cold server bound its calls already.
    pub(crate) fn ramp_share(&self, now: Instant) -> f64 {
        match self.state {
            ReplicaState::Ramp(_) if self.is_cold(now) => 1.0,
            ReplicaState::Active => 1.0,
            ReplicaState::Ejected(_) => 0.0,
            ReplicaState::Ramp(since) => {
                let age = now.saturating_duration_since(since);
                (age.as_secs_f64() / RAMP_TIME.as_secs_f64()).clamp(RAMP_START, 1.0)
            }
        }
    }

    /// Ends a ramp that has reached the full share.
    pub(crate) fn finish_ramp(&mut self, now: Instant) {
        if matches!(self.state, ReplicaState::Ramp(_)) && self.ramp_share(now) >= 1.0 {
            self.state = ReplicaState::Active;
        }
    }

    /// Returns the number of calls that wait at the owner: the reported number less the calls that
    /// should have run since the report.
    pub(crate) fn queue_len(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        if !self.queue_wait.is_zero() {
            let remaining = 1.0 - age / self.queue_wait.as_secs_f64();
            return f64::from(self.queue_len) * remaining.max(0.0);
        }
        let service = self.service.get().unwrap_or_default().as_secs_f64();
        let completed = age * f64::from(self.slots) / service.max(1e-4);
        (f64::from(self.queue_len) - completed).max(0.0)
    }

    /// Returns how long one more call would wait at the owner: the reported wait less the time
    /// since the report.
    ///
    /// The learned latency includes the network path to the owner, so a wait derived from it is too
    /// long. It is used only until the owner has learned how long calls take.
    pub(crate) fn queue_wait(&self, now: Instant) -> Duration {
        if let Some(reported_at) = self.reported_at
            && !self.queue_wait.is_zero()
        {
            let age = now.saturating_duration_since(reported_at);
            return self.queue_wait.saturating_sub(age);
        }
        self.decayed_service(now).mul_f64(self.queue_rounds(now))
    }

    /// Returns the latency without queueing, or `None` before the first sample.
    pub(crate) fn service(&self) -> Option<Duration> {
        self.service.get()
    }

    /// Returns the number of latency samples.
    pub(crate) const fn samples(&self) -> u32 {
        self.service.samples()
    }

    /// Returns the latency without queueing, blended with `fallback` as the last sample ages.
    pub(crate) fn blended_service(&self, fallback: Duration, now: Instant) -> Duration {
        let Some(service) = self.service.get() else {
            return fallback;
        };
        let weight = weight(self.sampled_at, now);
        service.mul_f64(weight) + fallback.mul_f64(1.0 - weight)
    }

    /// Returns the latency without queueing for decisions against sending a call. It shrinks as the
    /// last sample ages.
    ///
    /// Calls are the only source of samples, so a latency that prevents calls must expire without a
    /// new sample.
    pub(crate) fn decayed_service(&self, now: Instant) -> Duration {
        self.blended_service(Duration::ZERO, now)
    }

    /// Returns the factor by which refusals raise the expected latency.
    ///
    /// A refusal arrives faster than any reply with rows, but the call has to be sent again.
    pub(crate) fn refusal_factor(&self, now: Instant) -> f64 {
        1.0 + f64::from(self.refusals) * weight(self.refused_at, now)
    }

    /// Returns the number of successive faults.
    pub(crate) const fn faults(&self) -> u32 {
        self.faults
    }

    /// Returns the factor by which the reported health state raises the expected latency.
    ///
    /// Rows that were returned recently outweigh every report, and an old report is ignored.
    pub(crate) fn health_factor(&self, now: Instant) -> f64 {
        let is_recent = |at: Instant, age: Duration| now.saturating_duration_since(at) < age;
        if self.rows_at.is_some_and(|at| is_recent(at, ROWS_AGE)) {
            return 1.0;
        }
        match self.health {
            Some((health, at)) if is_recent(at, HEALTH_AGE) => match health {
                ReportedHealth::Ready => 1.0,
                ReportedHealth::Warming => 1.2,
                ReportedHealth::Leaving | ReportedHealth::Unhealthy => 1.5,
            },
            _ => 1.0,
        }
    }

    fn queue_rounds(&self, now: Instant) -> f64 {
        self.queue_len(now) / f64::from(self.slots)
    }

    fn add_sample(&mut self, sample: Duration, now: Instant) {
        self.service.add(sample);
        self.sampled_at = Some(now);
    }
}

/// Returns the weight of an observation: 1 when it is made, halved after each [`HALF_LIFE`].
fn weight(observed: Option<Instant>, now: Instant) -> f64 {
    let Some(at) = observed else {
        return 0.0;
    };
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
}
