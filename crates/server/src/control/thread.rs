//! The control thread's loop.

use std::{sync::Arc, thread, time::Duration};

use arc_swap::ArcSwap;
use cassialift_core::{ids::Revision, view::OwnView};
use tokio::{runtime, sync::mpsc};

use super::{ControlHandle, Event, tables::Tables};
use crate::{metrics::Metrics, platform::PlatformClient, process::ProcessError, timer::Timer};

/// How often the systems run.
const TICK: Duration = Duration::from_millis(50);

/// How long one call to the configuration service waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How often the VM list is read, and how long to wait after a failed read.
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
    /// The counters.
    pub metrics: Arc<Metrics>,
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
    let tables = Tables::new(input.own);
    let view = Arc::new(ArcSwap::from_pointee(tables.view()));
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    let handle = ControlHandle {
        view,
        events: sender,
    };
    let control = handle.clone();
    let spawned = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::spawn(watch(
                    input.platform.clone(),
                    control.clone(),
                    Arc::clone(&input.metrics),
                ));
                tokio::spawn(list(input.platform, control.clone(), input.metrics));
                run(tables, control, receiver).await;
            });
        });
    spawned.map_err(ProcessError::Runtime)?;
    Ok(handle)
}

async fn run(mut tables: Tables, handle: ControlHandle, mut events: mpsc::Receiver<Event>) {
    let mut ticks = Timer.subscribe(TICK);
    loop {
        tokio::select! {
            _ = ticks.next() => handle.view.store(Arc::new(tables.view())),
            event = events.recv() => match event {
                Some(event) => apply(&mut tables, event),
                None => return,
            },
        }
    }
}

fn apply(tables: &mut Tables, event: Event) {
    match event {
        Event::Changes(changes, at) => tables.apply(changes, at),
        Event::Vms(list) => tables.set_vms(list),
        Event::Pull(pull, reply) => {
            // The peer may have hung up by now.
            drop(reply.send(tables.pull(pull, Timer.now())));
        }
        Event::Leave => tables.leave(),
    }
}

async fn watch(platform: PlatformClient, control: ControlHandle, metrics: Arc<Metrics>) {
    let mut after: Revision = 0;
    loop {
        match platform.changes(after, WATCH_WAIT).await {
            Ok(changes) => {
                after = after.max(changes.revision);
                control.tell(Event::Changes(changes, Timer.now())).await;
            }
            Err(error) => {
                metrics.count("platform.config_failed");
                log::warn!("platform: the configuration service gave no answer: {error}");
                Timer.after(READ_PERIOD).await;
            }
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
