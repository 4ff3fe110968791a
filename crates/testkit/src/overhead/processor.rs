//! Measures the processor time of searches and shard calls.

use std::time::Duration;

use super::{
    setup::{OverheadError, client, fleet, search, send, warm_up},
    usage::processor_time,
};

/// The processor time of searches over a given number of shards.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorReport {
    /// The number of shards of a search.
    pub shards: u32,
    /// The number of searches.
    pub searches: u32,
    /// The processor time of the VM for all searches.
    pub processor_time: Duration,
}

impl ProcessorReport {
    /// Returns the processor time of one search.
    #[must_use]
    pub fn per_search(&self) -> Duration {
        self.processor_time / self.searches
    }

    /// Returns the processor time of one shard call.
    #[must_use]
    pub fn per_call(&self) -> Duration {
        self.per_search() / self.shards
    }
}

/// Measures searches at a single VM, which is both entry and owner.
///
/// Each width in shards is measured with at least `calls` shard calls.
///
/// # Errors
/// Returns an error if the fleet cannot be started, a search fails, or the processor time cannot
/// be read.
pub async fn measure_processor(
    widths: &[u32],
    calls: u32,
) -> Result<Vec<ProcessorReport>, OverheadError> {
    let widest = widths.iter().copied().max().unwrap_or(1);
    let fleet = fleet(1, widest, 0).await?;
    let client = client()?;
    warm_up(&client, &fleet, &search(widest)).await?;
    let Some(pid) = fleet.pid(0) else {
        return Ok(Vec::new());
    };
    let mut reports = Vec::new();
    for &shards in widths {
        let search = search(shards);
        let searches = calls.div_ceil(shards);
        let before = processor_time(pid)?;
        for _ in 0..searches {
            send(&client, &fleet, 0, &search).await?;
        }
        reports.push(ProcessorReport {
            shards,
            searches,
            processor_time: processor_time(pid)?.saturating_sub(before),
        });
    }
    Ok(reports)
}
