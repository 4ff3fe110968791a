//! The control thread's loop.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use cassialift_core::view::OwnView;
use cassialift_wire::peer::{Contact, Ping};
use tokio::{runtime, sync::mpsc};

use super::{ControlHandle, Event, config::ConfigPart, config_read, config_send, tables::Tables};
use crate::{
    journal::Journal, metrics::Metrics, peers::PeerTable, platform::PlatformClient,
    process::ProcessError, timer::Timer,
};

/// How often the systems run.
const TICK: Duration = Duration::from_millis(50);

/// The time between two ticks from which the process counts as having been paused.
const FREEZE: Duration = Duration::from_secs(1);

/// How often the VM list is read.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// The most events that wait for the control thread.
const EVENT_QUEUE: usize = 1_024;

/// What the control thread starts with.
#[derive(Debug)]
pub struct ControlInput {
    /// This process.
    pub own: OwnView,
    /// The platform.
    pub platform: PlatformClient,
    /// How peers reach this process.
    pub contact: Contact,
    /// The counters.
    pub metrics: Arc<Metrics>,
    /// The journal.
    pub journal: Arc<Journal>,
}

/// Starts the control thread.
///
/// # Errors
/// Returns why the thread or its runtime could not be started.
pub fn start(input: ControlInput) -> Result<ControlHandle, ProcessError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProcessError::Runtime)?;
    let (metrics, journal) = (Arc::clone(&input.metrics), Arc::clone(&input.journal));
    let config = ConfigPart::new(&input.own, journal, metrics, Instant::now());
    let tables = Tables::new(input.own);
    let view = Arc::new(ArcSwap::from_pointee(tables.view()));
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    let handle = ControlHandle {
        view,
        config: Arc::default(),
        events: sender,
    };
    let control = handle.clone();
    let parts = Parts {
        tables,
        config,
        peers: Arc::default(),
        contact: input.contact,
        handle: handle.clone(),
    };
    let spawned = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::spawn(config_read::run(
                    input.platform.clone(),
                    control.clone(),
                    Arc::clone(&input.metrics),
                ));
                tokio::spawn(list(input.platform, control, input.metrics));
                run(parts, receiver).await;
            });
        });
    spawned.map_err(ProcessError::Runtime)?;
    Ok(handle)
}

async fn run(mut part: Parts, mut events: mpsc::Receiver<Event>) {
    let mut ticks = Timer.subscribe(TICK);
    let mut last = Timer.now();
    loop {
        tokio::select! {
            now = ticks.next() => {
                if now.saturating_duration_since(last) > FREEZE {
                    part.config.distrust();
                }
                last = now;
                part.tick(now);
            }
            event = events.recv() => match event {
                Some(event) => part.apply(event),
                None => return,
            },
        }
    }
}

/// The tables and what they publish and send through.
struct Parts {
    tables: Tables,
    config: ConfigPart,
    peers: Arc<PeerTable>,
    contact: Contact,
    handle: ControlHandle,
}

impl Parts {
    fn tick(&mut self, now: Instant) {
        self.config.tick(now);
        self.publish(now);
    }

    fn apply(&mut self, event: Event) {
        let now = Timer.now();
        match event {
            Event::Config(event) => {
                self.config.apply(event, now);
                self.publish(now);
            }
            Event::Vms(list) => self.tables.set_vms(list),
            Event::Pull(pull, reply) => {
                // The peer may have hung up by now.
                drop(reply.send(self.config.pull(pull, now)));
            }
            Event::Leave => self.tables.leave(),
        }
    }

    /// Publishes what is held now and sends what is ordered.
    fn publish(&mut self, now: Instant) {
        self.tables.set_config(self.config.node().view());
        let view = self.tables.view();
        self.config.set_members(&view);
        let leaving = view.own.leaving;
        self.handle.view.store(Arc::new(view));
        let state = Arc::new(self.config.state(now));
        self.handle.config.store(Arc::clone(&state));
        for order in self.config.take_orders() {
            let ping = Ping {
                from: self.contact.clone(),
                leaving,
                config: state.note(now),
                load: 0,
                updates: Vec::new(),
            };
            let (peers, handle) = (Arc::clone(&self.peers), self.handle.clone());
            tokio::spawn(config_send::send(order, ping, peers, handle));
        }
    }
}

async fn list(platform: PlatformClient, control: ControlHandle, metrics: Arc<Metrics>) {
    let mut ticks = Timer.subscribe(READ_PERIOD);
    loop {
        ticks.next().await;
        match platform.vms().await {
            Ok(list) => control.tell(Event::Vms(list)).await,
            Err(error) => {
                metrics.count("platform.vms_failed");
                log::warn!("platform: the VM list gave no answer: {error}");
            }
        }
    }
}
