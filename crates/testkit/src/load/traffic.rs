//! Load that runs in the background of a test.

use std::{io, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{LoadSettings, generate};
use crate::{
    client::ClientError,
    harness::{Caller, Fleet, HarnessError},
};

/// How long load runs if it is not stopped.
const MAX_DURATION: Duration = Duration::from_hours(24);

/// Load on a fleet that runs in the background until it is stopped.
#[derive(Debug)]
pub struct Traffic {
    stop: CancellationToken,
    task: JoinHandle<Result<Histogram<u64>, ClientError>>,
}

impl Traffic {
    /// Starts load on a fleet; the duration and the shards of the settings are ignored.
    #[must_use]
    pub fn start(fleet: &Fleet, settings: &LoadSettings) -> Self {
        let settings = LoadSettings {
            duration: MAX_DURATION,
            shards: fleet.settings.shards,
            ..settings.clone()
        };
        let (seeds, recorder) = (fleet.vm_addresses(), Arc::clone(&fleet.recorder));
        let stop = CancellationToken::new();
        let token = stop.clone();
        let task = tokio::spawn(async move {
            let make_caller = |number| {
                let name = format!("caller-{number}");
                Caller::new(&name, seeds.clone(), Arc::clone(&recorder))
            };
            generate(&settings, &token, make_caller).await
        });
        Self { stop, task }
    }

    /// Stops sending requests, waits for those in flight and returns the latencies of answers in
    /// microseconds.
    ///
    /// # Errors
    /// Returns an error if a caller could not be created or the task of the load panicked.
    pub async fn stop(self) -> Result<Histogram<u64>, HarnessError> {
        self.stop.cancel();
        let latencies = self.task.await.map_err(io::Error::other)?;
        Ok(latencies?)
    }
}
