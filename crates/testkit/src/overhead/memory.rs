//! Measures the memory of an idle process and of requests in flight.

use cassialift_wire::caller::SEARCH_PATH;
use futures::{StreamExt, stream::FuturesUnordered};

use super::setup::{OverheadError, client, fleet, search};
use crate::harness::resident_bytes;

/// Number of shards of each request in flight.
const SHARDS: u32 = 1;

/// Service time of the backend servers in microseconds, which exceeds the measurement.
const SERVICE_MICROS: u64 = 25_000_000;

/// Number of shards that the requests are spread over, with two shards on each backend server.
const FLEET_SHARDS: u32 = 20;

/// The resident memory of one process.
#[derive(Clone, Copy, Debug)]
pub struct MemoryReport {
    /// The resident memory in bytes without requests.
    pub idle_bytes: u64,
    /// The resident memory in bytes with the requests in flight.
    pub loaded_bytes: u64,
    /// The number of requests in flight.
    pub requests: u64,
}

/// Measures a process that is idle and then has `requests` searches of one shard in flight.
///
/// # Errors
/// Returns an error if the fleet cannot be started, the memory cannot be read, or a request ends
/// before the measurement.
pub async fn measure_memory(requests: u64) -> Result<MemoryReport, OverheadError> {
    let fleet = fleet(1, FLEET_SHARDS, SERVICE_MICROS).await?;
    let client = client()?;
    let Some(pid) = fleet.pid(0) else {
        return Err(OverheadError::Incomplete("no process".to_owned()));
    };
    let idle_bytes = resident_bytes(pid)?;
    let mut pending = FuturesUnordered::new();
    for number in 0..requests {
        let mut search = search(SHARDS);
        let shard = u32::try_from(number).unwrap_or_default() % FLEET_SHARDS;
        search.shards = Some(vec![shard]);
        let (client, address) = (client.clone(), fleet.vm_address(0));
        pending.push(async move { client.post(address, SEARCH_PATH, &search).await });
    }
    let settle = std::time::Duration::from_secs(5);
    let early = tokio::time::timeout(settle, pending.next()).await;
    if let Ok(Some(ended)) = early {
        return Err(OverheadError::Incomplete(format!("{ended:?}")));
    }
    Ok(MemoryReport {
        idle_bytes,
        loaded_bytes: resident_bytes(pid)?,
        requests,
    })
}
