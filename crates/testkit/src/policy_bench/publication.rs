//! Publication of index versions in a run, to backend servers and to entries.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use cassialift_core::{
    ids::{IndexVersion, ServerId},
    index::{IndexDocument, ServerEntry, ServerState, ShardEntry},
};
use rand::Rng;

use super::{
    backend::{Condition, FakeServer},
    deployment::ENTRY_COUNT,
    event::Event,
    simulation::{Entry, Simulation},
};

/// Upper bound of the random delay until an entry receives a new index document.
const MAX_LEARN_DELAY: Duration = Duration::from_millis(300);

impl Simulation {
    /// Publishes a new index version of the first service.
    ///
    /// Its backend servers can serve the version at once; entries learn of it after a delay.
    pub(super) fn publish(&mut self, shards: u32) {
        let version = self.latest_documents[0].version + 1;
        let document = self.new_document(0, version, shards);
        self.latest_documents[0] = Arc::new(document);
        for entry in 0..ENTRY_COUNT {
            let delay = MAX_LEARN_DELAY.mul_f64(self.load_rng.random());
            self.events
                .push(self.now + delay, Event::IndexUpdate(entry));
        }
    }

    /// Returns a new index document and adds the backend servers that it lists.
    pub(super) fn new_document(
        &mut self,
        service: usize,
        version: IndexVersion,
        shards: u32,
    ) -> IndexDocument {
        let shape = self.settings.deployment.services[service].clone();
        let mut document = IndexDocument {
            service: shape.name.into(),
            version,
            shards: Vec::new(),
            servers: Vec::new(),
        };
        for shard in 0..shards {
            let mut replicas = Vec::new();
            for copy in 0..shape.replicas {
                let id = ServerId::from(format!("{}-{shard}-{copy}", shape.name));
                self.add_version(&id, service, shape.slots, version);
                document.servers.push(server_entry(&id, shape.slots));
                replicas.push(id);
            }
            document.shards.push(ShardEntry { shard, replicas });
        }
        document
    }

    /// Adds an index version to a backend server, and the server itself if it is new.
    fn add_version(&mut self, id: &ServerId, service: usize, slots: u32, version: IndexVersion) {
        if let Some(&server) = self.server_indexes.get(id) {
            self.servers[server].versions.insert(version);
            return;
        }
        self.server_indexes
            .insert(ServerId::clone(id), self.servers.len());
        self.servers.push(FakeServer {
            id: ServerId::clone(id),
            service,
            condition: Condition::Up(1.0),
            versions: BTreeSet::from([version]),
            slots,
            running: 0,
        });
        let server = self.servers.len() - 1;
        for sender in 0..self.settings.routing.senders() {
            let owner = self.new_queue(server, sender);
            self.queues.push(owner);
        }
        self.record_standby(server);
    }

    /// Handles the receipt of the latest index documents by an entry.
    ///
    /// Requests that wait for a newer version of the index are restarted.
    pub(super) fn on_index_update(&mut self, entry: usize) {
        let documents = self.documents(entry);
        let Entry { tables, .. } = &mut self.entries[entry];
        tables.replicas.sync(&documents[0], self.now);
        self.entries[entry].documents = documents;
        let mut stalled: Vec<_> = self
            .searches
            .iter()
            .filter(|(_, search)| search.stalled && search.entry == entry)
            .map(|(id, _)| *id)
            .collect();
        stalled.sort_unstable();
        for search in stalled {
            self.restart(search);
        }
    }
}

fn server_entry(id: &ServerId, slots: u32) -> ServerEntry {
    ServerEntry {
        id: ServerId::clone(id),
        address: ([127, 0, 0, 1], 1).into(),
        centre: "one".into(),
        slots,
        connections: 25,
        state: ServerState::Serving,
    }
}
