//! One key of the configuration: its newest text and the text in force.

use std::sync::Arc;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::{Document, DocumentError, ParsedDocument, parse_document};
use crate::ids::Revision;

/// One text of a document with the verdict on it.
#[derive(Clone, Debug)]
pub(super) struct Version {
    pub(super) revision: Revision,
    pub(super) text: Option<Arc<str>>,
    pub(super) verdict: Result<ParsedDocument, DocumentError>,
}

/// The newest text of a document and the newest accepted one; often the same.
///
/// The newest text is the same on all processes at one revision. The accepted one may be older on
/// a process that was not told of every revision, until it hears of the newer one from a peer:
/// both only ever move forward, so exchanging them in any order ends at the same state.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) newest: Arc<Version>,
    pub(super) accepted: Option<Arc<Version>>,
}

/// What a document did to its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SlotChange {
    /// The newest text is another one.
    pub(super) newest: bool,
    /// The accepted text is another one.
    pub(super) accepted: bool,
}

impl Version {
    pub(super) fn new(document: Document) -> Self {
        let verdict = parse_document(&document.key, document.text.as_deref());
        Self {
            revision: document.revision,
            text: document.text.map(Arc::from),
            verdict,
        }
    }

    /// Orders the texts of one key. The text decides only where a service breaks its contract by
    /// giving two texts one revision; all processes then still choose the same one.
    fn order(&self) -> (Revision, Option<&str>) {
        (self.revision, self.text.as_deref())
    }

    fn document(&self, key: &str) -> Document {
        Document {
            key: key.to_owned(),
            revision: self.revision,
            text: self.text.as_deref().map(str::to_owned),
        }
    }

    fn hash(&self, hasher: &mut Xxh3) {
        hasher.update(&self.revision.to_le_bytes());
        let text = self.text.as_deref();
        hasher.update(&[u8::from(text.is_some())]);
        hasher.update(&xxh3_64(text.unwrap_or_default().as_bytes()).to_le_bytes());
    }
}

impl Slot {
    pub(super) fn new(version: Version) -> Self {
        let newest = Arc::new(version);
        let accepted = newest.verdict.is_ok().then(|| Arc::clone(&newest));
        Self { newest, accepted }
    }

    /// Returns whether a document would change nothing; cheaper than reading its text.
    pub(super) fn holds(&self, document: &Document) -> bool {
        let order = (document.revision, document.text.as_deref());
        let accepted = self.accepted.as_ref().map(|version| version.order());
        order == self.newest.order() || accepted >= Some(order)
    }

    /// Takes a version in if it is newer than what is held.
    pub(super) fn merge(&mut self, version: Version) -> SlotChange {
        let version = Arc::new(version);
        let newest = version.order() > self.newest.order();
        let held = self.accepted.as_ref().map(|version| version.order());
        let accepted = version.verdict.is_ok() && Some(version.order()) > held;
        if newest {
            self.newest = Arc::clone(&version);
        }
        if accepted {
            self.accepted = Some(version);
        }
        SlotChange { newest, accepted }
    }

    /// Returns what a process that holds everything up to `after` needs of this slot.
    pub(super) fn changes_since(&self, key: &str, after: Revision) -> Vec<Document> {
        let mut documents = Vec::new();
        if self.newest.verdict.is_err()
            && let Some(accepted) = &self.accepted
        {
            documents.push(accepted.document(key));
        }
        if self.newest.revision > after {
            documents.push(self.newest.document(key));
        }
        documents
    }

    /// Returns the bytes of the newest text.
    pub(super) fn bytes(&self) -> usize {
        self.newest.text.as_ref().map_or(0, |text| text.len())
    }

    /// Returns a fingerprint of the slot.
    pub(super) fn digest(&self, key: &str) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(key.as_bytes());
        self.newest.hash(&mut hasher);
        if let Some(accepted) = &self.accepted {
            accepted.hash(&mut hasher);
        }
        hasher.digest()
    }
}
