//! The fleets to measure and the requests that are sent to them.

use std::{sync::Arc, time::Duration};

use cassialift_core::{
    ids::RequestKey,
    presets::{KindPolicy, Preset, QueuePolicy},
    request::{RequestKind, Urgency},
    time::Millis,
};
use cassialift_wire::{
    backend::RunRequest,
    caller::{SEARCH_PATH, SearchAnswer, SearchRequest},
};
use displaydoc::Display;

use crate::{
    client::{ClientError, JsonClient},
    harness::{Fleet, FleetSettings, HarnessError, SEARCH_SERVICE},
    standin::backend::ServiceTime,
};

/// Deadline of all requests.
pub(super) const DEADLINE: Millis = Millis::new(30_000);

/// An error that ends a measurement.
#[derive(Debug, Display)]
pub enum OverheadError {
    /// the fleet failed: {0}
    Fleet(HarnessError),
    /// a call failed: {0}
    Call(ClientError),
    /// the resource usage of a process cannot be read: {0}
    Usage(std::io::Error),
    /// a search was not answered with all shards: {0}
    Incomplete(String),
}

impl std::error::Error for OverheadError {}

impl From<HarnessError> for OverheadError {
    fn from(error: HarnessError) -> Self {
        Self::Fleet(error)
    }
}

impl From<ClientError> for OverheadError {
    fn from(error: ClientError) -> Self {
        Self::Call(error)
    }
}

impl From<std::io::Error> for OverheadError {
    fn from(error: std::io::Error) -> Self {
        Self::Usage(error)
    }
}

/// Starts a fleet with two shards on each backend server and a service time of `median`
/// microseconds.
pub(super) async fn fleet(vms: usize, shards: u32, median: u64) -> Result<Fleet, OverheadError> {
    let servers = usize::try_from(shards.div_ceil(2)).unwrap_or(usize::MAX);
    let fleet = Fleet::start(FleetSettings {
        vms: vec![vms],
        servers,
        shards,
        replicas: 1,
        job_servers: 1,
        slots: 4,
        search_time: ServiceTime { median, sigma: 0.0 },
        preset: preset(),
        ..FleetSettings::default()
    })
    .await?;
    fleet.wait_slots_owned().await?;
    Ok(fleet)
}

fn preset() -> Preset {
    let kind = KindPolicy {
        deadline: DEADLINE,
        ..KindPolicy::default()
    };
    Preset {
        kinds: RequestKind::ALL.map(|name| (name, kind.clone())).into(),
        queue: QueuePolicy {
            length: 4_000,
            caller_share: 1.0,
            ..QueuePolicy::default()
        },
        ..Preset::default()
    }
}

/// Returns a client that keeps idle connections open.
pub(super) fn client() -> Result<JsonClient, OverheadError> {
    Ok(JsonClient::with_max_idle(Duration::from_mins(1), 4_096)?)
}

/// Returns a search of the first `shards` shards.
pub(super) fn search(shards: u32) -> SearchRequest {
    SearchRequest {
        id: "overhead".to_owned(),
        caller: "overhead".into(),
        service: SEARCH_SERVICE.into(),
        kind: RequestKind::WideSearch,
        shards: Some((0..shards).collect()),
        deadline: None,
        query: "reference 116610".to_owned(),
    }
}

/// Returns the part of a search that is sent to the backend server of one shard.
pub(super) fn shard_request(sequence: u64, shard: u32) -> RunRequest {
    RunRequest {
        request: RequestKey {
            incarnation: 1,
            sequence,
        },
        attempt: shard,
        service: SEARCH_SERVICE.into(),
        shard,
        version: 1,
        kind: RequestKind::WideSearch,
        urgency: Urgency::Urgent,
        remaining: DEADLINE,
        body: "reference 116610".to_owned(),
    }
}

/// Sends a search to a VM and checks that the answer includes every shard.
pub(super) async fn send(
    client: &JsonClient,
    fleet: &Fleet,
    vm: usize,
    search: &SearchRequest,
) -> Result<(), OverheadError> {
    let address = fleet.vm_address(vm);
    let reply = client.post(address, SEARCH_PATH, search).await?;
    if reply.status != 200 {
        return Err(OverheadError::Incomplete(reply.text));
    }
    let answer: SearchAnswer = reply.parse()?;
    if answer.coverage.missing.is_empty() {
        return Ok(());
    }
    Err(OverheadError::Incomplete(format!("{:?}", answer.coverage)))
}

/// Sends searches until more than 20 in a row have been answered with all shards.
pub(super) async fn warm_up(
    client: &JsonClient,
    fleet: &Fleet,
    search: &SearchRequest,
) -> Result<(), OverheadError> {
    let counter = std::sync::atomic::AtomicU32::new(0);
    let count = Arc::new(counter);
    fleet
        .wait_for("answers in full", async || {
            let answered = send(client, fleet, 0, search).await.is_ok();
            let order = std::sync::atomic::Ordering::Relaxed;
            if !answered {
                count.store(0, order);
            }
            count.fetch_add(u32::from(answered), order) >= 20
        })
        .await?;
    Ok(())
}
