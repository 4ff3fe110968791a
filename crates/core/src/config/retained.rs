//! Documents of earlier epochs that stay in use after the configuration service was restored from a
//! backup.
//!
//! The backup is some seconds older than what the processes know. Until the operators and the
//! backend servers have published again what was lost, a process keeps using:
//!
//! - routes with a higher version than those of the backup, however long;
//! - documents that the backup lacks, for [`ABSENT_GRACE`];
//! - evacuations that the backup lacks, newer states of backend servers than those in the backup, and
//!   deletions of documents that are in the backup again, for [`STALE_GRACE`].

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    Document, ParsedDocument,
    entry::{DocumentVersion, Entry},
};
use crate::{
    ids::{Epoch, Position},
    time::Millis,
};

/// How long a document that the backup lacks stays in use.
///
/// The platform publishes the documents of running servers again within two seconds.
pub const ABSENT_GRACE: Duration = Duration::from_secs(3);
/// How long a document stays in use that is newer than the one in the backup.
///
/// By then the platform has removed the documents of servers that no longer exist.
pub const STALE_GRACE: Duration = Duration::from_secs(10);
/// The maximum number of documents that a process passes on to peers.
const MAX_SHARED: usize = 512;

/// A document of an earlier epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetainedDocument {
    /// The epoch of the document's revision.
    pub epoch: Epoch,
    /// The document.
    pub document: Document,
}

/// The documents of earlier epochs that a process uses, in the form in which they are transferred.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetainedDocuments {
    /// The time since the sender learned of the current epoch.
    pub age: Millis,
    /// The documents.
    pub documents: Vec<RetainedDocument>,
}

/// The documents of earlier epochs that take precedence over those of the current one.
#[derive(Clone, Debug, Default)]
pub(super) struct Retained {
    /// The time at which the current epoch was learned; `None` if nothing is retained.
    since: Option<Instant>,
    documents: BTreeMap<String, (Position, Arc<DocumentVersion>)>,
}

impl Retained {
    pub(super) fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.documents.len()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = &str> {
        self.documents.keys().map(String::as_str)
    }

    /// Returns the retained version of a document.
    pub(super) fn get(&self, key: &str) -> Option<&Arc<DocumentVersion>> {
        self.documents.get(key).map(|(_, version)| version)
    }

    /// Retains the documents that were in use at the end of `epoch`.
    pub(super) fn begin_epoch(
        &mut self,
        epoch: Epoch,
        entries: &BTreeMap<String, Entry>,
        now: Instant,
    ) {
        self.since = Some(now);
        for (key, entry) in entries {
            let Some(version) = &entry.accepted else {
                continue;
            };
            let position = Position {
                epoch,
                revision: version.revision,
            };
            // What was retained before takes precedence over that epoch as well.
            self.documents
                .entry(key.clone())
                .or_insert_with(|| (position, Arc::clone(version)));
        }
    }

    /// Adds the documents that a peer retains, if they are later than the known ones; returns the
    /// keys of those added.
    pub(super) fn merge(
        &mut self,
        retained: RetainedDocuments,
        current: Epoch,
        now: Instant,
    ) -> Vec<String> {
        let mut added = Vec::new();
        if retained.documents.is_empty() {
            return added;
        }
        let since = now.checked_sub(retained.age.0).unwrap_or(now);
        self.since = Some(self.since.map_or(since, |own| own.min(since)));
        let documents = retained.documents.into_iter().take(MAX_SHARED);
        for RetainedDocument { epoch, document } in documents {
            let position = Position {
                epoch,
                revision: document.revision,
            };
            let key = document.key.clone();
            let known = self.documents.get(&key).map(|(position, _)| *position);
            let version = DocumentVersion::new(document);
            if epoch < current && known < Some(position) && version.parse_result.is_ok() {
                added.push(key.clone());
                self.documents.insert(key, (position, Arc::new(version)));
            }
        }
        added
    }

    /// Removes and returns the keys of the documents that no longer take precedence over the
    /// entries of the current epoch.
    pub(super) fn release(
        &mut self,
        entries: &BTreeMap<String, Entry>,
        now: Instant,
    ) -> Vec<String> {
        let Some(since) = self.since else {
            return Vec::new();
        };
        let age = now.saturating_duration_since(since);
        let outranked = self.documents.extract_if(.., |key, (_, version)| {
            !outranks(version, entries.get(key), age)
        });
        let keys = outranked.map(|(key, _)| key).collect();
        if self.documents.is_empty() {
            self.since = None;
        }
        keys
    }

    /// Returns the retained documents in the form in which they are transferred.
    pub(super) fn to_documents(&self, now: Instant) -> RetainedDocuments {
        let age = self
            .since
            .map(|since| now.saturating_duration_since(since))
            .unwrap_or_default();
        let documents = self.documents.iter().take(MAX_SHARED);
        RetainedDocuments {
            age: Millis(age),
            documents: documents
                .map(|(key, (position, version))| RetainedDocument {
                    epoch: position.epoch,
                    document: version.to_document(key),
                })
                .collect(),
        }
    }
}

/// Returns whether a document of an earlier epoch takes precedence over that of the current epoch,
/// which began `age` ago.
fn outranks(known: &DocumentVersion, restored: Option<&Entry>, age: Duration) -> bool {
    let Ok(known_document) = &known.parse_result else {
        return false;
    };
    let accepted = restored.and_then(|entry| entry.accepted.as_deref());
    let restored_document = accepted.and_then(|version| version.parse_result.as_ref().ok());
    let was_revised = accepted.is_some_and(|version| known.revision > version.revision);
    match (known_document, restored_document) {
        (ParsedDocument::Routes(known), Some(ParsedDocument::Routes(restored))) => {
            known.version > restored.version
        }
        // A configuration never reverts to none.
        (ParsedDocument::Routes(_) | ParsedDocument::Presets(_), None) => true,
        // A deletion in the current epoch is newer than any backup.
        (ParsedDocument::Withdrawn(_), None) | (_, Some(ParsedDocument::Withdrawn(_))) => false,
        // Work sent to an evacuated data centre does more harm than a late return to it.
        (ParsedDocument::Evacuation(_), None) => age < STALE_GRACE,
        (_, None) => age < ABSENT_GRACE,
        (ParsedDocument::Server(known), Some(ParsedDocument::Server(restored))) => {
            known.is_newer_than(restored) && age < STALE_GRACE
        }
        (ParsedDocument::Index(known), Some(ParsedDocument::Index(restored))) => {
            known.version > restored.version && age < STALE_GRACE
        }
        (_, Some(_)) => was_revised && age < STALE_GRACE,
    }
}
