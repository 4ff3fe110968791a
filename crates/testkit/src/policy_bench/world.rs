//! A run: entries, owners and fake backend servers, driven by an event loop over passed-in time.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, IndexVersion, ServerId, ShardId},
    index::IndexDocument,
    policy::EntryTables,
    presets::Preset,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    backend::{Condition, FakeServer, mean_service},
    deployment::{Deployment, ENTRY_COUNT},
    event::{Event, EventQueue},
    fault::{Fault, HealthReporting, Schedule},
    owner::Owner,
    record::Record,
    routing::RoutingMode,
    search::Search,
};

/// How often entries read the health endpoints.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// What decides in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The policy of the server.
    Policy,
    /// A random replica, a fixed timeout, one retry.
    Naive,
    /// The server's first version: replicas in turn, no timeout, one retry.
    RoundRobin,
}

/// What a run is given.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// What decides.
    pub strategy: Strategy,
    /// Who holds the slots and connections of the backend servers.
    pub routing: RoutingMode,
    /// The seed.
    pub seed: u64,
    /// The load at the beginning, a share of the capacity.
    pub load: f64,
    /// How long requests come.
    pub duration: Duration,
    /// What goes wrong.
    pub faults: Schedule,
}

/// One entry.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) tables: EntryTables,
    pub(super) documents: Vec<Arc<IndexDocument>>,
    /// Whether it went and nothing has taken its place.
    pub(super) gone: bool,
}

/// One shard call on its way.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) search: u64,
    pub(super) attempt: AttemptId,
    pub(super) shard: ShardId,
    pub(super) server: usize,
    /// The place of its holder in the table of owners.
    pub(super) lane: usize,
    pub(super) version: IndexVersion,
    pub(super) sent: Instant,
    /// Whether it has reached its holder.
    pub(super) held: bool,
    /// When it left the queue; none while it waits.
    pub(super) left: Option<Instant>,
    /// When the backend server began.
    pub(super) began: Option<Instant>,
    /// Whether the backend server is done with it, or its reply is on its way.
    pub(super) replied: bool,
    /// Whether the entry has cancelled it.
    pub(super) cancelled: bool,
}

/// A run.
#[derive(Debug)]
pub(super) struct World {
    pub(super) settings: RunSettings,
    pub(super) base: Instant,
    pub(super) now: Instant,
    pub(super) events: EventQueue,
    pub(super) load_rng: ChaCha8Rng,
    pub(super) service_rng: ChaCha8Rng,
    pub(super) entry_rng: ChaCha8Rng,
    pub(super) load: f64,
    pub(super) preset: Preset,
    pub(super) newest: Vec<Arc<IndexDocument>>,
    pub(super) entries: Vec<Entry>,
    pub(super) servers: Vec<FakeServer>,
    pub(super) names: HashMap<ServerId, usize>,
    pub(super) owners: Vec<Owner>,
    pub(super) searches: HashMap<u64, Search>,
    pub(super) calls: HashMap<u64, Call>,
    pub(super) next_id: u64,
    pub(super) record: Record,
    health_reporting: HealthReporting,
}

/// Runs a deployment and returns what it left behind.
#[must_use]
pub fn run(settings: RunSettings) -> Record {
    let mut world = World::new(settings);
    while let Some((at, event)) = world.events.pop() {
        world.now = at;
        world.on_event(event);
    }
    world.record
}

impl World {
    fn new(settings: RunSettings) -> Self {
        let base = Instant::now();
        let seeded = |stream| ChaCha8Rng::seed_from_u64(settings.seed * 16 + stream);
        let mut world = Self {
            base,
            now: base,
            events: EventQueue::default(),
            load_rng: seeded(1),
            service_rng: seeded(2),
            entry_rng: seeded(3),
            load: settings.load,
            preset: settings.deployment.preset.clone(),
            newest: Vec::new(),
            entries: Vec::new(),
            servers: Vec::new(),
            names: HashMap::new(),
            owners: Vec::new(),
            searches: HashMap::new(),
            calls: HashMap::new(),
            next_id: 0,
            record: Record::default(),
            health_reporting: HealthReporting::None,
            settings,
        };
        for service in 0..world.settings.deployment.services.len() {
            let shards = world.settings.deployment.services[service].shards;
            let document = world.document(service, 1, shards);
            world.newest.push(Arc::new(document));
        }
        world.add_entries();
        world.schedule();
        world
    }

    fn add_entries(&mut self) {
        for _ in 0..ENTRY_COUNT {
            let entry = self.new_entry(self.entries.len());
            self.entries.push(entry);
        }
    }

    fn schedule(&mut self) {
        for service in 0..self.newest.len() {
            self.push_arrival(service);
        }
        for (at, fault) in self.settings.faults.clone() {
            self.events.push(self.base + at, Event::Fault(fault));
        }
        self.events.push(self.base, Event::Health);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive(service) => {
                self.on_arrival(service);
                self.push_arrival(service);
            }
            Event::AtOwner(call) => self.on_call(call),
            Event::CancelAtOwner(call) => self.on_cancel(call),
            Event::AtServer(call) => self.on_server(call),
            Event::Stop(call) => self.on_stop(call),
            Event::Back(call, outcome) => self.on_back(call, outcome),
            Event::Expire(lane) => self.dispatch(lane),
            Event::Done(call) => self.on_done(call),
            Event::AtEntry(call, outcome, told) => self.on_reply(call, outcome, told),
            Event::Timer(search) => self.on_timer(search),
            Event::Fault(fault) => self.on_fault(fault),
            Event::Learn(entry) => self.on_learn(entry),
            Event::Health => self.on_health(),
        }
    }

    /// Returns the latency between an entry and the VM that holds its calls.
    pub(super) fn near(&self) -> Duration {
        let hop = self.settings.deployment.hop_latency;
        self.settings.routing.near(hop)
    }

    /// Returns the latency between that VM and the backend server.
    pub(super) fn far(&self) -> Duration {
        let hop = self.settings.deployment.hop_latency;
        self.settings.routing.far(hop)
    }

    /// Returns the second of the run.
    pub(super) fn second(&self) -> u64 {
        (self.now - self.base).as_secs()
    }

    /// Sets the time of the next request to a service.
    fn push_arrival(&mut self, service: usize) {
        let shape = &self.settings.deployment.services[service];
        let capacity = f64::from(shape.total_slots()) / mean_service().as_secs_f64();
        let rate = self.load * capacity / shape.mean_calls();
        let gap = -(1.0 - self.load_rng.random::<f64>()).ln() / rate;
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.base + self.settings.duration {
            self.events.push(at, Event::Arrive(service));
        }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(server, factor) => self.servers[server].condition = Condition::Up(factor),
            Fault::Unresponsive(server) => self.servers[server].condition = Condition::Unresponsive,
            Fault::Refusing(server) => self.servers[server].condition = Condition::Refusing,
            Fault::Recover(server) => self.servers[server].condition = Condition::Up(1.0),
            Fault::Load(load) => self.load = load,
            Fault::Publish(shards) => self.publish(shards),
            Fault::DropOldVersions(server) => {
                let versions = &mut self.servers[server].versions;
                let newest = versions.last().copied();
                versions.retain(|version| Some(*version) == newest);
            }
            Fault::Leave(vm) => self.on_leave(vm),
            Fault::Kill(vm) => self.on_kill(vm),
            Fault::Join(vm) => self.on_join(vm),
            Fault::HealthReporting(mode) => self.health_reporting = mode,
            Fault::Preset(choice) => {
                self.preset = choice.preset(&self.settings.deployment.preset);
            }
        }
    }

    fn on_health(&mut self) {
        for server in 0..self.servers.len() {
            let Some(claim) = super::health_reports::reported_health(
                self.health_reporting,
                self.servers[server].is_well(),
            ) else {
                continue;
            };
            let id = ServerId::clone(&self.servers[server].id);
            for entry in &mut self.entries {
                entry.tables.replicas.on_health(&id, claim, self.now);
            }
        }
        let next = self.now + HEALTH_PERIOD;
        if next < self.base + self.settings.duration {
            self.events.push(next, Event::Health);
        }
    }
}
