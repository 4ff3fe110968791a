//! The backend servers of each service, as the platform publishes them and a moment longer.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::ServerDocument;
use crate::{
    ids::{ServerId, ServiceId},
    index::ServerState,
};

/// How long a backend server whose document vanished may still be used for want of others.
///
/// The platform restores the documents of servers that live within two seconds after an outage
/// in which they lapsed.
pub const LAPSE_HOLD: Duration = Duration::from_secs(2);

/// The backend servers of each service.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: HashMap<ServerId, Listing>,
    services: HashMap<ServiceId, Vec<ServerId>>,
}

#[derive(Clone, Debug)]
struct Listing {
    document: Arc<ServerDocument>,
    /// When its document was missed first; none while it is published.
    lapsed: Option<Instant>,
}

impl Roster {
    /// Takes over the documents that are published now.
    pub fn sync(&mut self, published: &BTreeMap<ServerId, Arc<ServerDocument>>, now: Instant) {
        for (id, listing) in &mut self.servers {
            match published.get(id) {
                Some(document) => {
                    listing.document = Arc::clone(document);
                    listing.lapsed = None;
                }
                None => {
                    listing.lapsed.get_or_insert(now);
                }
            }
        }
        for (id, document) in published {
            self.servers
                .entry(ServerId::clone(id))
                .or_insert_with(|| Listing {
                    document: Arc::clone(document),
                    lapsed: None,
                });
        }
        self.servers
            .retain(|_, listing| !listing.is_over(now) && listing.is_current());
        self.services.clear();
        for (id, listing) in &self.servers {
            let service = ServiceId::clone(&listing.document.service);
            let ids = self.services.entry(service).or_default();
            ids.push(ServerId::clone(id));
        }
        self.services.values_mut().for_each(|ids| ids.sort());
    }

    /// Returns the backend servers of a service that may be sent new work.
    ///
    /// Those that are published and serve; when there is none, those whose document vanished a
    /// moment ago while they served.
    #[must_use]
    pub fn usable(&self, service: &str, now: Instant) -> Vec<ServerId> {
        let Some(ids) = self.services.get(service) else {
            return Vec::new();
        };
        let of = |wanted: fn(&Listing, Instant) -> bool| {
            let found = ids.iter().filter(|id| wanted(&self.servers[*id], now));
            found.map(ServerId::clone).collect::<Vec<_>>()
        };
        let serving = of(|listing, _| listing.serves() && listing.lapsed.is_none());
        if !serving.is_empty() {
            return serving;
        }
        of(|listing, now| listing.serves() && !listing.is_over(now))
    }

    /// Returns the document of a backend server.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&Arc<ServerDocument>> {
        self.servers.get(server).map(|listing| &listing.document)
    }

    /// Returns whether a service has a backend server.
    #[must_use]
    pub fn has(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the services that have a backend server.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Vec<ServerId>)> {
        self.services.iter()
    }
}

impl Listing {
    fn serves(&self) -> bool {
        self.document.state == ServerState::Serving
    }

    /// Returns whether its document vanished too long ago for it to be used.
    fn is_over(&self, now: Instant) -> bool {
        self.lapsed
            .is_some_and(|at| now.saturating_duration_since(at) >= LAPSE_HOLD)
    }

    /// Returns whether it is published, or was serving when its document vanished.
    fn is_current(&self) -> bool {
        self.lapsed.is_none() || self.serves()
    }
}
