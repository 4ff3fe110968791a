//! Lookup of routes by host and path.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Route, RouteDocument, ServicePolicy, TrafficLimits};
use crate::{ids::ServiceId, policy::priority::RouteRanks};

/// The routes of one document, indexed by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The version that operators gave to the document.
    pub version: u64,
    /// The policies of services, by service.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// The limits on what callers may send.
    pub limits: TrafficLimits,
    /// The ranks of routes that share services.
    pub ranks: Arc<RouteRanks>,
    /// The routes by host in lower case, those of one host with the longest prefixes first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates the table of a document.
    #[must_use]
    pub fn new(document: &RouteDocument) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version: document.version,
            services: document.services.clone(),
            limits: document.limits.clone(),
            ranks: Arc::new(RouteRanks::new(&document.routes)),
            hosts,
        }
    }

    /// Returns the route for a host, with or without a port, and a path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
