//! Runs a fleet, publishes changes and measures their propagation.

use std::time::{Duration, Instant};

use cassialift_core::{ids::Revision, presets::Preset};
use cassialift_wire::operator::{STATUS_PATH, Status};
use futures::future::join_all;
use tokio::time::sleep;

use super::SpreadReport;
use crate::{
    harness::{Fleet, FleetSettings, HarnessError},
    standin::ConfigMode,
};

/// Time during which reads are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);
/// Time for a fleet to settle before reads are counted.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Pause before each status query to a process that waits for a change.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// The parameters of a measurement.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// The number of VMs in each data centre.
    pub vms: Vec<usize>,
    /// The number of processes that can reach the configuration service, or `None` for all.
    pub with_access: Option<usize>,
    /// The number of changes that are published one after the other.
    pub changes: usize,
    /// The pause between two changes.
    pub pause: Duration,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            vms: vec![2; 4],
            with_access: None,
            changes: 100,
            pause: Duration::from_millis(130),
        }
    }
}

/// Runs a fleet and measures its reads and the propagation of changes.
///
/// # Errors
/// Returns an error if the fleet cannot be started or a change is not active in time.
pub async fn run(settings: &SpreadSettings) -> Result<SpreadReport, HarnessError> {
    let processes = settings.vms.iter().sum();
    let with_access = settings.with_access.unwrap_or(processes);
    let fleet = Fleet::start(FleetSettings {
        vms: settings.vms.clone(),
        config_blocked: (with_access..processes).collect(),
        servers: 2,
        job_servers: 1,
        shards: 2,
        backend_processes: 1,
        ..FleetSettings::default()
    })
    .await?;
    sleep(SETTLE_TIME).await;
    let idle_rate = read_rate(&fleet).await?;
    let mut propagation_times = Vec::new();
    for _ in 0..settings.changes {
        propagation_times.push(measure_change(&fleet, processes).await?);
        sleep(settings.pause).await;
    }
    propagation_times.sort_unstable();
    fleet.set_config_mode(ConfigMode::Down).await?;
    sleep(SETTLE_TIME).await;
    let down_rate = read_rate(&fleet).await?;
    Ok(SpreadReport {
        processes,
        with_access,
        idle_rate,
        down_rate,
        propagation_times,
    })
}

/// Returns the rate at which the fleet reads the configuration service, in reads a second.
async fn read_rate(fleet: &Fleet) -> Result<f64, HarnessError> {
    let (started, before) = (Instant::now(), fleet.config_stats().await?);
    sleep(COUNT_TIME).await;
    let after = fleet.config_stats().await?;
    let reads = u32::try_from(after.reads - before.reads).unwrap_or(u32::MAX);
    Ok(f64::from(reads) / started.elapsed().as_secs_f64())
}

/// Publishes a preset and returns the time until it is active in every process.
async fn measure_change(fleet: &Fleet, processes: usize) -> Result<Duration, HarnessError> {
    let started = Instant::now();
    let revision = fleet.publish_preset("ordinary", &Preset::default()).await?;
    let waits = (0..processes).map(|vm| wait_active(fleet, vm, revision));
    for wait in join_all(waits).await {
        wait?;
    }
    Ok(started.elapsed())
}

async fn wait_active(fleet: &Fleet, vm: usize, revision: Revision) -> Result<(), HarnessError> {
    let is_active = async || {
        sleep(POLL_PERIOD).await;
        let Ok(reply) = fleet.get(vm, STATUS_PATH).await else {
            return false;
        };
        let status = reply.parse::<Status>();
        status.is_ok_and(|status| status.config.admits && status.config.revision >= revision)
    };
    let condition = format!("revision {revision} on vm-{vm}");
    fleet.wait_for(&condition, is_active).await
}
