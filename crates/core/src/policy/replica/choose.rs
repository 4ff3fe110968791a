//! The choice among the replicas of a shard.

use std::time::{Duration, Instant};

use rand::{Rng, RngCore};

use super::{
    event::EjectCause,
    stats::{ReplicaState, ReplicaStats},
    table::ReplicaTable,
};
use crate::ids::ServerId;

/// The factor over the best replica's latency from which a replica is ejected.
const OUTLIER_FACTOR: f64 = 4.0;
/// The least distance to the best replica's latency from which a replica is ejected.
const OUTLIER_FLOOR: Duration = Duration::from_millis(5);
/// The latencies seen below which a replica is not ejected for slowness.
const OUTLIER_SAMPLES: u32 = 5;
/// How long ago a replica may have given rows to count as slow and not as silent: several calls to
/// a server that is ten times as slow as the others.
const RESPONSIVE_AGE: Duration = Duration::from_secs(1);
/// The random share by which expected latencies are varied, so that entries don't move in step.
const JITTER: f64 = 0.1;

/// A chosen replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The backend server.
    pub server: ServerId,
    /// Whether it was chosen only for want of a better one.
    pub last_resort: bool,
}

impl ReplicaTable {
    /// Chooses the replica with the shortest expected latency that was not tried yet.
    ///
    /// Ejected replicas are chosen only when there is nothing else, the least bad first. A leaving
    /// one is never chosen.
    pub fn choose(
        &mut self,
        replicas: &[ServerId],
        tried: &[ServerId],
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Option<Pick> {
        self.review(replicas, now);
        let usual = self.usual_of(replicas);
        let open = replicas.iter().filter(|server| !tried.contains(server));
        let open: Vec<_> = open
            .filter(|server| self.takes_calls(server, now))
            .collect();
        let sound: Vec<_> = open.iter().copied().filter(|s| self.is_sound(s)).collect();
        if sound.is_empty() {
            let server = open.into_iter().min_by_key(|server| self.badness(server))?;
            let server = ServerId::clone(server);
            return Some(Pick {
                server,
                last_resort: true,
            });
        }
        // A replica that returns is spared only while the others have time for its calls.
        let full = |server: &&ServerId| self.ramp(server, now) >= 1.0;
        let spare = sound
            .iter()
            .copied()
            .filter(full)
            .any(|server| !self.is_busy(server, now));
        let ramped: Vec<_> = sound
            .iter()
            .copied()
            .filter(|server| !spare || rng.random::<f64>() < self.ramp(server, now))
            .collect();
        let field = if ramped.is_empty() { sound } else { ramped };
        let scored = field.into_iter().map(|server| {
            let jitter = 1.0 + JITTER * rng.random::<f64>();
            (server, self.score(server, usual, now).mul_f64(jitter))
        });
        let (server, _) = scored.min_by_key(|(_, score)| *score)?;
        let server = ServerId::clone(server);
        Some(Pick {
            server,
            last_resort: false,
        })
    }

    /// Returns an ejected replica whose probe is due, and notes the probe.
    pub fn take_probe(&mut self, replicas: &[ServerId], now: Instant) -> Option<ServerId> {
        for server in replicas {
            let Some(stats) = self.servers.get_mut(server) else {
                continue;
            };
            if stats.wants_probe(now) && !stats.is_leaving(now) {
                stats.postpone_probe(now);
                return Some(ServerId::clone(server));
            }
        }
        None
    }

    /// Returns whether no replica is in good standing.
    #[must_use]
    pub fn none_available(&self, replicas: &[ServerId], now: Instant) -> bool {
        !replicas
            .iter()
            .any(|server| self.takes_calls(server, now) && self.is_sound(server))
    }

    /// Returns whether a replica gave rows lately, however slowly.
    #[must_use]
    pub fn any_responsive(&self, replicas: &[ServerId], now: Instant) -> bool {
        let since = now.checked_sub(RESPONSIVE_AGE);
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .any(|stats| since.is_some_and(|since| stats.gave_rows_since(since)))
    }

    /// Ends ramps and ejects replicas that are far slower than the best.
    fn review(&mut self, replicas: &[ServerId], now: Instant) {
        let best = self.best_of(replicas);
        for server in replicas {
            let before = self.state(server);
            let Some(stats) = self.servers.get_mut(server) else {
                continue;
            };
            stats.settle(now);
            if best.is_some_and(|best| is_outlier(stats, best)) {
                stats.eject(now);
                self.note_change(server, before, EjectCause::Slow);
            }
        }
    }

    fn best_of(&self, replicas: &[ServerId]) -> Option<Duration> {
        replicas
            .iter()
            .filter_map(|server| self.servers.get(server))
            .filter(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
            .filter(|stats| stats.samples() >= OUTLIER_SAMPLES)
            .filter_map(ReplicaStats::service)
            .min()
    }

    fn usual_of(&self, replicas: &[ServerId]) -> Duration {
        self.best_of(replicas).unwrap_or_else(|| self.usual())
    }

    fn takes_calls(&self, server: &ServerId, now: Instant) -> bool {
        self.servers
            .get(server)
            .is_none_or(|stats| !stats.is_leaving(now))
    }

    fn is_sound(&self, server: &ServerId) -> bool {
        self.servers
            .get(server)
            .is_none_or(|stats| !matches!(stats.state, ReplicaState::Ejected(_)))
    }

    fn badness(&self, server: &ServerId) -> (u32, Duration) {
        let Some(stats) = self.servers.get(server) else {
            return (0, Duration::ZERO);
        };
        (stats.faults(), stats.service().unwrap_or_default())
    }

    fn ramp(&self, server: &ServerId, now: Instant) -> f64 {
        self.servers
            .get(server)
            .map_or(1.0, |stats| stats.ramp(now))
    }

    fn score(&self, server: &ServerId, usual: Duration, now: Instant) -> Duration {
        let Some(stats) = self.servers.get(server) else {
            return usual;
        };
        let turns = 1.0 + f64::from(stats.in_flight) / f64::from(stats.slots);
        let factor = turns * stats.health_factor(now) * stats.refusal_factor(now);
        stats.wait(now) + stats.fresh_service(usual, now).mul_f64(factor) + stats.penalty
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
