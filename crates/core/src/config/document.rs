//! Documents of the configuration service, as they travel.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// The key of the preset document.
pub const PRESETS_KEY: &str = "presets";
/// The prefix of the keys of index documents.
pub const INDEX_PREFIX: &str = "index/";

/// One document of the configuration service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The document's key.
    pub key: String,
    /// The revision that last changed it.
    pub revision: Revision,
    /// Its text, JSON with comments; none once it has been deleted.
    pub text: Option<String>,
}
