//! The lookup of routes.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Route, RouteDocument, ServicePolicy, TrafficLimits};
use crate::ids::ServiceId;

/// The routes of one document, ready for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The operators' own number of the document.
    pub version: u64,
    /// What is known of services besides their backend servers.
    pub services: BTreeMap<ServiceId, ServicePolicy>,
    /// Bounds on what callers may send.
    pub limits: TrafficLimits,
    /// The routes of each host, those with the longest prefixes first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Makes the table of a document.
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
            hosts,
        }
    }

    /// Returns the route of a host, with or without a port, and a path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
