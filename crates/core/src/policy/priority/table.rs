//! What one VM knows about the congestion of services with several priorities.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngCore};

use super::{Rank, RouteRanks, gate::Gate, refused::RefusedRequests};
use crate::{
    ids::{RouteId, ServiceId},
    policy::{outcome::CallOutcome, poison::Fingerprint},
};

/// The time after which a refused request may come back if nearly all are admitted. Where few are, it is as
/// many times longer, so that about as many come back as find room.
const RETRY_TIME: Duration = Duration::from_millis(250);
/// The longest time after which a refused request may come back.
const RETRY_TIME_MAX: Duration = Duration::from_secs(2);

/// A request as the priority table sees it.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass<'a> {
    /// The route.
    pub route: &'a RouteId,
    /// The service whose servers the request needs.
    pub service: &'a ServiceId,
    /// The address of the caller; `None` if another VM passed the request on.
    pub caller: Option<IpAddr>,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
}

/// Whether a request is admitted beside those of higher priorities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admittance {
    /// The request is admitted.
    Admitted,
    /// The request is refused, since calls of higher priorities need the room.
    Refused {
        /// The time after which the request may come back.
        retry_after: Duration,
        /// The share of the requests of its priority that is admitted, 0 to 1.
        share: f64,
    },
}

/// What one VM knows about the congestion of services with several priorities.
#[derive(Clone, Debug, Default)]
pub struct PriorityTable {
    ranks: Arc<RouteRanks>,
    gates: HashMap<ServiceId, Gate>,
    refused: RefusedRequests,
}

impl PriorityTable {
    /// Sets the ranks of the routes in force.
    pub fn set_ranks(&mut self, ranks: &Arc<RouteRanks>) {
        if Arc::ptr_eq(&self.ranks, ranks) {
            return;
        }
        self.ranks = Arc::clone(ranks);
        self.gates.retain(|service, gate| {
            let lowest = ranks.lowest(service);
            if let Some(lowest) = lowest {
                gate.set_lowest(lowest);
            }
            lowest.is_some()
        });
    }

    /// Returns the rank of a route.
    #[must_use]
    pub fn rank(&self, route: &RouteId) -> Rank {
        self.ranks.rank(route)
    }

    /// Records the end of a call to a backend server of a service.
    pub fn on_report(
        &mut self,
        service: &ServiceId,
        route: &RouteId,
        outcome: CallOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(lowest) = self.ranks.lowest(service) else {
            return;
        };
        if !self.gates.contains_key(service) {
            let gate = Gate::new(lowest, now);
            self.gates.insert(ServiceId::clone(service), gate);
        }
        if let Some(gate) = self.gates.get_mut(service) {
            let rank = self.ranks.rank(route);
            gate.on_report(route, rank, outcome, latency, now);
        }
    }

    /// Returns whether calls to a service wait or are refused, so that calls of lower ranks should not be
    /// repeated.
    #[must_use]
    pub fn is_congested(&self, service: &ServiceId) -> bool {
        self.gates.get(service).is_some_and(Gate::is_congested)
    }

    /// Admits a request or refuses it at once, depending on its rank.
    ///
    /// A request that was refused and comes back before its time is refused again, so that callers who
    /// repeat at once get no more than those who wait.
    pub fn admit(
        &mut self,
        request: &RequestClass<'_>,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> Admittance {
        let rank = self.ranks.rank(request.route);
        if rank == 0 {
            return Admittance::Admitted;
        }
        let Some(gate) = self.gates.get_mut(request.service) else {
            return Admittance::Admitted;
        };
        gate.grow(now);
        let share = gate.share(rank);
        if share >= 1.0 {
            return Admittance::Admitted;
        }
        if let Some(retry_after) = self.refused.wait(request, now) {
            return Admittance::Refused { retry_after, share };
        }
        if rng.random::<f64>() < share {
            return Admittance::Admitted;
        }
        gate.on_refused();
        let retry_after = RETRY_TIME.div_f64(share.max(1e-3)).min(RETRY_TIME_MAX);
        self.refused.insert(request, retry_after, now);
        Admittance::Refused { retry_after, share }
    }
}
