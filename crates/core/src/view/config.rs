//! The accepted configuration, as the traffic threads see it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    evacuation::EvacuatedCentres,
    ids::{Position, PresetId, ServerId, ServiceId},
    index::IndexDocument,
    pool::ServerDocument,
    presets::Preset,
    routes::RouteTable,
};

/// The accepted documents at one position of the platform's configuration.
#[derive(Clone, Debug)]
pub struct ConfigView {
    /// The position up to which changes have been applied.
    pub position: Position,
    /// The number of the view, which increases with each new view of this process.
    pub generation: u64,
    /// The name of the active preset.
    pub preset: PresetId,
    /// The active preset.
    pub policy: Arc<Preset>,
    /// The index document of each service.
    pub indexes: BTreeMap<ServiceId, Arc<IndexDocument>>,
    /// The routes; `None` before a route document has been accepted.
    pub routes: Option<Arc<RouteTable>>,
    /// The backend servers that are published in documents of their own.
    pub servers: Arc<BTreeMap<ServerId, Arc<ServerDocument>>>,
    /// The data centres whose backend servers get no work.
    pub evacuated: EvacuatedCentres,
}
