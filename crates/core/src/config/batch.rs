//! Batches of changed documents, from the platform or from a peer.

use displaydoc::Display;

use super::{Document, DocumentError};
use crate::ids::Revision;

/// The most documents, deleted ones included.
pub const MAX_DOCUMENTS: usize = 4_096;
/// The most bytes of all texts together.
pub const MAX_TOTAL_BYTES: usize = 48 << 20;

/// All documents that changed after one revision and up to another.
///
/// A document whose newest text is rejected may stand twice, with its accepted and its newest
/// text. Accepted texts may be older than `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// The revision that the receiver must hold already.
    pub after: Revision,
    /// The revision that the receiver holds afterwards.
    pub revision: Revision,
    /// Whether all documents that exist at `revision` are in the batch, so that others are deleted.
    pub complete: bool,
    /// The documents, in any order.
    pub documents: Vec<Document>,
}

/// Why a batch was refused as a whole; nothing of it was taken in.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BatchError {
    /// the batch starts after revision {after}, but only {held} is held
    Gap {
        /// Where the batch starts.
        after: Revision,
        /// What is held.
        held: Revision,
    },
    /// the batch ends at revision {revision}, but holds a document of {document}
    Inconsistent {
        /// Where the batch ends.
        revision: Revision,
        /// The revision of the document.
        document: Revision,
    },
    /// there would be {0} documents, more than 4096
    TooMany(usize),
    /// there would be {0} bytes of documents, more than 48 MiB
    TooLarge(usize),
}

impl std::error::Error for BatchError {}

/// What a batch changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// The revision moved forward.
    pub advanced: bool,
    /// The documents whose text in force is another one.
    pub accepted: Vec<String>,
    /// The documents whose newest text was rejected by this batch.
    pub rejected: Vec<RejectedDocument>,
    /// The preset in force is another one, or its text is.
    pub preset: bool,
}

/// A document whose newest text is rejected.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{key} of revision {revision}: {error}")]
pub struct RejectedDocument {
    /// The document's key.
    pub key: String,
    /// The revision of the rejected text.
    pub revision: Revision,
    /// The revision of the text that stays in force; none if there never was one.
    pub fallback: Option<Revision>,
    /// Why it is rejected.
    pub error: DocumentError,
}

impl Batch {
    /// Checks that the batch can be taken in by a process that holds `held`.
    pub(super) fn check(&self, held: Revision) -> Result<(), BatchError> {
        if self.after > held {
            let after = self.after;
            return Err(BatchError::Gap { after, held });
        }
        let newest = self.documents.iter().map(|document| document.revision);
        match newest.max() {
            Some(document) if document > self.revision => Err(BatchError::Inconsistent {
                revision: self.revision,
                document,
            }),
            _ => Ok(()),
        }
    }
}
