//! Replacement of an entry VM during a run: one VM leaves or is killed, and another joins in its
//! place later.

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

/// Time after the kill of an owner during which calls to its backend servers are refused.
const TAKEOVER_TIME: Duration = Duration::from_millis(500);

impl Simulation {
    /// Returns an entry without any learned state about replicas.
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

    /// Returns the latest index document of each service, reduced to the part an entry can use.
    pub(super) fn documents(&self, entry: usize) -> Vec<Arc<IndexDocument>> {
        let routing = self.settings.routing;
        let parts = self
            .latest_documents
            .iter()
            .map(|document| routing.usable_part(document, entry));
        parts.map(Arc::new).collect()
    }

    /// Returns `entry` if it is present, or else the next present entry that callers fail over to.
    pub(super) fn next_present(&self, entry: usize) -> usize {
        let candidates = (0..ENTRY_COUNT).map(|step| (entry + step) % ENTRY_COUNT);
        let mut present = candidates.filter(|&other| !self.entries[other].absent);
        present.next().unwrap_or(entry)
    }

    /// Returns the index in `queues` of the queue for a server at the VM that sends its calls.
    pub(super) const fn queue_index(&self, server: usize, entry: usize) -> usize {
        match self.settings.routing {
            RoutingMode::Owner => server,
            direct @ (RoutingMode::DirectStatic | RoutingMode::DirectAdaptive) => {
                server * direct.senders() + entry
            }
        }
    }

    /// Creates the queue of one sender for a backend server and records its warm connections.
    pub(super) fn new_queue(&mut self, server: usize, sender: usize) -> ServerQueue {
        let routing = self.settings.routing;
        let slots = routing.slot_share(server, self.servers[server].slots, sender);
        let connections = routing.warm_connections(slots);
        self.record_opened(connections);
        let first_in_first_out = self.settings.strategy != Strategy::Policy;
        ServerQueue::new(
            first_in_first_out,
            slots,
            connections,
            self.preset.queue,
            self.now,
        )
    }

    /// Records the connections that the standby of a backend server opens in advance.
    pub(super) fn record_standby(&mut self, server: usize) {
        if self.settings.routing == RoutingMode::Owner {
            self.record_opened(self.servers[server].slots);
        }
    }

    /// Handles a graceful leave of an entry VM.
    pub(super) fn on_leave(&mut self, vm: usize) {
        self.entries[vm].absent = true;
        self.record_role_change(vm);
    }

    /// Handles the kill of an entry VM, which stops without notice.
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

    /// Handles the join of a new VM in place of one that left or was killed.
    pub(super) fn on_join(&mut self, vm: usize) {
        self.entries[vm] = self.new_entry(vm);
        self.record_role_change(vm);
        if self.settings.routing == RoutingMode::Owner {
            return;
        }
        for server in 0..self.servers.len() {
            let queue = self.queue_index(server, vm);
            self.queues[queue] = self.new_queue(server, vm);
        }
    }

    /// Records the connections that are opened because a VM that joins or leaves changes roles.
    ///
    /// A new standby of a server opens connections. A new owner needs none: it was the standby.
    fn record_role_change(&mut self, vm: usize) {
        for server in 0..self.servers.len() {
            if self.roles(server).contains(&vm) {
                self.record_standby(server);
            }
        }
    }

    /// Ends the requests of a killed VM as failed: their callers get no answer.
    fn end_searches(&mut self, vm: usize) {
        let searches = self.searches.iter();
        let affected = searches.filter(|(_, search)| search.entry == vm);
        let mut affected: Vec<_> = affected.map(|(id, _)| *id).collect();
        affected.sort_unstable();
        for id in affected {
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

    /// Fails the calls at a killed owner and replaces its queue with that of the standby, which
    /// accepts calls after `TAKEOVER_TIME`.
    fn on_owner_killed(&mut self, server: usize) {
        let calls = self.calls.iter();
        let lost =
            calls.filter(|(_, call)| call.queue == server && call.at_sender && !call.finished);
        let mut lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            self.free_slot(id);
            self.reply(id, CallOutcome::Unknown(UnknownCause::Broken));
        }
        let slots = self.servers[server].slots;
        // The new owner uses the warm connections that it opened as the standby.
        let mut owner = ServerQueue::new(false, slots, slots, self.preset.queue, self.now);
        owner.set_available_from(self.now + TAKEOVER_TIME);
        self.queues[server] = owner;
    }

    /// Refuses a call if its backend server has no owner; returns whether the call was refused.
    pub(super) fn refuse_without_owner(&mut self, id: u64, queue: usize) -> bool {
        let unavailable = self.queues[queue].is_unavailable(self.now);
        if unavailable {
            self.reply(id, CallOutcome::NotRun(NotRunCause::NotOwner));
        }
        unavailable
    }

    /// Returns the owner and the standby of a backend server, by rank among all entry VMs,
    /// including absent ones.
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
