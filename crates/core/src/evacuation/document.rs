//! The document that orders the evacuation of one data centre.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::ids::DataCentre;

/// The data centres whose backend servers get no work; shared by all views between two changes.
pub type EvacuatedCentres = Arc<BTreeSet<DataCentre>>;

/// The order to evacuate a data centre, published under the key `evacuations/<data centre>`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EvacuationDocument {
    /// Why the data centre is evacuated, for operators only.
    pub note: String,
}
