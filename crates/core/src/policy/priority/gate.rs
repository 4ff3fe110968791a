//! The share of lower priorities that one VM admits to one service.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::Rank;
use crate::{ids::RouteId, policy::outcome::CallOutcome};

/// The share of a rank that is admitted in any case, as a share of the requests that are not refused here, so
/// that none starves.
const ASSURED_SHARE: f64 = 0.4;
/// The bounds of that share.
const ASSURED_RANGE: (f64, f64) = (0.02, 0.25);
/// The weight of one request in the share of requests that are not refused.
const SERVED_WEIGHT: f64 = 0.01;
/// The change of the share of the rank that is being limited in a round with refused calls.
const REFUSED_STEP: f64 = -0.3;
/// The growth of the share in one round if calls did not take any time.
const RISE_GAIN: f64 = 0.1;
/// The fall of the share in one round if calls wait for twice the time that shows congestion.
const FALL_GAIN: f64 = 0.2;
/// The time without calls of a higher rank after which they no longer need room. A VM that never had any
/// does not know whether others have.
const ABSENT_TIME: Duration = Duration::from_secs(1);
/// The time after which waits alone no longer limit lower ranks, if no call was refused since.
const ENGAGED_TIME: Duration = Duration::from_secs(15);
/// The growth of the share with each round after that.
const ABSENT_RISE: f64 = 0.2;
/// The largest fall of the share in one round without refused calls.
const LARGEST_FALL: f64 = -0.2;
/// The largest growth of the share in one round.
const LARGEST_RISE: f64 = 0.04;
/// The multiple of the wait that shows congestion below which calls do not wait.
const FREE_WAIT: f64 = 0.85;
/// The most rounds in a row without waiting calls that speed up the growth: as many times.
const MAX_FREE_ROUNDS: u32 = 3;
/// The share of the rank that is being limited below which steps are no longer proportional to it.
const LEAST_SCALE: f64 = 0.25;
/// The growth of the share per second while too few calls tell of congestion.
const BLIND_INCREASE: f64 = 0.05;
/// The shortest round of observation.
const ROUND_TIME: Duration = Duration::from_millis(100);
/// The longest round; after it, calls are counted anew.
const ROUND_TIME_MAX: Duration = Duration::from_secs(1);
/// The time from which a round is long, since few calls are admitted.
const SLOW_ROUND: Duration = Duration::from_millis(400);
/// The shortest rounds that a long one counts as at most.
const MAX_ROUNDS: f64 = 10.0;
/// The replies that a round needs.
const ROUND_REPLIES: usize = 5;
/// The refused calls in a round that show congestion, if they are not few among all.
const LEAST_REFUSED: u32 = 2;
/// The share of refused calls in a round that shows congestion.
const REFUSED_SHARE: f64 = 0.1;
/// The part of a rank that is refused before its calls count as calls too many.
const CONGESTED_MARGIN: f64 = 0.1;
/// The multiple of its usual latency above which a call has waited.
const WAIT_FACTOR: f64 = 1.28;
/// The time beyond that which may have other causes than a queue, in seconds.
const WAIT_SLACK: f64 = 0.012;
/// The number of latencies whose average may become the usual latency of a route.
const USUAL_SAMPLES: u32 = 16;
/// The share by which the lowest known average latency rises per second, so that it follows servers that
/// have become slower for good.
const USUAL_RISE: f64 = 0.002;

/// The share of lower priorities that one VM admits to one service.
///
/// The level falls while calls wait for longer than is usual, and rises while they do not, in proportion to
/// the difference. At the level `lowest` all ranks are admitted; each whole step below takes one rank away, the
/// lowest first, but for its assured share.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    level: f64,
    lowest: Rank,
    /// The end of the last round in which servers refused calls while others waited; `None` once calls have
    /// stopped waiting since. Waits alone have other causes: slow servers, bursts that queues absorb, a busy VM.
    refused_at: Option<Instant>,
    /// The time of the last call of a higher rank than the one that is being limited.
    higher_at: Option<Instant>,
    began_at: Instant,
    grown_at: Instant,
    replies: u32,
    refused: u32,
    /// The number of rounds in a row without waiting calls.
    free_rounds: u32,
    /// The share of the last requests that were not refused.
    served: f64,
    /// The latencies of the replies in this round, as multiples of what is usual.
    waits: Vec<f64>,
    usual: HashMap<RouteId, UsualLatency>,
}

/// The latency of calls of one route when they do not wait, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct UsualLatency {
    /// The lowest average; `None` before the first.
    lowest: Option<f64>,
    updated_at: Option<Instant>,
    sum: f64,
    count: u32,
}

impl Gate {
    pub(super) fn new(lowest: Rank, now: Instant) -> Self {
        Self {
            level: f64::from(lowest),
            lowest,
            refused_at: None,
            higher_at: None,
            began_at: now,
            grown_at: now,
            replies: 0,
            refused: 0,
            free_rounds: 0,
            served: 1.0,
            waits: Vec::new(),
            usual: HashMap::new(),
        }
    }

    /// Sets the lowest rank of the service.
    pub(super) fn set_lowest(&mut self, lowest: Rank) {
        if self.lowest != lowest {
            self.lowest = lowest;
            self.level = f64::from(lowest);
        }
    }

    /// Returns the share of the requests of a rank that is admitted, 0 to 1.
    pub(super) fn share(&self, rank: Rank) -> f64 {
        if rank == 0 {
            return 1.0;
        }
        (self.level - f64::from(rank - 1)).clamp(self.assured_share(), 1.0)
    }

    /// Records that a request was refused so that its calls were not sent.
    pub(super) fn on_refused(&mut self) {
        self.record_end(0.0);
    }

    fn assured_share(&self) -> f64 {
        let (least, most) = ASSURED_RANGE;
        (self.served * ASSURED_SHARE).clamp(least, most)
    }

    fn record_end(&mut self, served: f64) {
        self.served += (served - self.served) * SERVED_WEIGHT;
    }

    /// Returns whether calls wait or are refused, so that a part of some rank is not admitted.
    pub(super) fn is_congested(&self) -> bool {
        self.level < f64::from(self.lowest) - CONGESTED_MARGIN
    }

    /// Records the end of a call.
    pub(super) fn on_report(
        &mut self,
        route: &RouteId,
        rank: Rank,
        outcome: CallOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let (above, _) = self.limited();
        if f64::from(rank) <= above {
            self.higher_at = Some(now);
        }
        match outcome {
            CallOutcome::Done(_) => {
                self.replies += 1;
                self.record_end(1.0);
                let latency = latency.as_secs_f64();
                if !self.usual.contains_key(route) {
                    self.usual
                        .insert(RouteId::clone(route), UsualLatency::default());
                }
                if let Some(usual) = self.usual.get_mut(route) {
                    self.waits.extend(usual.wait(latency, now));
                }
            }
            _ if outcome.is_shed() => self.refused += 1,
            CallOutcome::NotRun(_) | CallOutcome::Unknown(_) => return,
        }
        let age = now.saturating_duration_since(self.began_at);
        if age >= ROUND_TIME && self.has_enough(age) {
            self.end_round(now);
        }
    }

    /// Lets the level grow while there are no calls to learn from.
    pub(super) fn grow(&mut self, now: Instant) {
        let since = self.grown_at.max(self.began_at);
        let blind = now.saturating_duration_since(since);
        if blind > ROUND_TIME_MAX {
            self.grown_at = now;
            self.raise(blind.as_secs_f64() * BLIND_INCREASE);
        }
    }

    fn has_enough(&self, age: Duration) -> bool {
        let ended = self.refused as usize + self.replies as usize;
        ended >= ROUND_REPLIES || age >= ROUND_TIME_MAX
    }

    fn end_round(&mut self, now: Instant) {
        let ended = f64::from(self.refused + self.replies);
        let are_refused =
            self.refused >= LEAST_REFUSED && f64::from(self.refused) > ended * REFUSED_SHARE;
        let is_absent = |at: Instant| now.saturating_duration_since(at) > ABSENT_TIME;
        if self.higher_at.is_some_and(is_absent) {
            self.raise(ABSENT_RISE);
        } else if let Some(wait) = median(&mut self.waits) {
            self.follow(wait, are_refused, now);
        }
        self.began_at = now;
        self.replies = 0;
        self.refused = 0;
        self.waits.clear();
    }

    /// Follows the wait of the median call, as a multiple of that which shows congestion. Refused calls show
    /// it only if the others wait: servers in trouble refuse calls for other reasons.
    fn follow(&mut self, wait: f64, are_refused: bool, now: Instant) {
        if wait >= FREE_WAIT && are_refused {
            self.refused_at = Some(now);
            self.free_rounds = 0;
            self.step(REFUSED_STEP);
            return;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ENGAGED_TIME;
        if !self.refused_at.is_some_and(is_recent) {
            self.raise(ABSENT_RISE);
            return;
        }
        if wait >= 1.0 {
            self.free_rounds = 0;
            self.step((FALL_GAIN * (1.0 - wait)).max(LARGEST_FALL));
            return;
        }
        self.free_rounds = if wait < FREE_WAIT {
            (self.free_rounds + 1).min(MAX_FREE_ROUNDS)
        } else {
            0
        };
        let age = now.saturating_duration_since(self.began_at);
        let rounds = if age >= SLOW_ROUND {
            (age.as_secs_f64() / ROUND_TIME.as_secs_f64()).min(MAX_ROUNDS)
        } else {
            1.0
        };
        let rise = (RISE_GAIN * (1.0 - wait)).min(LARGEST_RISE);
        self.step(rise * rounds * f64::from(self.free_rounds.max(1)));
        if self.level >= f64::from(self.lowest) {
            self.refused_at = None;
        }
    }

    /// Changes the share of the rank that is being limited.
    fn step(&mut self, change: f64) {
        let (above, share) = self.limited();
        let scaled = change * share.max(LEAST_SCALE);
        if share + scaled < self.assured_share() && above > 0.0 {
            self.level = above;
        } else {
            let next = (share + scaled).max(self.assured_share());
            self.level = (above + next).min(f64::from(self.lowest));
        }
    }

    /// Returns the level at which the rank that is being limited gets nothing, and the share of it that is
    /// admitted.
    fn limited(&self) -> (f64, f64) {
        let above = (self.level.ceil() - 1.0).max(0.0);
        (above, self.level - above)
    }

    fn raise(&mut self, step: f64) {
        self.level = (self.level + step).min(f64::from(self.lowest));
    }
}

impl UsualLatency {
    /// Adds a latency; returns it as a multiple of that above which a call has waited.
    fn wait(&mut self, latency: f64, now: Instant) -> Option<f64> {
        let usual = self.lowest;
        if let (Some(lowest), Some(at)) = (&mut self.lowest, self.updated_at) {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            *lowest *= 1.0 + (elapsed * USUAL_RISE).min(1.0);
        }
        self.updated_at = Some(now);
        self.sum += latency;
        self.count += 1;
        if self.count >= USUAL_SAMPLES {
            let average = self.sum / f64::from(self.count);
            self.lowest = Some(self.lowest.map_or(average, |lowest| lowest.min(average)));
            self.sum = 0.0;
            self.count = 0;
        }
        usual.map(|usual| latency / (usual * WAIT_FACTOR + WAIT_SLACK))
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
