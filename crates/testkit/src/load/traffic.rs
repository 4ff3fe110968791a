//! Load that runs beside what a test does.

use std::{io, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{LoadSettings, generate};
use crate::{
    client::ClientError,
    harness::{Caller, Fleet, HarnessError},
};

/// The longest that load runs when nothing stops it.
const LONGEST: Duration = Duration::from_hours(24);

/// Load on a fleet until it is stopped.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    task: JoinHandle<Result<Histogram<u64>, ClientError>>,
}

impl Traffic {
    /// Starts load on a fleet; the duration of the settings does not matter.
    #[must_use]
    pub fn start(fleet: &Fleet, settings: &LoadSettings) -> Self {
        let settings = LoadSettings {
            duration: LONGEST,
            shards: fleet.settings.shards,
            ..settings.clone()
        };
        let (known, recorder) = (fleet.vm_addresses(), Arc::clone(&fleet.recorder));
        let stop = CancellationToken::new();
        let token = stop.clone();
        let task = tokio::spawn(async move {
            let make = |number| {
                let name = format!("caller-{number}");
                Caller::new(&name, known.clone(), Arc::clone(&recorder))
            };
            generate(&settings, &token, make).await
        });
        Self { stop, task }
    }

    /// Sends no further requests, waits for those in flight and returns the latencies of answers.
    ///
    /// # Errors
    /// Returns why the load ended early.
    pub async fn stop(self) -> Result<Histogram<u64>, HarnessError> {
        self.stop.cancel();
        let latencies = self.task.await.map_err(io::Error::other)?;
        Ok(latencies?)
    }
}
