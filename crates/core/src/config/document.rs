//! Documents of the configuration service, as they travel.

use serde::{Deserialize, Serialize};

use crate::{ids::Revision, jsonc::MAX_TEXT_BYTES};

/// The key of the preset document.
pub const PRESETS_KEY: &str = "presets";
/// The key of the route document.
pub const ROUTES_KEY: &str = "routes";
/// The prefix of the keys of documents of single backend servers.
pub const SERVER_PREFIX: &str = "servers/";
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

impl Document {
    /// Cuts off a text that is too large anyway, so that it can be kept and passed on.
    ///
    /// What is left is still too large, and thus rejected by every process.
    pub(super) fn bound(&mut self) {
        let Some(text) = &mut self.text else {
            return;
        };
        if text.len() > MAX_TEXT_BYTES {
            text.truncate(text.ceil_char_boundary(MAX_TEXT_BYTES + 1));
        }
    }
}
