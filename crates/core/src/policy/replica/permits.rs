//! Permits for calls to backend servers that state a limit.

use std::time::{Duration, Instant};

use super::{event::ReplicaEvent, table::ReplicaTable};
use crate::{
    ids::ServerId,
    policy::server_limit::{PermitClaim, PermitGrant},
};

/// The maximum number of servers without a permit that one request claims permits for. More would
/// mostly expire unused.
const MAX_CLAIMS: usize = 2;

impl ReplicaTable {
    /// Returns whether any backend server states a limit on its calls, or has stated its end in a
    /// reply that no claim has told yet.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.limited.is_empty() || !self.unlimited.is_empty()
    }

    /// Returns whether a backend server states a limit on its calls.
    #[must_use]
    pub fn has_limit(&self, server: &ServerId) -> bool {
        self.limited.contains(server)
    }

    /// Returns the time until the first of `replicas` may get a call and its limit allows one: zero if
    /// both hold for one now, `None` if none may get any more.
    #[must_use]
    pub fn permitted_in(&self, replicas: &[ServerId], now: Instant) -> Option<Duration> {
        let permitted_in = |server| match self.servers.get(server) {
            Some(stats) => stats.permitted_in(now),
            None => Some(Duration::ZERO),
        };
        replicas.iter().filter_map(permitted_in).min()
    }

    /// Returns whether only their limits keep replicas from getting a call now.
    #[must_use]
    pub fn lacks_permits(&self, replicas: &[ServerId], now: Instant) -> bool {
        let mut open = replicas
            .iter()
            .filter(|server| self.accepts_calls(server, now))
            .peekable();
        open.peek().is_some() && open.all(|server| !self.has_permit(server, now))
    }

    /// Returns whether the permits for the calls to all replicas have just run out, so that a request
    /// for them waits in vain.
    #[must_use]
    pub fn is_short(&self, replicas: &[ServerId], now: Instant) -> bool {
        let is_short = |server: &ServerId| {
            let stats = self.servers.get(server);
            stats.is_some_and(|stats| stats.is_short(now))
        };
        let open = |server: &&ServerId| self.accepts_calls(server, now);
        self.lacks_permits(replicas, now) && replicas.iter().filter(open).all(is_short)
    }

    /// Claims permits for replicas none of which may get a call now because of its limit.
    pub fn want_permits(&mut self, replicas: &[ServerId], now: Instant) {
        if !self.has_limits() || !self.lacks_permits(replicas, now) {
            return;
        }
        let open = replicas.iter().filter(|s| self.accepts_calls(s, now));
        let mut open: Vec<_> = open.collect();
        open.sort_by_cached_key(|server| {
            let stats = self.servers.get(*server);
            stats.map(|stats| stats.claim_rank(now))
        });
        self.first_permitted(&open, now);
    }

    /// Uses up a permit for a call that is sent now, if the backend server states a limit.
    pub(crate) fn use_permit(&mut self, server: &ServerId, now: Instant) {
        let stats = self.servers.get_mut(server);
        if let Some(permits) = stats.and_then(|stats| stats.permits()) {
            permits.spend(now);
        }
    }

    /// Returns the first of `ranked` whose limit, if there is one, allows a call now. Claims permits
    /// for those before it.
    pub(super) fn first_permitted(
        &mut self,
        ranked: &[&ServerId],
        now: Instant,
    ) -> Option<ServerId> {
        let has_permit = |server: &&&ServerId| self.has_permit(server, now);
        let first = ranked.iter().position(|server| has_permit(&server));
        let lacking = &ranked[..first.unwrap_or(ranked.len())];
        for server in lacking.iter().take(MAX_CLAIMS) {
            if let Some(permits) = self.servers.get_mut(*server).and_then(|s| s.permits()) {
                permits.want();
            }
        }
        first.map(|first| ServerId::clone(ranked[first]))
    }

    /// Returns the claims that are due, and counts them as sent.
    pub fn take_claims(&mut self, now: Instant) -> Vec<PermitClaim> {
        self.drop_ended_limits(now);
        let ended = self
            .unlimited
            .drain(..)
            .map(|(server, ended_at)| PermitClaim {
                server,
                limit: None,
                age: now.saturating_duration_since(ended_at).into(),
                calls: 0,
            });
        let mut claims: Vec<_> = ended.collect();
        for server in &self.limited {
            let stats = self.servers.get_mut(server);
            let Some(permits) = stats.and_then(|stats| stats.permits()) else {
                continue;
            };
            if let Some(calls) = permits.take_claim() {
                claims.push(PermitClaim {
                    server: ServerId::clone(server),
                    limit: Some(permits.limit()),
                    age: now.saturating_duration_since(permits.stated_at()).into(),
                    calls,
                });
            }
        }
        claims
    }

    /// Records the answer to a claim that was sent at `sent_at`.
    pub fn on_grant(
        &mut self,
        claim: &PermitClaim,
        grant: PermitGrant,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(stats) = self.servers.get_mut(&claim.server) else {
            return;
        };
        let Some(permits) = stats.permits() else {
            return;
        };
        match grant {
            PermitGrant::Calls(calls) => permits.grant(claim.calls, calls, now),
            PermitGrant::Unlimited if permits.stated_at() > sent_at => {
                permits.grant(claim.calls, 0, now);
            }
            // The statement that ended concerns the limit that the server itself stated.
            PermitGrant::Unlimited if stats.is_cold(now) => {
                stats.end_stated(now);
                if let Some(permits) = stats.permits() {
                    permits.grant(claim.calls, 0, now);
                }
            }
            PermitGrant::Unlimited => {
                stats.end_stated(now);
                self.limited.remove(&claim.server);
                let server = ServerId::clone(&claim.server);
                self.push_event(ReplicaEvent::Unlimited { server });
            }
        }
    }

    /// Returns whether the calls to a backend server are limited because it is cold.
    #[must_use]
    pub fn is_cold(&self, server: &ServerId, now: Instant) -> bool {
        let stats = self.servers.get(server);
        stats.is_some_and(|stats| stats.is_cold(now))
    }

    /// Updates whether the calls to a backend server are limited.
    pub(super) fn update_limit(&mut self, server: &ServerId, now: Instant) {
        let Some(stats) = self.servers.get_mut(server) else {
            return;
        };
        stats.check_limit(now);
        let is_cold = stats.is_cold(now);
        let limit = stats.permits().map(|permits| permits.limit());
        let Some(limit) = limit else {
            self.limited.remove(server);
            return;
        };
        if self.limited.insert(ServerId::clone(server)) && is_cold {
            let server = ServerId::clone(server);
            self.push_event(ReplicaEvent::Cold { server, limit });
        }
    }

    /// Drops the permits for backend servers that have warmed up.
    fn drop_ended_limits(&mut self, now: Instant) {
        let servers = &mut self.servers;
        let ended = self.limited.extract_if(|server| {
            let stats = servers.get_mut(server);
            stats.is_none_or(|stats| stats.drop_ended_limit(now))
        });
        let ended: Vec<ServerId> = ended.collect();
        for server in ended {
            self.push_event(ReplicaEvent::Warm { server });
        }
    }

    fn has_permit(&self, server: &ServerId, now: Instant) -> bool {
        let stats = self.servers.get(server);
        stats.is_none_or(|stats| stats.has_permit(now))
    }
}
