//! Measures how long backend servers are unavailable after their owner is frozen or killed.

use std::{
    fmt,
    time::{Duration, Instant},
};

use cassialift_core::{
    presets::{KindPolicy, Preset},
    request::RequestKind,
    time::Millis,
};
use futures::future::try_join_all;

use super::{
    CostSettings,
    fleet::{SLOTS, wait_fully_owned},
};
use crate::{
    harness::{Caller, Fleet, FleetSettings, HarnessError, Signal},
    history::CallEnd,
};

/// Deadline of the searches that are sent until one is answered with all shards.
const SEARCH_DEADLINE: Millis = Millis::new(100);
/// Time for handovers to complete before a VM is frozen or killed.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The time from the freeze or kill of a VM until every other VM has answered a search with all
/// backend servers.
#[derive(Clone, Copy, Debug)]
pub struct OutageReport {
    /// The number of processes in the fleet.
    pub size: usize,
    /// The time after a freeze.
    pub after_freeze: Duration,
    /// The time after a kill.
    pub after_kill: Duration,
}

/// Freezes a VM of a fleet, resumes it, kills it, and measures the outage after each signal.
///
/// Each shard has one replica, so that a complete answer needs every backend server.
///
/// # Errors
/// Returns an error if the fleet cannot be started or does not settle or recover in time.
pub async fn measure_outage(settings: CostSettings) -> Result<OutageReport, HarnessError> {
    let mut fleet = start(settings).await?;
    let all: Vec<usize> = (0..settings.size).collect();
    settle(&fleet, &all).await?;
    let after_freeze = measure_signal(&mut fleet, &all[1..], Signal::Stop).await?;
    fleet.signal(0, Signal::Continue)?;
    settle(&fleet, &all).await?;
    let after_kill = measure_signal(&mut fleet, &all[1..], Signal::Kill).await?;
    Ok(OutageReport {
        size: settings.size,
        after_freeze,
        after_kill,
    })
}

async fn start(settings: CostSettings) -> Result<Fleet, HarnessError> {
    let servers = settings.size * settings.servers;
    let policy = KindPolicy {
        deadline: SEARCH_DEADLINE,
        ..KindPolicy::default()
    };
    let mut preset = Preset::default();
    preset.kinds.insert(RequestKind::WideSearch, policy);
    Fleet::start(FleetSettings {
        vms: vec![settings.size / settings.centres; settings.centres],
        servers,
        shards: u32::try_from(servers).unwrap_or(u32::MAX),
        replicas: 1,
        slots: SLOTS,
        preset,
        ..FleetSettings::default()
    })
    .await
}

/// Waits until handovers have completed and every VM has answered a search with all shards.
async fn settle(fleet: &Fleet, vms: &[usize]) -> Result<(), HarnessError> {
    wait_fully_owned(fleet, vms).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    wait_fully_owned(fleet, vms).await?;
    wait_full_answers(fleet, vms).await
}

/// Sends a signal to the first VM and returns the time until all others answer with all shards.
async fn measure_signal(
    fleet: &mut Fleet,
    others: &[usize],
    signal: Signal,
) -> Result<Duration, HarnessError> {
    let start = Instant::now();
    fleet.signal(0, signal)?;
    wait_full_answers(fleet, others).await?;
    Ok(start.elapsed())
}

/// Waits until each of the VMs has answered a search with all shards.
async fn wait_full_answers(fleet: &Fleet, vms: &[usize]) -> Result<(), HarnessError> {
    let waits = vms.iter().map(|vm| wait_full_answer(fleet, *vm));
    try_join_all(waits).await.map(drop)
}

async fn wait_full_answer(fleet: &Fleet, vm: usize) -> Result<(), HarnessError> {
    let mut caller = fleet.caller(&format!("caller-{vm}"))?;
    let full = async || is_answered_fully(&mut caller, fleet, vm).await;
    fleet.wait_for("an answer in full", full).await
}

async fn is_answered_fully(caller: &mut Caller, fleet: &Fleet, vm: usize) -> bool {
    caller.pin_address(fleet.vm_address(vm));
    let end = caller.search(RequestKind::WideSearch, None).await;
    matches!(end, CallEnd::Answer(answer) if answer.coverage.missing.is_empty())
}

impl fmt::Display for OutageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [frozen, killed] = [self.after_freeze, self.after_kill].map(|time| time.as_secs_f64());
        write!(f, "| {} | {frozen:.2} | {killed:.2} |", self.size)
    }
}
