//! The documents of one process, and the application of batches to them.
//!
//! Documents are ordered by the platform's revision alone. Applying batches is idempotent and their
//! order does not matter, so a batch from a stale replica or a lagging peer never replaces a newer
//! document.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use displaydoc::Display;

use super::{
    Batch, BatchError, Change, Document, INDEX_PREFIX, MAX_DOCUMENTS, MAX_TOTAL_BYTES, PRESETS_KEY,
    ParsedDocument, ROUTES_KEY, RejectedDocument, SERVER_PREFIX,
    entry::{DocumentVersion, Entry},
};
use crate::{
    ids::{PresetId, Revision, ServerId, ServiceId, VmId},
    index::IndexDocument,
    pool::ServerDocument,
    view::ConfigView,
};

/// The sender of a revision.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// platform
    Platform,
    /// {0}
    Vm(VmId),
}

/// The time at which a process received a revision or preset, and the sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// The sender.
    pub source: Source,
    /// The time of receipt.
    pub learned_at: Instant,
}

/// The configuration documents of one process, with the view derived from them.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    digest: u64,
    view: Option<Arc<ConfigView>>,
    revision_origin: Option<Origin>,
    preset_origin: Option<Origin>,
}

impl Store {
    /// Returns the revision up to which all changes have been applied; zero before the first.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a hash of all documents.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the view of the accepted documents, or `None` before a preset document is accepted.
    #[must_use]
    pub const fn view(&self) -> Option<&Arc<ConfigView>> {
        self.view.as_ref()
    }

    /// Returns the sender of the current revision and the time of its receipt; `None` before the
    /// first revision.
    #[must_use]
    pub const fn revision_origin(&self) -> Option<&Origin> {
        self.revision_origin.as_ref()
    }

    /// Returns the sender of the last change to the active preset or its policy, and the time of its
    /// receipt; `None` before the first preset.
    #[must_use]
    pub const fn preset_origin(&self) -> Option<&Origin> {
        self.preset_origin.as_ref()
    }

    /// Returns the documents whose newest text is rejected, ordered by key.
    #[must_use]
    pub fn rejections(&self) -> Vec<RejectedDocument> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| rejection(key, entry))
            .collect()
    }

    /// Returns the batch that brings a process with all changes up to `after` to this state.
    ///
    /// A process that is ahead gets all documents: if it has only a rejected newer text of a
    /// document, the newest text of this process may be the one that it must fall back to.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Batch {
        let after = if after > self.revision { 0 } else { after };
        Batch {
            after,
            revision: self.revision,
            complete: false,
            documents: self
                .entries
                .iter()
                .flat_map(|(key, entry)| entry.changes_since(key, after))
                .collect(),
        }
    }

    /// Applies a batch and returns what it changed.
    ///
    /// # Errors
    /// Returns the reason if the batch is refused as a whole; the store is then unchanged.
    pub fn apply(
        &mut self,
        batch: Batch,
        source: &Source,
        now: Instant,
    ) -> Result<Change, BatchError> {
        batch.check(self.revision)?;
        let mut entries = self.entries.clone();
        let mut changed = ChangedKeys::default();
        if batch.complete && batch.revision >= self.revision {
            let deletions = implied_deletions(&entries, &batch);
            merge(&mut entries, deletions, &mut changed);
        }
        merge(&mut entries, batch.documents, &mut changed);
        check_size(&entries)?;
        let previous = std::mem::replace(&mut self.entries, entries);
        let mut change = self.describe_change(&previous, changed);
        let origin = Origin {
            source: source.clone(),
            learned_at: now,
        };
        if batch.revision > self.revision {
            change.advanced = true;
            self.revision = batch.revision;
            self.revision_origin = Some(origin.clone());
        }
        self.rebuild_view(&mut change, origin);
        Ok(change)
    }

    /// Describes the change of the keys in `changed` since the entries `previous`.
    fn describe_change(&self, previous: &BTreeMap<String, Entry>, changed: ChangedKeys) -> Change {
        let new_rejection = |key: &String| {
            let entry = self.entries.get(key)?;
            let before = previous.get(key).map(|entry| entry.newest.revision);
            let now = Some(entry.newest.revision);
            rejection(key, entry).filter(|_| before != now)
        };
        Change {
            rejected: changed.newest.iter().filter_map(new_rejection).collect(),
            accepted: changed.accepted.into_iter().collect(),
            ..Change::default()
        }
    }

    /// Rebuilds the digest and the view if a document or the revision has changed.
    fn rebuild_view(&mut self, change: &mut Change, origin: Origin) {
        if !change.advanced && change.accepted.is_empty() && change.rejected.is_empty() {
            return;
        }
        self.digest = self
            .entries
            .iter()
            .fold(0, |digest, (key, entry)| digest ^ entry.digest(key));
        let view = build_view(self.revision, &self.entries, self.view.as_deref(), change);
        let previous = self.view.as_deref();
        change.preset_changed = match (&view, previous) {
            (Some(view), Some(previous)) => {
                view.preset != previous.preset || view.policy != previous.policy
            }
            (view, _) => view.is_some(),
        };
        if change.preset_changed {
            self.preset_origin = Some(origin);
        }
        self.view = view.map(Arc::new);
    }
}

/// The keys of the documents that a batch changed.
#[derive(Debug, Default)]
struct ChangedKeys {
    /// The documents with another newest version.
    newest: BTreeSet<String>,
    /// The documents with another accepted version.
    accepted: BTreeSet<String>,
}

/// Returns the deletions that a complete batch implies, each with the revision of the batch.
fn implied_deletions(entries: &BTreeMap<String, Entry>, batch: &Batch) -> Vec<Document> {
    let listed: BTreeSet<&str> = batch
        .documents
        .iter()
        .map(|document| document.key.as_str())
        .collect();
    let existing = entries
        .iter()
        .filter(|(_, entry)| entry.newest.text.is_some());
    existing
        .filter(|(key, _)| !listed.contains(key.as_str()))
        .map(|(key, _)| Document {
            key: key.clone(),
            revision: batch.revision,
            text: None,
        })
        .collect()
}

/// Merges documents into the entries and records the changed keys.
fn merge(
    entries: &mut BTreeMap<String, Entry>,
    documents: Vec<Document>,
    changed: &mut ChangedKeys,
) {
    for mut document in documents {
        document.truncate_text();
        let key = document.key.clone();
        let Some(entry) = entries.get_mut(&key) else {
            let entry = Entry::new(DocumentVersion::new(document));
            if entry.accepted.is_some() {
                changed.accepted.insert(key.clone());
            }
            changed.newest.insert(key.clone());
            entries.insert(key, entry);
            continue;
        };
        if entry.contains(&document) {
            continue;
        }
        let change = entry.merge(DocumentVersion::new(document));
        if change.newest {
            changed.newest.insert(key.clone());
        }
        if change.accepted {
            changed.accepted.insert(key);
        }
    }
}

/// Checks the number of documents and their total size.
fn check_size(entries: &BTreeMap<String, Entry>) -> Result<(), BatchError> {
    if entries.len() > MAX_DOCUMENTS {
        return Err(BatchError::TooMany(entries.len()));
    }
    let bytes = entries.values().map(Entry::text_size).sum();
    if bytes > MAX_TOTAL_BYTES {
        return Err(BatchError::TooLarge(bytes));
    }
    Ok(())
}

/// Returns the rejection of the newest version, or `None` if it was accepted.
fn rejection(key: &str, entry: &Entry) -> Option<RejectedDocument> {
    let error = entry.newest.parse_result.as_ref().err()?;
    Some(RejectedDocument {
        key: key.to_owned(),
        revision: entry.newest.revision,
        fallback: entry.accepted.as_ref().map(|version| version.revision),
        error: error.clone(),
    })
}

/// Builds the view of the accepted documents; shares unchanged parts with the previous view.
fn build_view(
    revision: Revision,
    entries: &BTreeMap<String, Entry>,
    previous: Option<&ConfigView>,
    change: &Change,
) -> Option<ConfigView> {
    let ParsedDocument::Presets(presets) = accepted_document(entries.get(PRESETS_KEY)?)? else {
        return None;
    };
    let policy = presets.active_preset()?;
    let policy = match previous {
        Some(previous) if *previous.policy == *policy => Arc::clone(&previous.policy),
        _ => Arc::new(policy.clone()),
    };
    let indexes = entries
        .iter()
        .filter(|(key, _)| key.starts_with(INDEX_PREFIX))
        .filter_map(|(_, entry)| index_document(entry, previous))
        .collect();
    let servers_changed = change
        .accepted
        .iter()
        .any(|key| key.starts_with(SERVER_PREFIX));
    let servers = match previous {
        Some(previous) if !servers_changed => Arc::clone(&previous.servers),
        _ => Arc::new(server_documents(entries)),
    };
    let routes = entries.get(ROUTES_KEY).and_then(accepted_document);
    let routes = match routes {
        Some(ParsedDocument::Routes(table)) => Some(Arc::clone(table)),
        _ => None,
    };
    Some(ConfigView {
        revision,
        preset: PresetId::clone(&presets.active),
        policy,
        indexes,
        routes,
        servers,
    })
}

/// Returns the accepted documents that describe one backend server each.
fn server_documents(entries: &BTreeMap<String, Entry>) -> BTreeMap<ServerId, Arc<ServerDocument>> {
    let keyed = entries.iter().filter_map(|(key, entry)| {
        Some((key.strip_prefix(SERVER_PREFIX)?, accepted_document(entry)?))
    });
    keyed
        .filter_map(|(id, accepted)| match accepted {
            ParsedDocument::Server(document) => Some((id.into(), Arc::clone(document))),
            ParsedDocument::Presets(_)
            | ParsedDocument::Index(_)
            | ParsedDocument::Routes(_)
            | ParsedDocument::Withdrawn(_) => None,
        })
        .collect()
}

/// Returns the parsed document of the accepted version.
fn accepted_document(entry: &Entry) -> Option<&ParsedDocument> {
    entry.accepted.as_ref()?.parse_result.as_ref().ok()
}

/// Returns the accepted index document of an entry with its service; shares the document of the
/// previous view if it is unchanged.
fn index_document(
    entry: &Entry,
    previous: Option<&ConfigView>,
) -> Option<(ServiceId, Arc<IndexDocument>)> {
    let ParsedDocument::Index(index) = accepted_document(entry)? else {
        return None;
    };
    let service = ServiceId::clone(&index.service);
    let unchanged = previous
        .and_then(|previous| previous.indexes.get(&service))
        .filter(|index_before| ***index_before == *index);
    let index = unchanged.map_or_else(|| Arc::new(index.clone()), Arc::clone);
    Some((service, index))
}
