//! Measures the control cost of an idle fleet and the takeover after one of its VMs is killed.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cassialift_wire::operator::{COUNTERS_PATH, Counters, STATUS_PATH, Status};

use super::{
    ControlCost,
    process::{Usage, usage},
};
use crate::harness::{Fleet, FleetSettings, HarnessError, Signal};

/// Number of slots of each backend server.
pub(super) const SLOTS: u32 = 2;

/// The parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct CostSettings {
    /// The number of processes in the fleet, a multiple of `centres`.
    pub size: usize,
    /// The number of data centres that the processes are spread over.
    pub centres: usize,
    /// The number of backend servers for each process.
    pub servers: usize,
    /// The time during which the idle fleet is measured.
    pub window: Duration,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            size: 8,
            centres: 4,
            servers: 5,
            window: Duration::from_secs(20),
        }
    }
}

/// Starts an idle fleet and measures its control cost.
///
/// # Errors
/// Returns an error if the fleet cannot be started or queried, or does not settle in time.
pub async fn run(settings: CostSettings) -> Result<ControlCost, HarnessError> {
    let mut fleet = Fleet::start(FleetSettings {
        vms: vec![settings.size / settings.centres; settings.centres],
        servers: settings.size * settings.servers,
        slots: SLOTS,
        ..FleetSettings::default()
    })
    .await?;
    let all: Vec<usize> = (0..settings.size).collect();
    wait_fully_owned(&fleet, &all).await?;
    // Handovers to the processes that started last complete within this time.
    tokio::time::sleep(Duration::from_secs(5)).await;
    wait_fully_owned(&fleet, &all).await?;
    let (before, started) = (total_usage(&fleet, &all).await?, Instant::now());
    tokio::time::sleep(settings.window).await;
    let (after, seconds) = (
        total_usage(&fleet, &all).await?,
        started.elapsed().as_secs_f64(),
    );
    let count = f64::from(u32::try_from(settings.size).unwrap_or(u32::MAX));
    let processor_time = after
        .usage
        .processor_time
        .saturating_sub(before.usage.processor_time);
    let killed = Instant::now();
    fleet.signal(0, Signal::Kill)?;
    wait_fully_owned(&fleet, &all[1..]).await?;
    let takeover_time = killed.elapsed();
    fleet.start_vm(0)?;
    fleet.wait_vm(0).await?;
    tokio::time::sleep(settings.window).await;
    wait_fully_owned(&fleet, &all).await?;
    let restarted = fleet.pid(0).map(usage).transpose()?.unwrap_or_default();
    Ok(ControlCost {
        size: settings.size,
        byte_rate: to_float(after.peer_bytes - before.peer_bytes) / seconds / count,
        core_share: processor_time.as_secs_f64() / seconds / count,
        memory_bytes: to_float(after.usage.memory_bytes) / count,
        takeover_time,
        restarted_memory: to_float(restarted.memory_bytes),
    })
}

/// The usage of several VMs in total.
#[derive(Clone, Copy, Debug, Default)]
struct TotalUsage {
    /// The bytes exchanged with peers.
    peer_bytes: u64,
    usage: Usage,
}

async fn total_usage(fleet: &Fleet, vms: &[usize]) -> Result<TotalUsage, HarnessError> {
    let mut total = TotalUsage::default();
    for vm in vms {
        let reply: Counters = fleet.get(*vm, COUNTERS_PATH).await?.parse()?;
        let peers = reply.counters.iter();
        let bytes =
            peers.filter(|(name, _)| name.starts_with("peers.") && name.ends_with("_bytes"));
        total.peer_bytes += bytes.map(|(_, count)| count).sum::<u64>();
        if let Some(pid) = fleet.pid(*vm) {
            let usage = usage(pid)?;
            total.usage.processor_time += usage.processor_time;
            total.usage.memory_bytes += usage.memory_bytes;
        }
    }
    Ok(total)
}

/// Waits until exactly one of the VMs owns each backend server, with all its slots.
pub(super) async fn wait_fully_owned(fleet: &Fleet, vms: &[usize]) -> Result<(), HarnessError> {
    let owned = async || is_fully_owned(fleet, vms).await.unwrap_or(false);
    fleet.wait_for("one owner for each server", owned).await
}

async fn is_fully_owned(fleet: &Fleet, vms: &[usize]) -> Result<bool, HarnessError> {
    let mut owned_slots: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for vm in vms {
        let reply: Status = fleet.get(*vm, STATUS_PATH).await?.parse()?;
        for server in reply.servers {
            let entry = owned_slots.entry(server.server).or_default();
            if server.slots > 0 {
                entry.push(server.slots);
            }
        }
    }
    Ok(!owned_slots.is_empty() && owned_slots.values().all(|slots| slots[..] == [SLOTS]))
}

fn to_float(value: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    let value = value as f64;
    value
}
