//! What taking in an index document costs.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    config::{Batch, BatchError, Document, INDEX_PREFIX, Source, Store},
    ids::ServerId,
    index::{IndexDocument, ServerEntry, ServerState, ShardEntry},
};
use displaydoc::Display;

use super::memory::resident_bytes;

/// The replicas of a shard.
const REPLICAS: u32 = 2;

/// Why the cost could not be measured.
#[derive(Debug, Display)]
pub enum CapacityError {
    /// an index document cannot be written: {0}
    Json(serde_json::Error),
    /// a batch was refused: {0}
    Batch(BatchError),
    /// the memory cannot be read: {0}
    Memory(io::Error),
}

impl std::error::Error for CapacityError {}

/// What taking in index documents costs.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// The backend servers over all services.
    pub servers: u32,
    /// The bytes of all documents.
    pub total_bytes: usize,
    /// The bytes of one service's document.
    pub document_bytes: usize,
    /// The processor time of one changed document.
    pub change_time: Duration,
    /// The resident memory that the documents added, bytes.
    pub memory_bytes: u64,
}

/// Measures the cost of `services` index documents with `servers` backend servers in all.
///
/// # Errors
/// Returns why it could not be measured.
pub fn config_cost(services: u32, servers: u32) -> Result<ConfigCost, CapacityError> {
    let servers_each = servers / services;
    let before = resident_bytes().map_err(CapacityError::Memory)?;
    let mut store = Store::default();
    let mut documents = Vec::new();
    for service in 0..services {
        documents.push(index_document(service, servers_each, 1)?);
    }
    let total_bytes = documents.iter().map(text_bytes).sum();
    let document_bytes = documents.first().map_or(0, text_bytes);
    apply(&mut store, 1, documents)?;
    let after = resident_bytes().map_err(CapacityError::Memory)?;
    let started = Instant::now();
    for revision in 2..2 + u64::from(services) {
        let changed = index_document(0, servers_each, revision)?;
        apply(&mut store, revision, vec![changed])?;
    }
    Ok(ConfigCost {
        servers: servers_each * services,
        total_bytes,
        document_bytes,
        change_time: started.elapsed() / services,
        memory_bytes: after.saturating_sub(before),
    })
}

fn text_bytes(document: &Document) -> usize {
    document.text.as_ref().map_or(0, String::len)
}

fn apply(store: &mut Store, revision: u64, documents: Vec<Document>) -> Result<(), CapacityError> {
    let batch = Batch {
        after: revision - 1,
        revision,
        complete: false,
        documents,
    };
    let applied = store.apply(batch, &Source::Platform, Instant::now());
    applied.map_err(CapacityError::Batch)?;
    Ok(())
}

fn index_document(service: u32, servers: u32, revision: u64) -> Result<Document, CapacityError> {
    let name: Arc<str> = format!("service-{service}").into();
    let index = IndexDocument {
        service: Arc::clone(&name),
        version: revision,
        shards: (0..servers / REPLICAS)
            .map(|shard| ShardEntry {
                shard,
                replicas: (0..REPLICAS)
                    .map(|replica| server_id(service, shard * REPLICAS + replica))
                    .collect(),
            })
            .collect(),
        servers: (0..servers).map(|number| server(service, number)).collect(),
    };
    let text = serde_json::to_string(&index).map_err(CapacityError::Json)?;
    Ok(Document {
        key: format!("{INDEX_PREFIX}{name}"),
        revision,
        text: Some(text),
    })
}

/// Describes a backend server.
pub(super) fn server(service: u32, number: u32) -> ServerEntry {
    let [_, _, high, low] = number.to_be_bytes();
    let [.., net] = service.to_be_bytes();
    ServerEntry {
        id: server_id(service, number),
        address: SocketAddr::from((Ipv4Addr::new(10, net, high, low), 9_000)),
        centre: centre(number),
        slots: 2,
        connections: 25,
        state: ServerState::Serving,
    }
}

fn server_id(service: u32, number: u32) -> ServerId {
    format!("service-{service}-server-{number}").into()
}

/// Names the data centre that the `number`th VM or backend server stands in.
pub(super) fn centre(number: u32) -> Arc<str> {
    format!("centre-{}", number % super::fleet::CENTRES).into()
}
