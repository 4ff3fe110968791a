//! The permits that one VM hands out for backend servers that state a limit.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::CallRate;
use crate::{
    ids::{ServerId, VmId},
    policy::warmup::FleetSight,
    time::Millis,
};

/// The time in which VMs may still disagree about which of them hands out the permits of a server.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The share of the limit that is handed out during that time, since the permits of the VM that
/// handed them out before may still be in use.
const SETTLE_SHARE: f64 = 0.4;
/// The time for which unclaimed permits accumulate.
const BURST_TIME: Duration = Duration::from_millis(250);
/// The same for cold servers.
const COLD_BURST_TIME: Duration = Duration::from_millis(100);
/// The time without a claim after which a server's pool is dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// A claim of permits for one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitClaim {
    /// The backend server.
    pub server: ServerId,
    /// The limit that the backend server stated last; `None` if it states none any more.
    pub limit: Option<CallRate>,
    /// The time since the reply that stated this.
    pub age: Millis,
    /// The number of permits.
    pub calls: u32,
}

/// The answer to a [`PermitClaim`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitGrant {
    /// This many calls may be sent.
    Calls(u32),
    /// The backend server has stated since that it has no limit any more.
    Unlimited,
}

/// How the permits for a backend server are handed out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allotment {
    /// The server states a limit, which holds over some seconds.
    Stated,
    /// The server is cold, and the limit holds in each second.
    Cold(FleetSight),
}

/// The permits that one VM hands out.
#[derive(Clone, Debug, Default)]
pub struct PermitAllocator {
    pools: HashMap<ServerId, Pool>,
}

/// The permits for one backend server.
#[derive(Clone, Debug)]
struct Pool {
    /// The last known statement of the server: its limit, or that it has none.
    limit: Option<CallRate>,
    stated_at: Instant,
    permits: f64,
    started_at: Instant,
    claimed_at: Instant,
}

impl PermitAllocator {
    /// Hands out permits, at most as many as the limits allow.
    pub fn grant(
        &mut self,
        claim: &PermitClaim,
        allotment: Allotment,
        now: Instant,
    ) -> PermitGrant {
        // Clocks that start with the machine may be younger than the age.
        let stated_at = now.checked_sub(claim.age.0).unwrap_or(now);
        let pool = self
            .pools
            .entry(ServerId::clone(&claim.server))
            .or_insert_with(|| Pool::new(claim.limit, stated_at, now));
        pool.add_permits(allotment, now);
        if stated_at > pool.stated_at {
            pool.stated_at = stated_at;
            pool.limit = claim.limit;
        }
        match pool.limit {
            Some(_) => PermitGrant::Calls(pool.take(claim.calls)),
            None => PermitGrant::Unlimited,
        }
    }

    /// Drops the pools that nobody has claimed from for a while.
    pub fn drop_idle(&mut self, now: Instant) {
        self.pools
            .retain(|_, pool| now.saturating_duration_since(pool.claimed_at) < IDLE_TIME);
    }
}

impl Pool {
    const fn new(limit: Option<CallRate>, stated_at: Instant, now: Instant) -> Self {
        Self {
            limit,
            stated_at,
            permits: 0.0,
            started_at: now,
            claimed_at: now,
        }
    }

    fn add_permits(&mut self, allotment: Allotment, now: Instant) {
        let elapsed = now.saturating_duration_since(self.claimed_at);
        self.claimed_at = now;
        let Some(limit) = self.limit else {
            return;
        };
        let tenure = now.saturating_duration_since(self.started_at);
        let (share, burst) = match allotment {
            Allotment::Stated if tenure >= SETTLE_TIME => (1.0, BURST_TIME),
            Allotment::Stated => (SETTLE_SHARE, BURST_TIME),
            Allotment::Cold(sight) => (sight.grant_share(tenure), COLD_BURST_TIME),
        };
        let burst = limit.calls_in(burst).max(1.0);
        self.permits = (self.permits + limit.calls_in(elapsed) * share).min(burst);
    }

    fn take(&mut self, calls: u32) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and a burst of the highest rate fits"
        )]
        let granted = calls.min(self.permits as u32);
        self.permits -= f64::from(granted);
        granted
    }
}

/// Returns the VM that hands out the permits of a backend server: the same one wherever the same VMs
/// are known, and another one for few servers only when a VM joins or leaves.
#[must_use]
pub fn choose_allocator<'a>(
    server: &ServerId,
    vms: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    vms.max_by_key(|vm| {
        let mut hasher = Xxh3::new();
        hasher.update(server.as_bytes());
        hasher.update(vm.as_bytes());
        (hasher.digest(), VmId::clone(vm))
    })
}
