//! The control thread: its start and its event loop.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use cassialift_core::{
    config::{ConfigAction, ReadSettings},
    fleet::members::TickActions,
    ids::VmId,
    view::OwnView,
};
use cassialift_wire::{
    peer::{Contact, Ping, PingReply},
    platform::{ConfigSource, VmList},
};
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
};

use super::{
    ConfigEvent, ControlHandle, Event, FleetEvent, config::ConfigControl, config_pull, config_read,
    fleet::FleetControl, heartbeats, seeds, vm_list,
};
use crate::{
    journal::Journal,
    metrics::Metrics,
    owner::Owner,
    peers::{PeerTable, PeerTraffic},
    platform::PlatformClient,
    process::{Drain, ProcessError},
    timer::Timer,
};

/// The time between two ticks of the tables.
const TICK: Duration = Duration::from_millis(50);

/// The time between two ticks above which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The most events that may wait for the control thread.
const EVENT_QUEUE: usize = 1_024;

/// The placeholder for the VM behind a seed's address, whose name is not known yet.
const UNKNOWN_VM: &str = "";

/// The dependencies and settings of the control thread.
#[derive(Debug)]
pub struct ControlInput {
    /// The identity of this process.
    pub own: OwnView,
    /// The source of the configuration.
    pub source: Arc<dyn ConfigSource>,
    /// The settings of configuration reads: which processes read, and how often.
    pub reads: ReadSettings,
    /// The client that reads the VM list; `None` where the platform has none.
    pub vms: Option<PlatformClient>,
    /// The addresses at which VMs of the fleet may listen, for platforms without a VM list.
    pub seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// The contact data under which peers reach this process.
    pub contact: Contact,
    /// The requests in flight, and the longest time to live of address answers.
    pub drain: Arc<Drain>,
    /// The owner role, which applies the shares of each view.
    pub owner: Arc<Owner>,
    /// The counters of bytes between this process and its peers.
    pub traffic: Arc<PeerTraffic>,
    /// The counters.
    pub metrics: Arc<Metrics>,
    /// The journal.
    pub journal: Arc<Journal>,
}

/// Starts the control thread.
///
/// # Errors
/// Returns an error when the thread or its runtime cannot be started.
pub fn start(input: ControlInput) -> Result<ControlHandle, ProcessError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProcessError::Runtime)?;
    let (metrics, journal) = (Arc::clone(&input.metrics), Arc::clone(&input.journal));
    let now = Timer.now();
    let config = ConfigControl::new(
        &input.own,
        Arc::clone(&journal),
        Arc::clone(&metrics),
        input.reads,
        now,
    );
    let mut fleet = FleetControl::new(input.contact, journal, metrics, now);
    let view = Arc::new(ArcSwap::from_pointee(fleet.view(now)));
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    let handle = ControlHandle {
        view,
        config: Arc::default(),
        events: sender,
        detached: Arc::default(),
    };
    let control = handle.clone();
    let control_loop = ControlLoop {
        fleet,
        config,
        drain: input.drain,
        owner: input.owner,
        peers: Arc::new(PeerTable::new(Arc::clone(&input.traffic))),
        traffic: input.traffic,
        metrics: Arc::clone(&input.metrics),
        handle: handle.clone(),
    };
    let spawned = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::spawn(config_read::run(
                    input.source,
                    input.reads,
                    control.clone(),
                    Arc::clone(&input.metrics),
                ));
                if let Some(vms) = input.vms {
                    tokio::spawn(vm_list::run(vms, control, input.metrics));
                } else {
                    let no_vms = FleetEvent::VmsListed(VmList::default());
                    control.send(Event::Fleet(no_vms)).await;
                    tokio::spawn(seeds::run(input.seeds, control));
                }
                run(control_loop, receiver).await;
            });
        });
    spawned.map_err(ProcessError::Runtime)?;
    Ok(handle)
}

async fn run(mut control: ControlLoop, mut events: mpsc::Receiver<Event>) {
    let mut ticks = Timer.subscribe(TICK);
    let mut last_tick = Timer.now();
    loop {
        tokio::select! {
            now = ticks.next() => {
                if now.saturating_duration_since(last_tick) > PAUSE_THRESHOLD {
                    control.config.on_process_pause();
                }
                last_tick = now;
                control.tick(now);
            }
            event = events.recv() => match event {
                Some(event) => control.apply(event),
                None => return,
            },
        }
    }
}

/// The tables of the control thread, and the handles through which it publishes and sends.
struct ControlLoop {
    fleet: FleetControl,
    config: ConfigControl,
    drain: Arc<Drain>,
    traffic: Arc<PeerTraffic>,
    metrics: Arc<Metrics>,
    peers: Arc<PeerTable>,
    owner: Arc<Owner>,
    handle: ControlHandle,
}

impl ControlLoop {
    fn tick(&mut self, now: Instant) {
        self.fleet.set_load(self.drain.running());
        self.fleet
            .set_detached(self.handle.detached.load(Ordering::Relaxed));
        self.traffic.report(&self.metrics);
        let actions = self.fleet.tick(now);
        self.config.tick(now);
        self.publish(now);
        self.run_fleet_actions(actions, now);
    }

    fn apply(&mut self, event: Event) {
        let now = Timer.now();
        match event {
            Event::Config(event) => {
                self.config.apply(event, now);
                self.publish_config(now);
            }
            Event::Fleet(event) => {
                if let Some(summary) = self.config_summary(&event) {
                    self.config.apply(summary, now);
                    self.publish_config(now);
                }
                self.fleet.apply(event, now);
            }
            Event::Ping(ping, reply) => {
                // Sending fails if the peer has disconnected.
                drop(reply.send(self.ping(*ping, now)));
            }
            Event::SeedPing(reply) => {
                // Sending fails if the process is ending.
                drop(reply.send(Box::new(self.seed_ping(now))));
            }
            Event::Probe(target, reply) => self.probe(target, reply, now),
            Event::Pull(pull, reply) => {
                // Sending fails if the peer has disconnected.
                drop(reply.send(self.config.pull(pull, now)));
            }
            Event::Leave(reply) => self.leave(reply, now),
        }
        if self.fleet.take_changed() {
            self.publish(now);
        }
    }

    fn leave(&mut self, reply: oneshot::Sender<bool>, now: Instant) {
        let members = self.fleet.leave(now).into_iter();
        let heartbeats: Vec<_> = members.map(|vm| self.next_heartbeat(vm, now)).collect();
        self.publish(now);
        tokio::spawn(async move {
            let answered = futures::future::join_all(heartbeats).await;
            if reply
                .send(answered.into_iter().all(|answered| answered))
                .is_err()
            {
                log::debug!("fleet: The process ends before every VM was informed that it leaves.");
            }
        });
    }

    /// Returns the configuration event in a reply to a heartbeat; `None` if the reply came from
    /// another VM or from a former process run.
    fn config_summary(&self, event: &FleetEvent) -> Option<ConfigEvent> {
        let (vm, sent_at, reply) = match event {
            FleetEvent::PingEnded {
                vm,
                sent_at,
                result: Ok(reply),
                ..
            } => (vm, sent_at, reply),
            FleetEvent::SeedReplied { sent_at, reply } => (&reply.reply.from.vm, sent_at, reply),
            _ => return None,
        };
        let from = &reply.reply.from;
        let is_expected = from.vm == *vm && !self.fleet.is_former_run(from);
        is_expected.then(|| ConfigEvent::SummaryReceived {
            vm: VmId::clone(vm),
            summary: reply.config.clone(),
            sent_at: Some(*sent_at),
        })
    }

    fn ping(&mut self, ping: Ping, now: Instant) -> PingReply {
        if !self.fleet.is_former_run(&ping.heartbeat.from) {
            let event = ConfigEvent::SummaryReceived {
                vm: VmId::clone(&ping.heartbeat.from.vm),
                summary: ping.config,
                sent_at: None,
            };
            self.config.apply(event, now);
            self.run_config_actions(now);
        }
        PingReply {
            reply: self.fleet.on_ping(&ping.heartbeat, now),
            config: self.handle.config().summary(now),
        }
    }

    fn probe(&mut self, target: VmId, reply: oneshot::Sender<bool>, now: Instant) {
        let heartbeat = self.next_heartbeat(target, now);
        tokio::spawn(async move {
            if reply.send(heartbeat.await).is_err() {
                log::debug!("fleet: The peer that requested an indirect probe disconnected.");
            }
        });
    }

    /// Returns the heartbeat for whichever VM listens at a seed's address.
    fn seed_ping(&mut self, now: Instant) -> Ping {
        Ping {
            heartbeat: self.fleet.heartbeat(&VmId::from(UNKNOWN_VM), now),
            config: self.handle.config().summary(now),
        }
    }

    /// Prepares the next heartbeat to a peer; the future sends it and returns whether it was
    /// answered.
    fn next_heartbeat(&mut self, to: VmId, now: Instant) -> impl Future<Output = bool> + use<> {
        let ping = Ping {
            heartbeat: self.fleet.heartbeat(&to, now),
            config: self.handle.config().summary(now),
        };
        heartbeats::send_heartbeat(to, ping, Arc::clone(&self.peers), self.handle.clone())
    }

    fn spawn_heartbeat(&mut self, vm: VmId, now: Instant) {
        tokio::spawn(self.next_heartbeat(vm, now));
    }

    fn run_fleet_actions(&mut self, actions: TickActions, now: Instant) {
        for vm in actions.pings {
            self.spawn_heartbeat(vm, now);
        }
        for probe in actions.probes {
            let (peers, handle) = (Arc::clone(&self.peers), self.handle.clone());
            tokio::spawn(heartbeats::send_probe(
                probe.via,
                probe.target,
                peers,
                handle,
            ));
        }
    }

    /// Publishes the state of the configuration and performs its actions; publishes a new view only
    /// if another configuration is in force.
    fn publish_config(&mut self, now: Instant) {
        let config = self.config.node().view();
        if config.is_some_and(|config| !self.fleet.has_config(config)) {
            self.publish(now);
            return;
        }
        self.handle.config.store(Arc::new(self.config.state(now)));
        self.run_config_actions(now);
    }

    /// Publishes the current view and the state of the configuration, and performs the
    /// configuration's actions.
    fn publish(&mut self, now: Instant) {
        let config = self.config.node().view();
        if let Some(config) = config {
            self.drain.record_ttl(config.policy.address_ttl);
        }
        self.fleet.set_config(config);
        let view = self.fleet.view(now);
        if self.fleet.take_members_changed() {
            self.config.set_members(&view);
        }
        // The owner gets the view before traffic threads do, so that a call for a new share finds
        // its server pool.
        self.owner.apply(&view);
        self.handle.view.store(Arc::new(view));
        self.handle.config.store(Arc::new(self.config.state(now)));
        self.run_config_actions(now);
    }

    /// Performs the pending actions of the configuration tables.
    fn run_config_actions(&mut self, now: Instant) {
        for action in self.config.take_actions() {
            match action {
                ConfigAction::Announce(vm) => self.spawn_heartbeat(vm, now),
                ConfigAction::Pull { vm, after } => {
                    let (peers, handle) = (Arc::clone(&self.peers), self.handle.clone());
                    let metrics = Arc::clone(&self.metrics);
                    tokio::spawn(config_pull::pull(vm, after, peers, handle, metrics));
                }
            }
        }
    }
}
