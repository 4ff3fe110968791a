//! Measures the latency of searches compared with direct calls to the backend servers.

use std::time::{Duration, Instant};

use cassialift_wire::backend::{RUN_PATH, RunReply};
use hdrhistogram::Histogram;

use super::setup::{OverheadError, client, fleet, search, send, shard_request, warm_up};
use crate::{client::JsonClient, harness::Fleet};

/// Largest latency that is recorded, in microseconds. Longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Latencies of direct calls and of searches in one run, in microseconds.
#[derive(Debug)]
pub struct LatencyReport {
    /// The latency of one call to one stand-in.
    pub single_call: Histogram<u64>,
    /// The latency of concurrent calls to the stand-ins of all shards, until the last reply.
    pub direct_calls: Histogram<u64>,
    /// The latency of one search of all shards.
    pub search: Histogram<u64>,
}

impl LatencyReport {
    /// Returns the difference between searches and direct calls at a quantile, in microseconds.
    #[must_use]
    pub fn added_micros(&self, quantile: f64) -> i64 {
        let at = |histogram: &Histogram<u64>| {
            i64::try_from(histogram.value_at_quantile(quantile)).unwrap_or(i64::MAX)
        };
        at(&self.search) - at(&self.direct_calls)
    }
}

/// Measures `rounds` rounds of a single call, direct calls to all shards, and a search.
///
/// # Errors
/// Returns an error if the fleet cannot be started, or if a call fails or is incomplete.
pub async fn measure_latency(
    vms: usize,
    shards: u32,
    rounds: u64,
) -> Result<LatencyReport, OverheadError> {
    let fleet = fleet(vms, shards, 0).await?;
    let client = client()?;
    let search = search(shards);
    warm_up(&client, &fleet, &search).await?;
    let mut report = LatencyReport {
        single_call: histogram(),
        direct_calls: histogram(),
        search: histogram(),
    };
    for round in 0..rounds {
        report.single_call.saturating_record(
            time_micros(async || call_server(&client, &fleet, round, 0).await).await?,
        );
        report.direct_calls.saturating_record(
            time_micros(async || call_all_servers(&client, &fleet, round, shards).await).await?,
        );
        report.search.saturating_record(
            time_micros(async || send(&client, &fleet, 0, &search).await).await?,
        );
    }
    Ok(report)
}

async fn time_micros(
    work: impl AsyncFnOnce() -> Result<(), OverheadError>,
) -> Result<u64, OverheadError> {
    let started = Instant::now();
    work().await?;
    Ok(micros(started.elapsed()))
}

async fn call_all_servers(
    client: &JsonClient,
    fleet: &Fleet,
    round: u64,
    shards: u32,
) -> Result<(), OverheadError> {
    let calls = (0..shards).map(|shard| call_server(client, fleet, round, shard));
    futures::future::try_join_all(calls).await?;
    Ok(())
}

async fn call_server(
    client: &JsonClient,
    fleet: &Fleet,
    round: u64,
    shard: u32,
) -> Result<(), OverheadError> {
    let index = &fleet.index;
    let entry = index.shard(shard).and_then(|entry| entry.replicas.first());
    let Some(server) = entry.and_then(|id| index.server(id)) else {
        return Err(OverheadError::Incomplete(format!("no shard {shard}")));
    };
    let request = shard_request(round, shard);
    let reply = client.post(server.address, RUN_PATH, &request).await?;
    reply.parse::<RunReply>()?;
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("constant bounds are valid")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
