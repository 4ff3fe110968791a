//! Starting and stopping a process.

use std::sync::Arc;

use cassialift_core::{ids::Incarnation, view::OwnView};
use cassialift_wire::peer::Contact;
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};

use super::{Drain, Node, ProcessError, drain};
use crate::{
    control::{self, ControlInput},
    entry,
    journal::Journal,
    metrics::Metrics,
    owner::Owner,
    peers::{self, PeerTable, Traffic},
    platform::PlatformClient,
    settings::Settings,
};

/// Runs a process until it is told to stop.
///
/// # Errors
/// Returns why it could not start or had to stop.
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    let runtime = runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(ProcessError::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), ProcessError> {
    let metrics = Arc::new(Metrics::new(settings.statsd).map_err(ProcessError::Metrics)?);
    let journal = Arc::new(Journal::default());
    let owner = Arc::new(Owner::new(settings.owner, Arc::clone(&metrics)));
    let platform = PlatformClient::new(settings.platform.clone());
    let own = OwnView {
        vm: Arc::clone(&settings.vm),
        incarnation: rand::random::<Incarnation>(),
        centre: Arc::clone(&settings.centre),
        leaving: false,
    };
    let drain = Arc::new(Drain::default());
    let traffic = Arc::new(Traffic::default());
    let control = control::start(ControlInput {
        drain: Arc::clone(&drain),
        traffic: Arc::clone(&traffic),
        contact: Contact {
            vm: Arc::clone(&own.vm),
            incarnation: own.incarnation,
            centre: Arc::clone(&own.centre),
            peers: settings.peers,
            callers: settings.callers,
        },
        own,
        journal: Arc::clone(&journal),
        owner: Arc::clone(&owner),
        platform: platform.map_err(ProcessError::Platform)?,
        metrics: Arc::clone(&metrics),
    })?;
    let node = Arc::new(Node::new(
        settings,
        control,
        metrics,
        journal,
        owner,
        PeerTable::new(traffic),
        drain,
    ));
    peers::serve(Arc::clone(&node)).await?;
    log::info!("process: {} serves callers.", node.settings.vm);
    entry::serve(Arc::clone(&node), leave(&node)).await
}

/// Waits for the signal to stop, then until nothing is in flight.
async fn leave(node: &Node) {
    stop_signal().await;
    log::info!("process: {} is leaving.", node.settings.vm);
    drain(node).await;
}

async fn stop_signal() {
    let signals = [SignalKind::terminate(), SignalKind::interrupt()].map(signal);
    let [Ok(mut terminate), Ok(mut interrupt)] = signals else {
        log::error!("process: signals cannot be received; only a kill stops this process.");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
