//! The choice among the replicas of a shard.

use std::time::{Duration, Instant};

use rand::{Rng, RngCore};

use super::{
    event::EjectCause,
    stats::{ReplicaState, ReplicaStats},
    table::ReplicaTable,
};
use crate::ids::ServerId;

/// The multiple of the latency of the best replica above which a replica is ejected.
const OUTLIER_FACTOR: f64 = 4.0;
/// The difference to the latency of the best replica above which a replica may be ejected.
const OUTLIER_FLOOR: Duration = Duration::from_millis(5);
/// The number of latency samples below which a replica is not ejected for slowness.
const OUTLIER_SAMPLES: u32 = 5;
/// The time since its last rows up to which a replica counts as slow rather than silent. A server
/// that is ten times as slow as the others completes several calls in this time.
const RESPONSIVE_AGE: Duration = Duration::from_secs(1);
/// The maximum share by which expected latencies are raised at random, so that entries do not
/// synchronize.
const JITTER: f64 = 0.1;

/// A chosen replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The backend server.
    pub server: ServerId,
    /// Whether the replica is ejected and was chosen only because there is no other one.
    pub last_resort: bool,
}

impl ReplicaTable {
    /// Chooses the replica with the shortest expected latency that is not in `excluded`.
    ///
    /// An ejected replica is chosen only if there is no other one. Among several ejected replicas
    /// the one with the fewest faults is chosen, and among equals the fastest. A replica that has
    /// announced that it leaves is chosen only if there is no healthy other one. A replica that is
    /// leaving or that asked for a pause is never chosen, nor is one whose limit allows no call now;
    /// permits are then claimed for it.
    pub fn choose(
        &mut self,
        replicas: &[ServerId],
        excluded: &[ServerId],
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        self.update_states(replicas, now);
        let baseline = self.baseline_latency(replicas);
        let available = replicas.iter().filter(|server| !excluded.contains(server));
        let available: Vec<_> = available
            .filter(|server| self.accepts_calls(server, now))
            .collect();
        let healthy: Vec<_> = available
            .iter()
            .copied()
            .filter(|s| self.is_healthy(s))
            .collect();
        let healthy = self.without_announced(healthy);
        if healthy.is_empty() {
            let mut ranked = available;
            ranked.sort_by_cached_key(|server| self.failure_rank(server));
            let server = self.first_permitted(&ranked, now)?;
            return Some(Pick {
                server,
                last_resort: true,
            });
        }
        // The share of a returning replica is limited only while the other replicas have capacity
        // for its calls.
        let is_active = |server: &&ServerId| self.ramp_share(server, now) >= 1.0;
        let has_spare = healthy
            .iter()
            .copied()
            .filter(is_active)
            .any(|server| !self.is_busy(server, now));
        let admitted: Vec<_> = healthy
            .iter()
            .copied()
            .filter(|server| !has_spare || rng.random::<f64>() < self.ramp_share(server, now))
            .collect();
        let candidates = if admitted.is_empty() {
            healthy
        } else {
            admitted
        };
        let scored = candidates.into_iter().map(|server| {
            let jitter = 1.0 + JITTER * rng.random::<f64>();
            (server, self.score(server, baseline, now).mul_f64(jitter))
        });
        let mut scored: Vec<_> = scored.collect();
        scored.sort_by_key(|(_, score)| *score);
        let ranked: Vec<_> = scored.into_iter().map(|(server, _)| server).collect();
        let server = self.first_permitted(&ranked, now)?;
        Some(Pick {
            server,
            last_resort: false,
        })
    }

    /// Returns an ejected replica whose probe is due, and schedules its next probe.
    pub fn take_probe(&mut self, replicas: &[ServerId], now: Instant) -> Option<ServerId> {
        for server in replicas {
            let Some(stats) = self.servers.get_mut(server) else {
                continue;
            };
            let may_call = stats.accepts_calls(now) && !stats.has_announced_leave();
            if !stats.is_probe_due(now) || !may_call {
                continue;
            }
            if stats.has_permit(now) {
                stats.postpone_probe(now);
                return Some(ServerId::clone(server));
            }
            if let Some(permits) = stats.permits() {
                permits.want();
            }
        }
        None
    }

    /// Returns whether all replicas are ejected or leaving.
    #[must_use]
    pub fn none_available(&self, replicas: &[ServerId], now: Instant) -> bool {
        !replicas
            .iter()
            .any(|server| self.accepts_calls(server, now) && self.is_healthy(server))
    }

    /// Returns whether a replica returned rows recently, however slowly.
    #[must_use]
    pub fn any_responsive(&self, replicas: &[ServerId], now: Instant) -> bool {
        let since = now.checked_sub(RESPONSIVE_AGE);
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .any(|stats| since.is_some_and(|since| stats.returned_rows_since(since)))
    }

    /// Ends finished ramps and ejects replicas that are far slower than the best one.
    fn update_states(&mut self, replicas: &[ServerId], now: Instant) {
        let best = self.best_latency(replicas);
        for server in replicas {
            let before = self.state(server);
            let Some(stats) = self.servers.get_mut(server) else {
                continue;
            };
            stats.finish_ramp(now);
            if best.is_some_and(|best| is_outlier(stats, best)) {
                stats.eject(now);
                self.record_change(server, before, EjectCause::Slow);
            }
        }
    }

    /// Returns the latency of the fastest replica that stays. Compared with one that leaves, all
    /// others could be slow, and then only the one that leaves would be used.
    fn best_latency(&self, replicas: &[ServerId]) -> Option<Duration> {
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .filter(|stats| !stats.has_announced_leave())
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter(|stats| stats.samples() >= OUTLIER_SAMPLES)
            .filter_map(ReplicaStats::service)
            .min()
    }

    fn baseline_latency(&self, replicas: &[ServerId]) -> Duration {
        self.best_latency(replicas)
            .unwrap_or_else(|| self.median_latency())
    }

    /// Returns the replicas that have not announced that they leave, or all if there are none.
    fn without_announced<'a>(&self, replicas: Vec<&'a ServerId>) -> Vec<&'a ServerId> {
        let has_announced = |server: &&&ServerId| {
            let stats = self.servers.get(**server);
            stats.is_some_and(ReplicaStats::has_announced_leave)
        };
        let staying: Vec<_> = replicas
            .iter()
            .filter(|s| !has_announced(s))
            .copied()
            .collect();
        if staying.is_empty() {
            replicas
        } else {
            staying
        }
    }

    /// Returns whether a backend server may get a call now, if its limit allows one.
    #[must_use]
    pub fn accepts_calls(&self, server: &ServerId, now: Instant) -> bool {
        self.servers
            .get(server)
            .is_none_or(|stats| stats.accepts_calls(now))
    }

    fn is_healthy(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_none_or(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
    }

    fn failure_rank(&self, server: &ServerId) -> (u32, Duration) {
        let Some(stats) = self.servers.get(server) else {
            return (0, Duration::ZERO);
        };
        (stats.faults(), stats.service().unwrap_or_default())
    }

    fn ramp_share(&self, server: &ServerId, now: Instant) -> f64 {
        self.servers
            .get(server)
            .map_or(1.0, |stats| stats.ramp_share(now))
    }

    fn score(&self, server: &ServerId, baseline: Duration, now: Instant) -> Duration {
        let Some(stats) = self.servers.get(server) else {
            return baseline;
        };
        let rounds = 1.0 + f64::from(stats.in_flight) / f64::from(stats.slots);
        let factor = rounds * stats.health_factor(now) * stats.refusal_factor(now);
        stats.queue_wait(now) + stats.blended_service(baseline, now).mul_f64(factor) + stats.penalty
    }
}

fn is_outlier(stats: &ReplicaStats, best: Duration) -> bool {
    let Some(service) = stats.service() else {
        return false;
    };
    stats.samples() >= OUTLIER_SAMPLES
        && service > best.mul_f64(OUTLIER_FACTOR)
        && service > best + OUTLIER_FLOOR
}
