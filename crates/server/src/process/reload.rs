//! Reloading of changed settings while the process runs.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{settings::Settings, timer::Timer};

/// The period at which the settings file is read without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(5);

/// Applies the seeds of the settings file whenever the file has changed, until the process ends.
///
/// The file is read on each hangup signal (SIGHUP) and periodically. All other settings, such as
/// the addresses to listen on, stay as they were when the process started.
pub(super) async fn run(
    path: PathBuf,
    mut current: Settings,
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => Some(hangup),
        Err(error) => {
            log::warn!(
                "process: Without SIGHUP, changed settings are found by polling only: {error}."
            );
            None
        }
    };
    loop {
        let signalled = tokio::select! {
            () = next_signal(&mut hangup) => true,
            () = Timer.after(POLL_PERIOD) => false,
        };
        match Settings::load(&path) {
            Ok(settings) if settings == current => {
                if signalled {
                    log::info!("process: Reloaded the settings; nothing has changed.");
                }
            }
            Ok(settings) => {
                log::info!(
                    "process: Reloaded the settings; the seeds are {:?}.",
                    settings.seeds
                );
                seeds.store(Arc::new(settings.seeds.clone()));
                current = settings;
            }
            Err(error) => {
                log::warn!(
                    "process: Kept the current settings, since the new ones are invalid: {error}."
                );
            }
        }
    }
}

async fn next_signal(hangup: &mut Option<Signal>) {
    match hangup {
        Some(hangup) => drop(hangup.recv().await),
        None => std::future::pending().await,
    }
}
