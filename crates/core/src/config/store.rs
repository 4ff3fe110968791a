//! The documents of one process, and the application of batches to them.
//!
//! Documents of one epoch are ordered by the platform's revision alone. Applying batches is
//! idempotent and their order does not matter, so a batch from a stale replica or a lagging peer
//! never replaces a newer document.
//!
//! All entries are of one epoch. A batch of a later epoch replaces all of them; until the service
//! has caught up, documents of the previous epoch are retained beside the entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use displaydoc::Display;

use super::{
    Batch, BatchError, Change, Document, EVACUATION_PREFIX, INDEX_PREFIX, MAX_DOCUMENTS,
    MAX_TOTAL_BYTES, PRESETS_KEY, ParsedDocument, ROUTES_KEY, RejectedDocument, SERVER_PREFIX,
    entry::{DocumentVersion, Entry},
    retained::Retained,
};
use crate::{
    evacuation::EvacuatedCentres,
    ids::{DataCentre, Position, PresetId, Revision, ServerId, ServiceId, VmId},
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
    position: Position,
    /// The revision of the last complete list; deletions before it may be unknown.
    listed_at: Revision,
    /// The documents of the current epoch.
    entries: BTreeMap<String, Entry>,
    /// The documents of earlier epochs that take precedence over the entries.
    retained: Retained,
    digest: u64,
    /// The documents whose newest text is rejected, ordered by key.
    rejections: Vec<RejectedDocument>,
    /// The number of views built so far.
    generation: u64,
    view: Option<Arc<ConfigView>>,
    revision_origin: Option<Origin>,
    preset_origin: Option<Origin>,
}

impl Store {
    /// Returns the position up to which all changes have been applied.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the revision up to which all changes of the current epoch have been applied; zero
    /// before the first.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.position.revision
    }

    /// Returns the number of documents of earlier epochs that are in use.
    #[must_use]
    pub fn retained_count(&self) -> usize {
        self.retained.len()
    }

    /// Returns a hash of all documents of the current epoch that are not deleted.
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
    pub fn rejections(&self) -> &[RejectedDocument] {
        &self.rejections
    }

    /// Returns the batch that brings a process with all changes up to `after` to this state.
    ///
    /// A process that is ahead gets all documents: if it has only a rejected newer text of a
    /// document, the newest text of this process may be the one that it must fall back to. A
    /// process in another epoch gets all documents too, and so does one that may know documents
    /// whose deletion is unknown here.
    #[must_use]
    pub fn changes_since(&self, after: Position, now: Instant) -> Batch {
        let is_behind = after.epoch == self.position.epoch
            && (self.listed_at..=self.position.revision).contains(&after.revision);
        let after = if is_behind { after.revision } else { 0 };
        Batch {
            epoch: self.position.epoch,
            after,
            revision: self.position.revision,
            complete: after == 0,
            more: false,
            documents: self
                .entries
                .iter()
                .flat_map(|(key, entry)| entry.changes_since(key, after))
                .collect(),
            retained: self.retained.to_documents(now),
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
        batch.check(self.position)?;
        let position = batch.position();
        let is_restored = position.epoch > self.position.epoch;
        let mut entries = if is_restored {
            BTreeMap::new()
        } else {
            self.entries.clone()
        };
        let mut changed = ChangedKeys::default();
        if batch.complete && position >= self.position {
            let deletions = implied_deletions(&entries, &batch);
            merge(&mut entries, deletions, &mut changed);
        }
        let mut documents = batch.documents;
        if position <= self.position {
            // A document that the last complete list lacks had been deleted before.
            let listed_at = self.listed_at;
            documents.retain(|document| {
                document.revision > listed_at || entries.contains_key(&document.key)
            });
        }
        merge(&mut entries, documents, &mut changed);
        check_size(&entries)?;
        if is_restored {
            self.retained
                .begin_epoch(self.position.epoch, &self.entries, now);
        }
        let added = self.retained.merge(batch.retained, position.epoch, now);
        let previous = std::mem::replace(&mut self.entries, entries);
        let mut change = self.describe_change(&previous, changed);
        change.released = self.retained.release(&self.entries, now);
        let is_used = |key: &&String| self.retained.get(key).is_some();
        change.retained = added.iter().filter(is_used).count();
        let had_documents = self.position != Position::default();
        change.restored_from = Some(self.position).filter(|_| is_restored && had_documents);
        let origin = Origin {
            source: source.clone(),
            learned_at: now,
        };
        if position > self.position {
            if batch.complete {
                self.listed_at = position.revision;
            }
            change.advanced = true;
            self.position = position;
            self.revision_origin = Some(origin.clone());
        }
        self.rebuild_view(&mut change, origin);
        Ok(change)
    }

    /// Stops using the documents of earlier epochs whose time has passed, and returns their keys.
    pub fn release_retained(&mut self, now: Instant) -> Vec<String> {
        if self.retained.is_empty() {
            return Vec::new();
        }
        let mut change = Change {
            released: self.retained.release(&self.entries, now),
            ..Change::default()
        };
        let origin = Origin {
            source: Source::Platform,
            learned_at: now,
        };
        self.rebuild_view(&mut change, origin);
        change.released
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
        let is_unchanged = !change.advanced
            && change.accepted.is_empty()
            && change.rejected.is_empty()
            && change.released.is_empty()
            && change.retained == 0;
        if is_unchanged {
            return;
        }
        let rejections = self.entries.iter();
        self.rejections = rejections
            .filter_map(|(key, entry)| rejection(key, entry))
            .collect();
        self.digest = self
            .entries
            .iter()
            // A process that has listed the documents since does not know the deleted ones.
            .filter(|(_, entry)| !entry.is_deleted())
            .fold(0, |digest, (key, entry)| digest ^ entry.digest(key));
        let view = self.build_view(change);
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
        self.generation += 1;
        self.view = view.map(Arc::new);
    }

    /// Builds the view of the documents in use; shares unchanged parts with the previous view.
    fn build_view(&self, change: &Change) -> Option<ConfigView> {
        let previous = self.view.as_deref();
        let ParsedDocument::Presets(presets) = self.used_document(PRESETS_KEY)? else {
            return None;
        };
        let policy = presets.active_preset()?;
        let policy = match previous {
            Some(previous) if *previous.policy == *policy => Arc::clone(&previous.policy),
            _ => Arc::new(policy.clone()),
        };
        let indexes = self
            .used_documents(INDEX_PREFIX)
            .filter_map(|(_, document)| index_document(document, previous))
            .collect();
        let servers_changed = change
            .accepted
            .iter()
            .chain(&change.released)
            .any(|key| key.starts_with(SERVER_PREFIX));
        let servers = match previous {
            Some(previous)
                if !servers_changed && change.restored_from.is_none() && change.retained == 0 =>
            {
                Arc::clone(&previous.servers)
            }
            _ => Arc::new(self.server_documents()),
        };
        let routes = match self.used_document(ROUTES_KEY) {
            Some(ParsedDocument::Routes(table)) => Some(Arc::clone(table)),
            _ => None,
        };
        let evacuated = self.evacuated_centres(previous);
        Some(ConfigView {
            position: self.position,
            generation: self.generation + 1,
            preset: PresetId::clone(&presets.active),
            policy,
            indexes,
            routes,
            servers,
            evacuated,
        })
    }

    /// Returns the evacuated data centres; shares the set of the previous view if it is unchanged.
    fn evacuated_centres(&self, previous: Option<&ConfigView>) -> EvacuatedCentres {
        let centres: BTreeSet<DataCentre> = self
            .used_documents(EVACUATION_PREFIX)
            .filter(|(_, document)| matches!(document, ParsedDocument::Evacuation(_)))
            .filter_map(|(key, _)| key.strip_prefix(EVACUATION_PREFIX))
            .map(DataCentre::from)
            .collect();
        let unchanged = previous.filter(|previous| *previous.evacuated == centres);
        unchanged.map_or_else(|| Arc::new(centres), |view| Arc::clone(&view.evacuated))
    }

    /// Returns the documents in use that describe one backend server each.
    fn server_documents(&self) -> BTreeMap<ServerId, Arc<ServerDocument>> {
        self.used_documents(SERVER_PREFIX)
            .filter_map(|(key, document)| {
                let id = key.strip_prefix(SERVER_PREFIX)?;
                match document {
                    ParsedDocument::Server(document) => Some((id.into(), Arc::clone(document))),
                    ParsedDocument::Presets(_)
                    | ParsedDocument::Index(_)
                    | ParsedDocument::Routes(_)
                    | ParsedDocument::Evacuation(_)
                    | ParsedDocument::Withdrawn(_) => None,
                }
            })
            .collect()
    }

    /// Returns the document in use under a key.
    fn used_document(&self, key: &str) -> Option<&ParsedDocument> {
        let retained = self.retained.get(key);
        let accepted = || self.entries.get(key)?.accepted.as_ref();
        let version = retained.or_else(accepted)?;
        version.parse_result.as_ref().ok()
    }

    /// Returns the documents in use whose keys have a prefix.
    fn used_documents<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a ParsedDocument)> {
        let entries = self.entries.range(prefix.to_owned()..);
        let keys = entries.map(|(key, _)| key.as_str());
        let keys = keys.take_while(move |key| key.starts_with(prefix));
        let only_retained = self
            .retained
            .keys()
            .filter(move |key| key.starts_with(prefix) && !self.entries.contains_key(*key));
        keys.chain(only_retained)
            .filter_map(|key| Some((key, self.used_document(key)?)))
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

/// Returns an index document with its service; shares the document of the previous view if it is
/// unchanged.
fn index_document(
    document: &ParsedDocument,
    previous: Option<&ConfigView>,
) -> Option<(ServiceId, Arc<IndexDocument>)> {
    let ParsedDocument::Index(index) = document else {
        return None;
    };
    let service = ServiceId::clone(&index.service);
    let unchanged = previous
        .and_then(|previous| previous.indexes.get(&service))
        .filter(|index_before| ***index_before == *index);
    let index = unchanged.map_or_else(|| Arc::new(index.clone()), Arc::clone);
    Some((service, index))
}
