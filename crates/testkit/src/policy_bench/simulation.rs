//! The simulation behind each run: entries, call queues and fake backend servers, driven by an
//! event loop over simulated time.

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
    backend::{Condition, FakeServer, mean_service_time},
    deployment::{Deployment, ENTRY_COUNT},
    event::{Event, EventQueue},
    fault::{Fault, HealthReporting, Schedule},
    record::Record,
    routing::RoutingMode,
    search::Search,
    server_queue::ServerQueue,
};

/// Interval at which entries read the health endpoints.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// The algorithm that handles requests in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The server's own policy code.
    Policy,
    /// A random replica, a fixed timeout and one retry for each shard.
    Naive,
    /// Replicas in turn, no timeout and one retry for each shard, as in the first version of the
    /// server. Reports call this strategy `thin`.
    RoundRobin,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The algorithm that handles requests.
    pub strategy: Strategy,
    /// Which VMs send calls to the backend servers.
    pub routing: RoutingMode,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The initial load, as a share of the capacity.
    pub load: f64,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// The faults and changes to inject.
    pub faults: Schedule,
}

/// A VM in its role as the entry for requests.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) tables: EntryTables,
    pub(super) documents: Vec<Arc<IndexDocument>>,
    /// Whether the VM left or was killed and has not been replaced yet.
    pub(super) absent: bool,
}

/// A shard call in progress.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) search: u64,
    pub(super) attempt: AttemptId,
    pub(super) shard: ShardId,
    pub(super) server: usize,
    /// The index in `queues` of the queue that the call goes through.
    pub(super) queue: usize,
    pub(super) version: IndexVersion,
    pub(super) sent_at: Instant,
    /// Whether the call has reached the VM that queues it.
    pub(super) at_sender: bool,
    /// When the call left the queue, or `None` before that.
    pub(super) dequeued_at: Option<Instant>,
    /// When the backend server started to run the call.
    pub(super) started_at: Option<Instant>,
    /// Whether the call has ended at the backend server or its reply is under way.
    pub(super) finished: bool,
    /// Whether the entry has cancelled the call.
    pub(super) cancelled: bool,
}

/// The state of a run.
#[derive(Debug)]
pub(super) struct Simulation {
    pub(super) settings: RunSettings,
    pub(super) started_at: Instant,
    pub(super) now: Instant,
    pub(super) events: EventQueue,
    pub(super) load_rng: ChaCha8Rng,
    pub(super) service_rng: ChaCha8Rng,
    pub(super) entry_rng: ChaCha8Rng,
    pub(super) load: f64,
    pub(super) preset: Preset,
    pub(super) latest_documents: Vec<Arc<IndexDocument>>,
    pub(super) entries: Vec<Entry>,
    pub(super) servers: Vec<FakeServer>,
    pub(super) server_indexes: HashMap<ServerId, usize>,
    pub(super) queues: Vec<ServerQueue>,
    pub(super) searches: HashMap<u64, Search>,
    pub(super) calls: HashMap<u64, Call>,
    pub(super) next_id: u64,
    pub(super) record: Record,
    health_reporting: HealthReporting,
}

/// Runs a simulation until no events are left and returns its measurements.
#[must_use]
pub fn run(settings: RunSettings) -> Record {
    let mut simulation = Simulation::new(settings);
    while let Some((at, event)) = simulation.events.pop() {
        simulation.now = at;
        simulation.on_event(event);
    }
    simulation.record
}

impl Simulation {
    fn new(settings: RunSettings) -> Self {
        let now = Instant::now();
        let seeded = |stream| ChaCha8Rng::seed_from_u64(settings.seed * 16 + stream);
        let mut simulation = Self {
            started_at: now,
            now,
            events: EventQueue::default(),
            load_rng: seeded(1),
            service_rng: seeded(2),
            entry_rng: seeded(3),
            load: settings.load,
            preset: settings.deployment.preset.clone(),
            latest_documents: Vec::new(),
            entries: Vec::new(),
            servers: Vec::new(),
            server_indexes: HashMap::new(),
            queues: Vec::new(),
            searches: HashMap::new(),
            calls: HashMap::new(),
            next_id: 0,
            record: Record::default(),
            health_reporting: HealthReporting::None,
            settings,
        };
        for service in 0..simulation.settings.deployment.services.len() {
            let shards = simulation.settings.deployment.services[service].shards;
            let document = simulation.new_document(service, 1, shards);
            simulation.latest_documents.push(Arc::new(document));
        }
        simulation.add_entries();
        simulation.schedule();
        simulation
    }

    fn add_entries(&mut self) {
        for _ in 0..ENTRY_COUNT {
            let entry = self.new_entry(self.entries.len());
            self.entries.push(entry);
        }
    }

    fn schedule(&mut self) {
        for service in 0..self.latest_documents.len() {
            self.push_arrival(service);
        }
        for (at, fault) in self.settings.faults.clone() {
            self.events.push(self.started_at + at, Event::Fault(fault));
        }
        self.events.push(self.started_at, Event::HealthCheck);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives(service) => {
                self.on_arrival(service);
                self.push_arrival(service);
            }
            Event::CallReachesSender(call) => self.on_call_at_sender(call),
            Event::CancelReachesSender(call) => self.on_cancel_at_sender(call),
            Event::CallReachesServer(call) => self.on_call_at_server(call),
            Event::StopReachesServer(call) => self.on_stop(call),
            Event::OutcomeReachesSender(call, outcome) => self.on_outcome_at_sender(call, outcome),
            Event::QueueExpiry(queue) => self.dispatch(queue),
            Event::CallEnds(call) => self.on_call_end(call),
            Event::ReplyReachesEntry(call, outcome, queue) => self.on_reply(call, outcome, queue),
            Event::Timer(search) => self.on_timer(search),
            Event::Fault(fault) => self.on_fault(fault),
            Event::IndexUpdate(entry) => self.on_index_update(entry),
            Event::HealthCheck => self.on_health_check(),
        }
    }

    /// Returns the one-way latency between an entry and the VM that queues its calls.
    pub(super) fn entry_latency(&self) -> Duration {
        let hop_latency = self.settings.deployment.hop_latency;
        self.settings.routing.entry_latency(hop_latency)
    }

    /// Returns the one-way latency between the VM that queues a call and the backend server.
    pub(super) fn server_latency(&self) -> Duration {
        let hop_latency = self.settings.deployment.hop_latency;
        self.settings.routing.server_latency(hop_latency)
    }

    /// Returns the whole seconds since the start of the run.
    pub(super) fn second(&self) -> u64 {
        (self.now - self.started_at).as_secs()
    }

    /// Schedules the next request to a service, with exponentially distributed gaps.
    fn push_arrival(&mut self, service: usize) {
        let shape = &self.settings.deployment.services[service];
        let capacity = f64::from(shape.total_slots()) / mean_service_time().as_secs_f64();
        let rate = self.load * capacity / shape.mean_calls();
        let gap = -(1.0 - self.load_rng.random::<f64>()).ln() / rate;
        let at = self.now + Duration::from_secs_f64(gap);
        if at < self.started_at + self.settings.duration {
            self.events.push(at, Event::RequestArrives(service));
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

    fn on_health_check(&mut self) {
        for server in 0..self.servers.len() {
            let Some(health) = super::health_reports::reported_health(
                self.health_reporting,
                self.servers[server].is_healthy(),
            ) else {
                continue;
            };
            let id = ServerId::clone(&self.servers[server].id);
            for entry in &mut self.entries {
                entry.tables.replicas.on_health(&id, health, self.now);
            }
        }
        let next = self.now + HEALTH_PERIOD;
        if next < self.started_at + self.settings.duration {
            self.events.push(next, Event::HealthCheck);
        }
    }
}
