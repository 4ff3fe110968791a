//! The replacement of an entry VM in a run: one leaves or is killed, later another takes its place.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use cassialift_core::{
    fleet::ownership::{rank, server_key},
    index::IndexDocument,
    policy::{
        EntryTables,
        outcome::{CallOutcome, NotRunCause, UnknownCause},
    },
};

use super::{
    deployment::ENTRY_COUNT,
    record::RequestEnd,
    routing::RoutingMode,
    server_queue::ServerQueue,
    simulation::{Entry, Simulation, Strategy},
};

/// How long the backend servers of an owner that was killed are used by nobody.
const TAKEOVER_TIME: Duration = Duration::from_millis(500);

impl Simulation {
    /// Makes an entry that has learned nothing yet.
    pub(super) fn new_entry(&self, entry: usize) -> Entry {
        let mut tables = EntryTables::default();
        let documents = self.documents(entry);
        for document in &documents {
            tables.replicas.sync(document, self.now);
        }
        Entry {
            tables,
            documents,
            absent: false,
        }
    }

    /// Returns the newest index documents, in so far as an entry can use them.
    pub(super) fn documents(&self, entry: usize) -> Vec<Arc<IndexDocument>> {
        let routing = self.settings.routing;
        let parts = self
            .latest_documents
            .iter()
            .map(|one| routing.part(one, entry));
        parts.map(Arc::new).collect()
    }

    /// Returns the entry that callers turn to when they find one gone.
    pub(super) fn next_present(&self, entry: usize) -> usize {
        let next = (0..ENTRY_COUNT).map(|step| (entry + step) % ENTRY_COUNT);
        let mut found = next.filter(|&other| !self.entries[other].absent);
        found.next().unwrap_or(entry)
    }

    /// Returns a call's place in the table of queues.
    pub(super) const fn queue_index(&self, server: usize, entry: usize) -> usize {
        match self.settings.routing {
            RoutingMode::Owner => server,
            direct @ (RoutingMode::DirectStatic | RoutingMode::DirectAdaptive) => {
                server * direct.senders() + entry
            }
        }
    }

    /// Makes the queue, limit and warm connections of one holder of a backend server.
    pub(super) fn new_queue(&mut self, server: usize, sender: usize) -> ServerQueue {
        let routing = self.settings.routing;
        let share = routing.share(server, self.servers[server].slots, sender);
        let warm = routing.warm(share);
        self.record_opened(warm);
        let naive = self.settings.strategy != Strategy::Policy;
        ServerQueue::new(naive, share, warm, self.preset.queue, self.now)
    }

    /// Notes the connections that a standby opens in advance.
    pub(super) fn record_standby(&mut self, server: usize) {
        if self.settings.routing == RoutingMode::Owner {
            self.record_opened(self.servers[server].slots);
        }
    }

    /// An entry VM leaves.
    pub(super) fn on_leave(&mut self, vm: usize) {
        self.entries[vm].absent = true;
        self.move_roles(vm);
    }

    /// An entry VM goes without notice.
    pub(super) fn on_kill(&mut self, vm: usize) {
        self.end_searches(vm);
        if self.settings.routing == RoutingMode::Owner {
            for server in 0..self.servers.len() {
                if self.roles(server)[0] == vm {
                    self.on_owner_killed(server);
                }
            }
        }
        self.on_leave(vm);
    }

    /// Another VM takes the place of one that went.
    pub(super) fn on_join(&mut self, vm: usize) {
        self.entries[vm] = self.new_entry(vm);
        self.move_roles(vm);
        if self.settings.routing == RoutingMode::Owner {
            return;
        }
        for server in 0..self.servers.len() {
            let queue = self.queue_index(server, vm);
            self.queues[queue] = self.new_queue(server, vm);
        }
    }

    /// Moves the roles of a VM that comes or goes.
    ///
    /// Whoever becomes the standby of a server opens connections; whoever becomes its owner has
    /// been its standby.
    fn move_roles(&mut self, vm: usize) {
        for server in 0..self.servers.len() {
            if self.roles(server).contains(&vm) {
                self.record_standby(server);
            }
        }
    }

    /// Ends the requests of a VM that was killed; their callers get no answer.
    fn end_searches(&mut self, vm: usize) {
        let searches = self.searches.iter();
        let held = searches.filter(|(_, search)| search.entry == vm);
        let mut held: Vec<_> = held.map(|(id, _)| *id).collect();
        held.sort_unstable();
        for id in held {
            let calls = &self.searches[&id].open_calls;
            let mut attempts: Vec<_> = calls.keys().copied().collect();
            attempts.sort_unstable();
            for attempt in attempts {
                self.cancel(id, attempt);
            }
            if let Some(search) = self.searches.remove(&id)
                && search.gather.next_timer().is_some()
            {
                self.record_end(&search, RequestEnd::Failed, 0);
            }
        }
    }

    /// The calls of an owner that was killed are lost, and its backend server has no owner for a while.
    fn on_owner_killed(&mut self, server: usize) {
        let calls = self.calls.iter();
        let held =
            calls.filter(|(_, call)| call.queue == server && call.at_sender && !call.finished);
        let mut held: Vec<_> = held.map(|(id, _)| *id).collect();
        held.sort_unstable();
        for id in held {
            self.free_slot(id);
            self.reply(id, CallOutcome::Unknown(UnknownCause::Broken));
        }
        let slots = self.servers[server].slots;
        // The standby's warm connections become the owner's.
        let mut owner = ServerQueue::new(false, slots, slots, self.preset.queue, self.now);
        owner.set_available_from(self.now + TAKEOVER_TIME);
        self.queues[server] = owner;
    }

    /// Refuses a call that finds its backend server without an owner; returns whether it did.
    pub(super) fn refuse_without_owner(&mut self, id: u64, queue: usize) -> bool {
        let absent = self.queues[queue].is_unavailable(self.now);
        if absent {
            self.reply(id, CallOutcome::NotRun(NotRunCause::NotOwner));
        }
        absent
    }

    /// Returns the owner and the standby of a backend server while no VM is gone.
    fn roles(&self, server: usize) -> [usize; 2] {
        let key = server_key(&self.servers[server].id);
        let centre = "one".into();
        let mut vms: Vec<_> = (0..ENTRY_COUNT).collect();
        vms.sort_by_key(|vm| Reverse(rank(key, &centre, &format!("vm-{vm}").into(), &centre)));
        [vms[0], vms[1]]
    }

    fn record_opened(&mut self, connections: u32) {
        let second = self.second();
        *self.record.opened_connections.entry(second).or_default() += u64::from(connections);
    }
}
