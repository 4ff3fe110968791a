//! The calls that one entry may send to a backend server that states a limit.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::CallRate;

/// How long an unused permit is valid, apart from [`LIFE_CALLS`].
const MIN_LIFE: Duration = Duration::from_millis(600);
/// How long an unused permit is valid beyond that, in calls at the rate of the limit. A permit of a
/// low limit would otherwise expire between two requests.
const LIFE_CALLS: u32 = 2;
/// How long an unused permit for a cold server is valid. Permits that were kept for longer would add up
/// to more calls in one second than the server bears.
const COLD_LIFE: Duration = Duration::from_millis(400);
/// The maximum number of permits that are claimed at once.
const MAX_WANTED: u32 = 256;
/// The time in which a claim is usually answered.
const CLAIM_TIME: Duration = Duration::from_millis(60);
/// How long the last answer to a claim tells that permits have run out.
const ANSWER_AGE: Duration = Duration::from_millis(250);
/// The longest time after which a refused caller may come back.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// The permits that one entry holds for a backend server that states a limit.
#[derive(Clone, Debug)]
pub(crate) struct Permits {
    limit: CallRate,
    /// How long an unused permit is valid.
    life: Duration,
    /// The time of the last reply that stated the limit.
    stated_at: Instant,
    /// The unused permits, each batch with the time at which it expires, oldest first.
    held: VecDeque<(Instant, u32)>,
    /// The permits that requests needed since the last claim.
    wanted: u32,
    /// The time at which a permit was last used.
    used_at: Option<Instant>,
    /// Whether a claim has no answer yet.
    claiming: bool,
    /// The time of the last answer that gave fewer permits than were claimed.
    short_at: Option<Instant>,
    answered_at: Instant,
    /// The permits a second that claims brought lately.
    granted_rate: f64,
}

impl Permits {
    /// Returns the permits for a limit that has just been stated: one, so that an entry with few
    /// requests need not wait for its first claim.
    pub(crate) fn new(limit: CallRate, now: Instant) -> Self {
        Self {
            held: VecDeque::from([(now + life(limit), 1)]),
            ..Self::without_any(limit, life(limit), now)
        }
    }

    /// Returns the permits for a cold server: none, since every other entry learns of it as well.
    pub(crate) const fn for_cold_server(limit: CallRate, now: Instant) -> Self {
        Self::without_any(limit, COLD_LIFE, now)
    }

    const fn without_any(limit: CallRate, life: Duration, now: Instant) -> Self {
        Self {
            limit,
            life,
            stated_at: now,
            held: VecDeque::new(),
            wanted: 0,
            used_at: None,
            claiming: false,
            short_at: None,
            answered_at: now,
            granted_rate: limit.as_f64(),
        }
    }

    pub(crate) const fn limit(&self) -> CallRate {
        self.limit
    }

    pub(crate) const fn stated_at(&self) -> Instant {
        self.stated_at
    }

    /// Sets the limit that was learned now, and whether it is that of a cold server.
    pub(crate) fn set_limit(&mut self, limit: CallRate, is_cold: bool, now: Instant) {
        self.limit = limit;
        self.life = if is_cold { COLD_LIFE } else { life(limit) };
        self.stated_at = now;
    }

    /// Returns whether a call may be sent.
    pub(crate) fn has_one(&self, now: Instant) -> bool {
        self.held.iter().any(|(expires_at, _)| *expires_at > now)
    }

    /// Uses one permit up, and claims another if requests come so often that it will be used.
    pub(crate) fn spend(&mut self, now: Instant) {
        self.drop_expired(now);
        if let Some((_, count)) = self.held.front_mut() {
            *count -= 1;
            if *count == 0 {
                self.held.pop_front();
            }
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_LIFE;
        if self.used_at.replace(now).is_some_and(is_recent) {
            self.want();
        }
    }

    /// Records that a request needs one more permit.
    pub(crate) fn want(&mut self) {
        self.wanted = (self.wanted + 1).min(MAX_WANTED);
    }

    /// Returns how many permits to claim now and counts them as claimed; `None` if no claim is due.
    pub(crate) fn take_claim(&mut self) -> Option<u32> {
        if self.claiming || self.wanted == 0 {
            return None;
        }
        self.claiming = true;
        Some(std::mem::take(&mut self.wanted))
    }

    /// Adds the permits that a claim of `claimed` permits brought.
    pub(crate) fn grant(&mut self, claimed: u32, granted: u32, now: Instant) {
        self.claiming = false;
        self.drop_expired(now);
        if granted > 0 {
            self.held.push_back((now + self.life, granted));
        }
        self.short_at = (granted < claimed).then_some(now);
        let elapsed = now.saturating_duration_since(self.answered_at);
        self.answered_at = now;
        // A moving average over about a second.
        let weight = 1.0 / (1.0 + elapsed.as_secs_f64());
        self.granted_rate = self.granted_rate * weight + f64::from(granted) * weight;
    }

    /// Returns the time until a call may be sent: zero if one may be sent now.
    pub(crate) fn ready_in(&self, now: Instant) -> Duration {
        if self.has_one(now) {
            return Duration::ZERO;
        }
        if !self.is_short(now) {
            return CLAIM_TIME;
        }
        let period = 1.0 / self.granted_rate.max(1e-3);
        Duration::from_secs_f64(period).clamp(CLAIM_TIME, MAX_RETRY)
    }

    /// Returns whether permits have run out, and how many are wanted.
    pub(crate) fn claim_rank(&self, now: Instant) -> (bool, u32) {
        (self.is_short(now), self.wanted)
    }

    /// Returns whether the last claim has just brought fewer permits than it asked for.
    pub(crate) fn is_short(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWER_AGE;
        self.short_at.is_some_and(is_recent)
    }

    fn drop_expired(&mut self, now: Instant) {
        while self
            .held
            .front()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            self.held.pop_front();
        }
    }
}

fn life(limit: CallRate) -> Duration {
    MIN_LIFE + limit.period() * LIFE_CALLS
}
