//! The limits on the calls to one backend server: the one that it states, and that of a cold server.

use std::time::{Duration, Instant};

use super::stats::ReplicaStats;
use crate::policy::{
    server_limit::{CallRate, Permits, StatedLimit},
    warmup::WarmupPolicy,
};

impl ReplicaStats {
    /// Records what the reply to a call that was sent at `sent_at` states about the limit. Returns
    /// whether that was not known.
    pub(crate) fn set_limit(
        &mut self,
        stated: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        if self.may_be_of_former_run(sent_at) {
            return false;
        }
        let known = self.stated;
        match stated {
            StatedLimit::Unknown => return false,
            StatedLimit::Unlimited => {
                // The reply may have been made before the limit was stated.
                let is_newer = self
                    .permits
                    .as_ref()
                    .is_none_or(|permits| sent_at >= permits.stated_at());
                if !is_newer {
                    return false;
                }
                self.stated = None;
            }
            StatedLimit::Limited(limit) => self.stated = Some(limit),
        }
        let is_new = self.stated != known;
        if is_new || self.stated.is_some() {
            self.update_permits(now);
        }
        is_new
    }

    /// Records what the document of the backend server and its service state about cold starts.
    pub(crate) fn set_warmup(
        &mut self,
        policy: Option<WarmupPolicy>,
        remaining: Duration,
        now: Instant,
    ) {
        self.warmup.set_listed(policy, remaining, now);
    }

    /// Records that the reply to a call that was sent at `sent_at` states how long the backend server
    /// stays cold.
    pub(crate) fn set_cold(&mut self, remaining: Duration, sent_at: Instant, now: Instant) {
        if !self.may_be_of_former_run(sent_at) {
            self.warmup.set_stated(remaining, now);
        }
    }

    /// Creates, changes or drops the permits according to the limit in force.
    pub(crate) fn update_permits(&mut self, now: Instant) {
        let Some(limit) = self.limit(now) else {
            self.permits = None;
            return;
        };
        let is_cold = self.is_cold(now);
        match &mut self.permits {
            Some(permits) => permits.set_limit(limit, is_cold, now),
            None if is_cold => self.permits = Some(Permits::for_cold_server(limit, now)),
            None => self.permits = Some(Permits::new(limit, now)),
        }
    }

    /// Updates the permits if the limit in force is another one than theirs.
    pub(crate) fn check_limit(&mut self, now: Instant) {
        let known = self.permits.as_ref().map(Permits::limit);
        if known != self.limit(now) {
            self.update_permits(now);
        }
    }

    /// Returns whether the service limits the calls to cold servers.
    pub(crate) const fn may_be_cold(&self) -> bool {
        self.warmup.has_policy()
    }

    /// Drops permits whose limit has ended by itself; returns whether it has.
    pub(crate) fn drop_ended_limit(&mut self, now: Instant) -> bool {
        let has_ended = self.permits.is_some() && self.limit(now).is_none();
        if has_ended {
            self.permits = None;
        }
        has_ended
    }

    /// Returns the limit in force: the lower one if there are two.
    fn limit(&self, now: Instant) -> Option<CallRate> {
        let limits = [self.stated, self.warmup.rate(now)];
        limits.into_iter().flatten().min()
    }

    /// Returns whether the calls are limited because the backend server is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.warmup.rate(now).is_some()
    }

    /// Returns the permits for calls; `None` if nothing limits them.
    pub(crate) const fn permits(&mut self) -> Option<&mut Permits> {
        self.permits.as_mut()
    }

    /// Returns whether the permits for calls to the backend server have just run out.
    pub(crate) fn is_short(&self, now: Instant) -> bool {
        let permits = self.permits.as_ref();
        permits.is_some_and(|permits| permits.is_short(now))
    }

    /// Returns the rank of the backend server among those that lack permits: the lowest is the one
    /// for which a claim is most likely to bring one.
    pub(crate) fn claim_rank(&self, now: Instant) -> (bool, u32) {
        let permits = self.permits.as_ref();
        permits.map_or((false, 0), |permits| permits.claim_rank(now))
    }

    /// Ends the limit that the backend server stated.
    pub(crate) fn end_stated(&mut self, now: Instant) {
        self.stated = None;
        self.update_permits(now);
    }

    /// Returns whether the limit in force, if there is one, allows a call now.
    pub(crate) fn has_permit(&self, now: Instant) -> bool {
        let permits = self.permits.as_ref();
        permits.is_none_or(|permits| permits.has_one(now) || self.limit(now).is_none())
    }

    /// Returns the time until the backend server may get a call and its limit allows one: zero if both
    /// hold now, `None` if it must not get any more.
    pub(crate) fn permitted_in(&self, now: Instant) -> Option<Duration> {
        let pause = self.ready_in(now)?;
        if self.has_permit(now) {
            return Some(pause);
        }
        let permit = self.permits.as_ref().map(|permits| permits.ready_in(now));
        Some(pause.max(permit.unwrap_or_default()))
    }
}
