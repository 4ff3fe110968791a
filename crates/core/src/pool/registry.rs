//! The backend servers of each service, including those whose documents disappeared recently.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use super::ServerDocument;
use crate::{
    evacuation::EvacuatedCentres,
    ids::{ServerId, ServiceId},
    index::ServerState,
};

/// The time for which a backend server may still be used after its document disappeared, if its
/// service has no other.
///
/// Documents expire during an outage of the platform. The platform publishes the documents of
/// running servers again within two seconds after the outage.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);

/// The known backend servers, by service.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    servers: HashMap<ServerId, RegisteredServer>,
    services: HashMap<ServiceId, Vec<ServerId>>,
    evacuated: EvacuatedCentres,
}

#[derive(Clone, Debug)]
struct RegisteredServer {
    /// The last published document.
    document: Arc<ServerDocument>,
    /// The time at which the document was first found missing; `None` while it is published.
    missing_since: Option<Instant>,
}

impl ServerRegistry {
    /// Replaces the published documents.
    ///
    /// A serving server that is no longer published stays for [`REMOVAL_GRACE`].
    pub fn sync(&mut self, published: &BTreeMap<ServerId, Arc<ServerDocument>>, now: Instant) {
        for (id, server) in &mut self.servers {
            match published.get(id) {
                Some(document) => {
                    server.document = Arc::clone(document);
                    server.missing_since = None;
                }
                None => {
                    server.missing_since.get_or_insert(now);
                }
            }
        }
        for (id, document) in published {
            self.servers
                .entry(ServerId::clone(id))
                .or_insert_with(|| RegisteredServer {
                    document: Arc::clone(document),
                    missing_since: None,
                });
        }
        self.servers
            .retain(|_, server| !server.is_expired(now) && server.should_keep());
        self.services.clear();
        for (id, server) in &self.servers {
            let service = ServiceId::clone(&server.document.service);
            let ids = self.services.entry(service).or_default();
            ids.push(ServerId::clone(id));
        }
        self.services.values_mut().for_each(|ids| ids.sort());
    }

    /// Sets the data centres whose backend servers get no work.
    pub fn set_evacuated(&mut self, evacuated: &EvacuatedCentres) {
        self.evacuated = Arc::clone(evacuated);
    }

    /// Returns whether a known backend server is in an evacuated data centre.
    #[must_use]
    pub fn is_evacuated(&self, server: &str) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| self.evacuated.contains(&server.document.centre))
    }

    /// Returns the backend servers of a service that may be sent new work, sorted by name.
    ///
    /// These are the published servers that are serving, outside evacuated data centres. If there are none, these are the servers
    /// that were serving when their documents disappeared, less than [`REMOVAL_GRACE`] ago.
    #[must_use]
    pub fn usable_servers(&self, service: &str, now: Instant) -> Vec<ServerId> {
        let Some(ids) = self.services.get(service) else {
            return Vec::new();
        };
        let select = |accept: fn(&RegisteredServer, Instant) -> bool| {
            let found = ids.iter().filter(|id| {
                let server = &self.servers[*id];
                accept(server, now) && !self.evacuated.contains(&server.document.centre)
            });
            found.map(ServerId::clone).collect::<Vec<_>>()
        };
        let serving = select(|server, _| server.is_serving() && server.missing_since.is_none());
        if !serving.is_empty() {
            return serving;
        }
        select(|server, now| server.is_serving() && !server.is_expired(now))
    }

    /// Returns the last published document of a known backend server.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&Arc<ServerDocument>> {
        self.servers.get(server).map(|server| &server.document)
    }

    /// Returns whether a service has a known backend server.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the services that have known backend servers, with the servers sorted by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Vec<ServerId>)> {
        self.services.iter()
    }
}

impl RegisteredServer {
    fn is_serving(&self) -> bool {
        self.document.state == ServerState::Serving
    }

    /// Returns whether the document has been missing for [`REMOVAL_GRACE`] or longer.
    fn is_expired(&self, now: Instant) -> bool {
        self.missing_since
            .is_some_and(|at| now.saturating_duration_since(at) >= REMOVAL_GRACE)
    }

    /// Returns whether the server is published, or was serving when its document disappeared.
    fn should_keep(&self) -> bool {
        self.missing_since.is_none() || self.is_serving()
    }
}
