//! Starting and stopping the process.

use std::{num::NonZero, path::PathBuf, sync::Arc, thread};

use arc_swap::ArcSwap;
use cassialift_core::{
    config::{FLEET_START_DELAY, ReadSettings},
    ids::Incarnation,
    time::Millis,
    view::OwnView,
};
use cassialift_wire::{peer::Contact, platform::ConfigSource};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};

use super::{Drain, Node, PlatformAdapter, ProcessError, drain, reload};
use crate::{
    control::{self, ControlInput},
    entry,
    gateway::{self, Gateway, GatewaySettings},
    journal::Journal,
    logging,
    metrics::Metrics,
    owner::Owner,
    peers::{self, PeerTable, PeerTraffic},
    platform::PlatformClient,
    settings::Settings,
};

/// Runs the process until it receives a signal to stop. Its settings were read from `path`.
///
/// # Errors
/// Returns an error if the process could not start or a server failed.
pub fn run(
    settings: Settings,
    adapter: Option<PlatformAdapter>,
    path: PathBuf,
) -> Result<(), ProcessError> {
    let runtime = traffic_runtime(&settings).map_err(ProcessError::Runtime)?;
    runtime.block_on(serve(settings, adapter, path))
}

/// Builds the runtime of the traffic threads. On one core, or with little memory, it has a single thread,
/// which avoids passing tasks between threads.
fn traffic_runtime(settings: &Settings) -> std::io::Result<Runtime> {
    let cores = thread::available_parallelism().map_or(1, NonZero::get);
    let threads = cores.min(settings.limits.max_threads());
    let mut builder = if threads == 1 {
        Builder::new_current_thread()
    } else {
        Builder::new_multi_thread()
    };
    builder
        .worker_threads(threads)
        .enable_all()
        .thread_name("traffic")
        .build()
}

async fn serve(
    settings: Settings,
    adapter: Option<PlatformAdapter>,
    path: PathBuf,
) -> Result<(), ProcessError> {
    logging::set_vm(&settings.vm);
    let node = start(&settings, adapter.as_ref(), path)?;
    peers::serve(Arc::clone(&node)).await?;
    log::info!(
        "process: Started {} of version {}, run {:016x}.",
        settings.vm,
        env!("CARGO_PKG_VERSION"),
        node.control.view().own.incarnation,
    );
    let Some((adapter, gateway)) = adapter.zip(settings.gateway) else {
        return entry::serve(Arc::clone(&node), wait_until_drained(&node)).await;
    };
    let grace = gateway.grace.0;
    let gateway = Arc::new(Gateway::new(Arc::clone(&node), adapter.dialect, gateway));
    node.set_gateway(&gateway);
    let (stopping, stopped) = tokio::sync::oneshot::channel::<()>();
    let own_protocol = entry::serve(Arc::clone(&node), async {
        // The sender is dropped once the gateway has ended or could not start; it sends nothing.
        drop(stopped.await);
    });
    let forwarding = async {
        let serving = gateway::serve(Arc::clone(&gateway), async {
            stop_signal().await;
            gateway.leave();
            log::info!("process: {} is leaving.", node.settings.vm);
            drain(&node, Some(grace)).await;
        });
        let result = serving.await;
        drop(stopping);
        result
    };
    let (own_protocol, forwarded) = tokio::join!(own_protocol, forwarding);
    log::info!("process: {} has stopped.", node.settings.vm);
    own_protocol.and(forwarded)
}

/// Starts the parts that all roles share, and returns the node of the process.
fn start(
    settings: &Settings,
    adapter: Option<&PlatformAdapter>,
    path: PathBuf,
) -> Result<Arc<Node>, ProcessError> {
    let metrics = Arc::new(Metrics::new(settings.statsd).map_err(ProcessError::Metrics)?);
    let journal = Arc::new(Journal::default());
    let owner = Arc::new(Owner::new(settings.owner, Arc::clone(&metrics)));
    let services = settings.platform.clone().map(PlatformClient::new);
    let services = services.transpose().map_err(ProcessError::Platform)?;
    let source: Arc<dyn ConfigSource> = match (adapter, &services) {
        (Some(adapter), _) => Arc::clone(&adapter.source),
        (None, Some(services)) => Arc::new(services.clone()),
        (None, None) => return Err(ProcessError::NoAdapter),
    };
    let own = OwnView {
        vm: Arc::clone(&settings.vm),
        incarnation: rand::random::<Incarnation>(),
        centre: Arc::clone(&settings.centre),
        leaving: false,
    };
    let seeds = Arc::new(ArcSwap::from_pointee(settings.seeds.clone()));
    tokio::spawn(reload::run(path, settings.clone(), Arc::clone(&seeds)));
    let drain = Arc::new(Drain::default());
    let traffic = Arc::new(PeerTraffic::default());
    let gateway_settings = settings.gateway.as_ref();
    let control = control::start(ControlInput {
        drain: Arc::clone(&drain),
        traffic: Arc::clone(&traffic),
        contact: Contact {
            vm: Arc::clone(&own.vm),
            incarnation: own.incarnation,
            centre: Arc::clone(&own.centre),
            peers: settings.peers,
            callers: gateway_settings.map_or(settings.callers, |gateway| gateway.requests),
            capacity: gateway_settings.map_or(0, GatewaySettings::capacity),
        },
        own,
        journal: Arc::clone(&journal),
        owner: Arc::clone(&owner),
        source,
        reads: read_settings(settings),
        vms: services,
        seeds,
        metrics: Arc::clone(&metrics),
    })?;
    Ok(Arc::new(Node::new(
        settings.clone(),
        control,
        metrics,
        journal,
        owner,
        PeerTable::new(traffic),
        drain,
    )))
}

/// Waits for a signal to stop, then leaves the fleet and waits until no request is in flight.
async fn wait_until_drained(node: &Node) {
    stop_signal().await;
    log::info!("process: {} is leaving.", node.settings.vm);
    drain(node, None).await;
}

async fn stop_signal() {
    let signals = [SignalKind::terminate(), SignalKind::interrupt()].map(signal);
    let [Ok(mut terminate), Ok(mut interrupt)] = signals else {
        log::error!("process: Signals cannot be received; only a kill stops this process.");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns the settings of configuration reads. When the whole fleet starts for the first time, its
/// VMs take longer to meet, and most of them would read the whole configuration by themselves.
fn read_settings(settings: &Settings) -> ReadSettings {
    let is_fleet_start = settings
        .gateway
        .as_ref()
        .is_some_and(|gateway| gateway.first_start);
    let delay = if is_fleet_start {
        settings.reads.delay.max(Millis(FLEET_START_DELAY))
    } else {
        settings.reads.delay
    };
    ReadSettings {
        delay,
        ..settings.reads
    }
}
