//! Measures the cost of applying index documents.

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

/// Number of replicas of a shard.
const REPLICAS: u32 = 2;

/// An error while the cost was measured.
#[derive(Debug, Display)]
pub enum CapacityError {
    /// an index document cannot be serialized: {0}
    Json(serde_json::Error),
    /// a batch was refused: {0}
    Batch(BatchError),
    /// the resident memory cannot be read: {0}
    Memory(io::Error),
}

impl std::error::Error for CapacityError {}

/// The cost of applying the index documents of all services.
#[derive(Clone, Copy, Debug)]
pub struct ConfigCost {
    /// The number of backend servers of all services.
    pub servers: u32,
    /// The size of all documents in bytes.
    pub total_bytes: usize,
    /// The size of the document of one service in bytes.
    pub document_bytes: usize,
    /// The mean time to generate and apply one changed document.
    pub change_time: Duration,
    /// The growth of the resident memory due to the documents, in bytes.
    pub memory_bytes: u64,
}

/// Measures the cost of `services` index documents with a total of `servers` backend servers.
///
/// # Errors
/// Returns an error if a document cannot be serialized, a batch is refused or the resident memory
/// cannot be read.
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
        documents,
        ..Batch::default()
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

/// Returns the index entry of a backend server.
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

/// Returns the data centre of the VM or backend server with this number.
pub(super) fn centre(number: u32) -> Arc<str> {
    format!("centre-{}", number % super::fleet::CENTRES).into()
}
