//! Configuration: the documents of the platform, their replication, and the election of the
//! processes that read them.

mod batch;
mod document;
mod entry;
mod event;
mod freshness;
mod gate;
mod node;
mod parse;
mod pulls;
mod reachability;
mod readers;
mod retained;
mod store;
mod summary;

pub use batch::{Batch, BatchError, Change, MAX_DOCUMENTS, MAX_TOTAL_BYTES, RejectedDocument};
pub use document::{
    Document, EVACUATION_PREFIX, INDEX_PREFIX, PRESETS_KEY, ROUTES_KEY, SERVER_PREFIX,
};
pub use event::ConfigEvent;
pub use freshness::{Confirmation, Freshness};
pub use gate::{START_PEERS, START_WAIT, StartGate};
pub use node::{ConfigNode, ConfigPeer};
pub use parse::{
    DocumentCause, DocumentError, ParsedDocument, parse_document, parse_evacuation, parse_index,
    parse_presets, parse_routes, parse_server,
};
pub use pulls::{ConfigAction, FANOUT, PULL_RETRY_DELAY};
pub use reachability::ServiceReachability;
pub use readers::{
    ANSWER_TIMEOUT, APPLY_TIME, Candidate, FALLBACK_PERIOD, FALLBACK_RATE, FLEET_START_DELAY,
    MAX_READERS, READERS_PER_CENTRE, RECOVERY_TIME, ReadInput, ReadPlan, ReadSettings, SPREAD_TIME,
    STALE_AGE, WATCH_PERIOD, WATCH_WAIT, fallback_period, outranks, plan_reads,
};
pub use retained::{ABSENT_GRACE, RetainedDocument, RetainedDocuments, STALE_GRACE};
pub use store::{Origin, Source, Store};
pub use summary::ConfigSummary;
