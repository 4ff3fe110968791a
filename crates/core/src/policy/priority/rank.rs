//! The rank of a route among those that share its services.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    ids::{RouteId, ServiceId},
    routes::{Route, RouteTarget},
};

/// The number of higher priorities on a service; zero for the highest.
pub type Rank = u32;

/// The ranks of the routes of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRanks {
    /// The routes below the highest priority.
    lower: HashMap<RouteId, Rank>,
    /// The services with several priorities, each with its lowest rank; without the shards of searches,
    /// which are answered although some shards are short of room.
    contended: HashMap<ServiceId, Rank>,
}

impl RouteRanks {
    /// Returns the ranks of routes.
    #[must_use]
    pub fn new(routes: &[Route]) -> Self {
        let mut priorities: BTreeMap<&ServiceId, BTreeSet<u32>> = BTreeMap::new();
        for route in routes {
            for service in services(route) {
                priorities
                    .entry(service)
                    .or_default()
                    .insert(route.priority);
            }
        }
        priorities.retain(|_, priorities| priorities.len() > 1);
        let rank = |service: &ServiceId, priority: u32| {
            let priorities = priorities.get(service);
            let higher = priorities.map_or(0, |known| known.range(..priority).count());
            Rank::try_from(higher).unwrap_or(Rank::MAX)
        };
        let ranked = routes.iter().map(|route| {
            let ranks = services(route).map(|service| rank(service, route.priority));
            (RouteId::clone(&route.name), ranks.max().unwrap_or(0))
        });
        let searches = routes.iter().filter(|route| is_search(route));
        let shards: BTreeSet<&ServiceId> = searches.flat_map(services).collect();
        let whole = priorities
            .iter()
            .filter(|(service, _)| !shards.contains(*service));
        let contended = whole.map(|(service, priorities)| {
            let lowest = Rank::try_from(priorities.len() - 1).unwrap_or(Rank::MAX);
            (ServiceId::clone(service), lowest)
        });
        Self {
            lower: ranked.filter(|(_, rank)| *rank > 0).collect(),
            contended: contended.collect(),
        }
    }

    /// Returns the rank of a route.
    #[must_use]
    pub fn rank(&self, route: &RouteId) -> Rank {
        self.lower.get(route).copied().unwrap_or(0)
    }

    /// Returns the lowest rank on a service; `None` if its routes have one priority.
    pub(super) fn lowest(&self, service: &ServiceId) -> Option<Rank> {
        self.contended.get(service).copied()
    }
}

fn is_search(route: &Route) -> bool {
    matches!(route.target, RouteTarget::Shards(_))
}

/// Returns the services that requests on a route go to.
fn services(route: &Route) -> Box<dyn Iterator<Item = &ServiceId> + '_> {
    match &route.target {
        RouteTarget::Service(service) => Box::new(std::iter::once(service)),
        RouteTarget::Split(shares) => Box::new(shares.iter().map(|share| &share.service)),
        RouteTarget::Shards(set) => Box::new(set.services.iter()),
    }
}
