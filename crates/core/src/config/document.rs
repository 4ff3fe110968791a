//! Documents of the configuration service, in the form in which they are transferred.

use serde::{Deserialize, Serialize};

use crate::{ids::Revision, jsonc::MAX_TEXT_BYTES};

/// The key of the preset document.
pub const PRESETS_KEY: &str = "presets";
/// The key of the route document.
pub const ROUTES_KEY: &str = "routes";
/// The prefix of the keys of documents that describe one backend server each.
pub const SERVER_PREFIX: &str = "servers/";
/// The prefix of the keys of documents that order the evacuation of one data centre each.
pub const EVACUATION_PREFIX: &str = "evacuations/";
/// The prefix of the keys of index documents.
pub const INDEX_PREFIX: &str = "index/";

/// A revision of one document of the configuration service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The document's key.
    pub key: String,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The text, JSON with comments; `None` if the document is deleted.
    pub text: Option<String>,
}

impl Document {
    /// Truncates a text that is too large, so that it can be stored and sent to peers.
    ///
    /// The truncated text is still too large, so every process rejects it.
    pub(super) fn truncate_text(&mut self) {
        let Some(text) = &mut self.text else {
            return;
        };
        if text.len() > MAX_TEXT_BYTES {
            text.truncate(text.ceil_char_boundary(MAX_TEXT_BYTES + 1));
        }
    }
}
