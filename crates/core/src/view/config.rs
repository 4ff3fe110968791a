//! The configuration in force, as traffic sees it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    ids::{PresetId, Revision, ServerId, ServiceId},
    index::IndexDocument,
    pool::ServerDocument,
    presets::Preset,
    routes::RouteTable,
};

/// The accepted documents at one revision of the platform's configuration.
#[derive(Clone, Debug)]
pub struct ConfigView {
    /// The revision up to which changes have been applied.
    pub revision: Revision,
    /// The name of the preset in force.
    pub preset: PresetId,
    /// The preset in force.
    pub policy: Arc<Preset>,
    /// The index document of each service.
    pub indexes: BTreeMap<ServiceId, Arc<IndexDocument>>,
    /// The routes; none before a route document was accepted.
    pub routes: Option<Arc<RouteTable>>,
    /// The backend servers that are published one by one.
    pub servers: Arc<BTreeMap<ServerId, Arc<ServerDocument>>>,
}
