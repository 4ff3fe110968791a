//! Configuration: documents of the platform, their order, and who reads them.

mod batch;
mod document;
mod event;
mod freshness;
mod gate;
mod node;
mod note;
mod parse;
mod reach;
mod readers;
mod slot;
mod spread;
mod store;

pub use batch::{Batch, BatchError, Change, MAX_DOCUMENTS, MAX_TOTAL_BYTES, RejectedDocument};
pub use document::{Document, INDEX_PREFIX, PRESETS_KEY, ROUTES_KEY, SERVER_PREFIX};
pub use event::ConfigEvent;
pub use freshness::{Confirmation, Freshness};
pub use gate::{START_PEERS, START_WAIT, StartGate};
pub use node::{ConfigNode, ConfigPeer};
pub use note::ConfigNote;
pub use parse::{
    Accepted, DocumentCause, DocumentFault, parse_document, parse_index, parse_presets,
    parse_routes, parse_server,
};
pub use reach::ServiceReach;
pub use readers::{
    Candidate, FALLBACK_PERIOD, FALLBACK_RATE, READERS, ReadInput, ReadPlan, ReadSettings,
    STALE_AGE, WATCH_PERIOD, WATCH_WAIT, fallback_period, outranks, plan_reads,
};
pub use spread::{FANOUT, Order, PULL_PATIENCE};
pub use store::{Origin, Source, Store};
