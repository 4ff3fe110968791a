//! The state of one document: its newest version and its accepted version.

use std::sync::Arc;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::{Document, DocumentError, ParsedDocument, parse_document};
use crate::ids::Revision;

/// One version of a document: its text and the result of parsing it.
#[derive(Clone, Debug)]
pub(super) struct DocumentVersion {
    pub(super) revision: Revision,
    pub(super) text: Option<Arc<str>>,
    pub(super) parse_result: Result<ParsedDocument, DocumentError>,
}

/// The newest version of a document and its newest accepted version, which are often the same.
///
/// The newest version is the same on all processes at one revision. The accepted version may be
/// older on a process that has missed revisions, until a peer sends the newer one. Neither is ever
/// replaced by an older version, so processes that exchange them in any order reach the same
/// state.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) newest: Arc<DocumentVersion>,
    pub(super) accepted: Option<Arc<DocumentVersion>>,
}

/// The effect of merging a version into an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EntryChange {
    /// Whether the newest version has changed.
    pub(super) newest: bool,
    /// Whether the accepted version has changed.
    pub(super) accepted: bool,
}

impl DocumentVersion {
    pub(super) fn new(document: Document) -> Self {
        let parse_result = parse_document(&document.key, document.text.as_deref());
        Self {
            revision: document.revision,
            text: document.text.map(Arc::from),
            parse_result,
        }
    }

    /// Returns the key that orders the versions of one document.
    ///
    /// The texts are compared only if the service breaks its contract and assigns the same
    /// revision to two texts. All processes then still choose the same one.
    fn sort_key(&self) -> (Revision, Option<&str>) {
        (self.revision, self.text.as_deref())
    }

    pub(super) fn to_document(&self, key: &str) -> Document {
        Document {
            key: key.to_owned(),
            revision: self.revision,
            text: self.text.as_deref().map(str::to_owned),
        }
    }

    fn update_hash(&self, hasher: &mut Xxh3) {
        hasher.update(&self.revision.to_le_bytes());
        let text = self.text.as_deref();
        hasher.update(&[u8::from(text.is_some())]);
        hasher.update(&xxh3_64(text.unwrap_or_default().as_bytes()).to_le_bytes());
    }
}

impl Entry {
    pub(super) fn new(version: DocumentVersion) -> Self {
        let newest = Arc::new(version);
        let accepted = newest.parse_result.is_ok().then(|| Arc::clone(&newest));
        Self { newest, accepted }
    }

    /// Returns whether merging a document would change nothing. The text is not parsed.
    pub(super) fn contains(&self, document: &Document) -> bool {
        let sort_key = (document.revision, document.text.as_deref());
        let accepted = self.accepted.as_ref().map(|version| version.sort_key());
        sort_key == self.newest.sort_key() || accepted >= Some(sort_key)
    }

    /// Replaces the newest and the accepted version if the given version is newer.
    pub(super) fn merge(&mut self, version: DocumentVersion) -> EntryChange {
        let version = Arc::new(version);
        let newest = version.sort_key() > self.newest.sort_key();
        let current = self.accepted.as_ref().map(|version| version.sort_key());
        let accepted = version.parse_result.is_ok() && Some(version.sort_key()) > current;
        if newest {
            self.newest = Arc::clone(&version);
        }
        if accepted {
            self.accepted = Some(version);
        }
        EntryChange { newest, accepted }
    }

    /// Returns the versions that a process with all changes up to `after` needs.
    ///
    /// The accepted version is included, whatever its revision, if the newest one is rejected.
    pub(super) fn changes_since(&self, key: &str, after: Revision) -> Vec<Document> {
        let mut documents = Vec::new();
        if self.newest.parse_result.is_err()
            && let Some(accepted) = &self.accepted
        {
            documents.push(accepted.to_document(key));
        }
        if self.newest.revision > after {
            documents.push(self.newest.to_document(key));
        }
        documents
    }

    /// Returns whether the document is deleted.
    pub(super) fn is_deleted(&self) -> bool {
        self.newest.text.is_none() && self.newest.parse_result.is_ok()
    }

    /// Returns the size of the newest text in bytes.
    pub(super) fn text_size(&self) -> usize {
        self.newest.text.as_ref().map_or(0, |text| text.len())
    }

    /// Returns a hash of the key and of both versions.
    pub(super) fn digest(&self, key: &str) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(key.as_bytes());
        self.newest.update_hash(&mut hasher);
        if let Some(accepted) = &self.accepted {
            accepted.update_hash(&mut hasher);
        }
        hasher.digest()
    }
}
