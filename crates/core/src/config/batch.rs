//! Batches of changed documents, sent by the platform or by a peer.

use displaydoc::Display;

use super::{Document, DocumentError, RetainedDocuments};
use crate::ids::{Epoch, Position, Revision};

/// The maximum number of documents, including deleted ones.
pub const MAX_DOCUMENTS: usize = 4_096;
/// The maximum size of all texts together, in bytes.
pub const MAX_TOTAL_BYTES: usize = 48 << 20;

/// All documents that changed after one revision, up to and including another of the same epoch.
///
/// A document whose newest text is rejected may be listed twice: with its last accepted text and
/// with its newest text. Accepted texts may be older than `after`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The epoch of all revisions of the batch.
    pub epoch: Epoch,
    /// The revision that the receiver must have reached before.
    pub after: Revision,
    /// The revision of the receiver afterwards.
    pub revision: Revision,
    /// Whether the batch lists all documents that exist at `revision`, so that all others are
    /// deleted.
    pub complete: bool,
    /// Whether the sender may have further changes, up to a later revision.
    pub more: bool,
    /// The documents, in any order.
    pub documents: Vec<Document>,
    /// Documents of earlier epochs that the sender still uses; empty in batches of the platform.
    pub retained: RetainedDocuments,
}

/// The reason for refusing a batch as a whole; none of its documents are applied.
///
/// The comment of each variant is its message.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BatchError {
    /// the batch starts after revision {after}, but only {current} is held
    Gap {
        /// The revision after which the batch starts.
        after: Revision,
        /// The revision of the receiver.
        current: Revision,
    },
    /// the batch ends at revision {revision}, but holds a document of {document}
    Inconsistent {
        /// The revision at which the batch ends.
        revision: Revision,
        /// The newer revision of one of its documents.
        document: Revision,
    },
    /// the batch is of epoch {epoch}, but the epoch {current} has begun
    PastEpoch {
        /// The epoch of the batch.
        epoch: Epoch,
        /// The epoch of the receiver.
        current: Epoch,
    },
    /// the sender is at {announced}, too many epochs after {current}
    ImplausibleEpoch {
        /// The position of the sender.
        announced: Position,
        /// The position of the receiver.
        current: Position,
    },
    /// there would be {0} documents, more than 4096
    TooMany(usize),
    /// there would be {0} bytes of documents, more than 48 MiB
    TooLarge(usize),
}

impl std::error::Error for BatchError {}

/// The effects of a batch on the documents.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Whether the revision has advanced.
    pub advanced: bool,
    /// The keys of the documents whose accepted text has changed.
    pub accepted: Vec<String>,
    /// The documents whose newest text came with this batch and was rejected.
    pub rejected: Vec<RejectedDocument>,
    /// Whether another preset became active, or the active preset has changed.
    pub preset_changed: bool,
    /// The position before the batch, if the batch began a later epoch.
    pub restored_from: Option<Position>,
    /// The number of documents of earlier epochs that the batch brought into use.
    pub retained: usize,
    /// The keys of documents of earlier epochs that are no longer used.
    pub released: Vec<String>,
}

/// A document whose newest text is rejected.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{key} of revision {revision}: {error}")]
pub struct RejectedDocument {
    /// The document's key.
    pub key: String,
    /// The revision of the rejected text.
    pub revision: Revision,
    /// The revision of the last accepted text, which stays in use; `None` if there is none.
    pub fallback: Option<Revision>,
    /// The error in the rejected text.
    pub error: DocumentError,
}

impl Batch {
    /// Returns the position of the receiver after the batch.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            epoch: self.epoch,
            revision: self.revision,
        }
    }

    /// Checks that a process at the position `current` can apply the batch.
    pub(super) fn check(&self, current: Position) -> Result<(), BatchError> {
        if self.epoch < current.epoch {
            return Err(BatchError::PastEpoch {
                epoch: self.epoch,
                current: current.epoch,
            });
        }
        // No document of an earlier epoch counts in a later one.
        let current = if self.epoch > current.epoch {
            0
        } else {
            current.revision
        };
        if self.after > current {
            let after = self.after;
            return Err(BatchError::Gap { after, current });
        }
        let revisions = self.documents.iter().map(|document| document.revision);
        match revisions.max() {
            Some(document) if document > self.revision => Err(BatchError::Inconsistent {
                revision: self.revision,
                document,
            }),
            _ => Ok(()),
        }
    }
}
