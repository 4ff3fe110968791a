//! Weighted choice among the services of a split route.

use std::collections::HashMap;

use super::SplitShare;
use crate::ids::{RouteId, ServiceId};

/// Distributes the requests on split routes to services in proportion to their weights.
///
/// The choice is smooth weighted round-robin, so the proportions hold over any short run of
/// requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// The credit of each service, by route.
    credits: HashMap<RouteId, HashMap<ServiceId, f64>>,
}

impl Splitter {
    /// Returns the service for the next request on a route, or `None` if `shares` is empty.
    pub fn pick(&mut self, route: &RouteId, shares: &[SplitShare]) -> Option<ServiceId> {
        let credits = self.credits.entry(RouteId::clone(route)).or_default();
        credits.retain(|service, _| shares.iter().any(|share| share.service == *service));
        let mut total = 0.0;
        for share in shares {
            total += share.weight;
            *credits.entry(ServiceId::clone(&share.service)).or_default() += share.weight;
        }
        let best = shares.iter().map(|share| &share.service).max_by(|a, b| {
            let (a, b) = (credits[*a], credits[*b]);
            a.total_cmp(&b)
        })?;
        let best = ServiceId::clone(best);
        *credits.entry(ServiceId::clone(&best)).or_default() -= total;
        Some(best)
    }
}
