//! The documents that the harness publishes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use cassialift_core::{
    ids::{DataCentre, IndexVersion, ServerId, ServiceId, ShardId},
    index::{IndexDocument, ServerEntry, ServerState, ShardEntry},
    presets::{Preset, PresetDocument},
};
use cassialift_wire::platform::{INDEX_PREFIX, PRESETS_KEY};

use super::{FleetSettings, HarnessError};
use crate::standin::config::Edit;

/// The service that answers searches and fetches.
pub const SEARCH_SERVICE: &str = "listings";
/// The service that runs jobs.
pub const JOB_SERVICE: &str = "press";

/// Creates the index document of a service whose servers are spread over the data centres.
pub(super) fn index_document(
    settings: &FleetSettings,
    service: &str,
    addresses: &[(ServerId, SocketAddr)],
    version: IndexVersion,
) -> IndexDocument {
    let centres = settings.vms.len().max(1);
    let entry = |(position, (id, address)): (usize, &(ServerId, SocketAddr))| ServerEntry {
        id: ServerId::clone(id),
        address: *address,
        centre: FleetSettings::centre(position % centres),
        slots: settings.slots,
        connections: settings.connections,
        state: ServerState::Serving,
    };
    let (shards, replicas) = if service == JOB_SERVICE {
        (1, addresses.len())
    } else {
        (settings.shards, settings.replicas)
    };
    IndexDocument {
        service: ServiceId::from(service),
        version,
        shards: (0..shards)
            .map(|shard| shard_entry(shard, replicas, addresses))
            .collect(),
        servers: addresses.iter().enumerate().map(entry).collect(),
    }
}

fn shard_entry(shard: ShardId, replicas: usize, servers: &[(ServerId, SocketAddr)]) -> ShardEntry {
    let first = usize::try_from(shard).unwrap_or_default() % servers.len().max(1);
    let rotated = servers.iter().cycle().skip(first);
    ShardEntry {
        shard,
        replicas: rotated
            .take(replicas.min(servers.len()))
            .map(|(id, _)| ServerId::clone(id))
            .collect(),
    }
}

/// Returns the edit that publishes an index document.
pub(super) fn index_edit(index: &IndexDocument) -> Result<Edit, HarnessError> {
    Ok(Edit {
        key: format!("{INDEX_PREFIX}{}", index.service),
        text: Some(serde_json::to_string(index)?),
    })
}

/// Returns the edit that publishes a preset and makes it the active one.
pub(super) fn preset_edit(name: &str, preset: &Preset) -> Result<Edit, HarnessError> {
    let document = PresetDocument {
        active: Arc::from(name),
        presets: BTreeMap::from([(Arc::from(name), preset.clone())]),
    };
    Ok(Edit {
        key: PRESETS_KEY.to_owned(),
        text: Some(serde_json::to_string(&document)?),
    })
}

/// Returns the data centre of a VM; VMs are numbered data centre by data centre.
pub(super) fn centre_of(settings: &FleetSettings, vm: usize) -> DataCentre {
    let mut end = 0;
    for (index, count) in settings.vms.iter().enumerate() {
        end += count;
        if vm < end {
            return FleetSettings::centre(index);
        }
    }
    FleetSettings::centre(0)
}
