//! The table of documents and the system that takes batches in.
//!
//! The platform's revision is the only order. Taking a batch in is idempotent and gives the same
//! state in whatever order batches come, so a batch of a stale replica or of a peer that lags
//! changes nothing that is newer here.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use displaydoc::Display;

use super::{
    Batch, BatchError, Change, Document, INDEX_PREFIX, MAX_DOCUMENTS, MAX_TOTAL_BYTES, PRESETS_KEY,
    ParsedDocument, ROUTES_KEY, RejectedDocument, SERVER_PREFIX,
    slot::{Slot, Version},
};
use crate::{
    ids::{PresetId, Revision, ServerId, ServiceId, VmId},
    index::IndexDocument,
    pool::ServerDocument,
    view::ConfigView,
};

/// Where a revision was learned.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// platform
    Platform,
    /// {0}
    Vm(VmId),
}

/// When and from whom something was learned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// From whom.
    pub source: Source,
    /// When.
    pub learned_at: Instant,
}

/// The documents that one process holds.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: Revision,
    slots: BTreeMap<String, Slot>,
    digest: u64,
    view: Option<Arc<ConfigView>>,
    revision_origin: Option<Origin>,
    preset_origin: Option<Origin>,
}

impl Store {
    /// Returns the revision up to which all changes are held; zero before the first.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a fingerprint of the documents held.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the accepted documents; none before a preset document was accepted.
    #[must_use]
    pub const fn view(&self) -> Option<&Arc<ConfigView>> {
        self.view.as_ref()
    }

    /// Returns when and from whom the revision was learned.
    #[must_use]
    pub const fn revision_origin(&self) -> Option<&Origin> {
        self.revision_origin.as_ref()
    }

    /// Returns when and from whom the preset in force was learned.
    #[must_use]
    pub const fn preset_origin(&self) -> Option<&Origin> {
        self.preset_origin.as_ref()
    }

    /// Returns the documents whose newest text is rejected, in key order.
    #[must_use]
    pub fn rejections(&self) -> Vec<RejectedDocument> {
        self.slots
            .iter()
            .filter_map(|(key, slot)| rejection(key, slot))
            .collect()
    }

    /// Returns what a process that holds everything up to `after` needs to hold what this one does.
    ///
    /// A process that is ahead gets everything: what is newest here may be what it must fall back
    /// to, if it knows only a rejected newer text.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Batch {
        let after = if after > self.revision { 0 } else { after };
        Batch {
            after,
            revision: self.revision,
            complete: false,
            documents: self
                .slots
                .iter()
                .flat_map(|(key, slot)| slot.changes_since(key, after))
                .collect(),
        }
    }

    /// Takes a batch in.
    ///
    /// # Errors
    /// Returns why the batch was refused as a whole; the store is then as before.
    pub fn apply(
        &mut self,
        batch: Batch,
        source: &Source,
        now: Instant,
    ) -> Result<Change, BatchError> {
        batch.check(self.revision)?;
        let mut slots = self.slots.clone();
        let mut touched = Touched::default();
        if batch.complete && batch.revision >= self.revision {
            let gone = missing(&slots, &batch);
            merge(&mut slots, gone, &mut touched);
        }
        merge(&mut slots, batch.documents, &mut touched);
        check_size(&slots)?;
        let former = std::mem::replace(&mut self.slots, slots);
        let mut change = self.describe(&former, touched);
        let origin = Origin {
            source: source.clone(),
            learned_at: now,
        };
        if batch.revision > self.revision {
            change.advanced = true;
            self.revision = batch.revision;
            self.revision_origin = Some(origin.clone());
        }
        self.publish(&mut change, origin);
        Ok(change)
    }

    /// Tells what the documents of `touched` changed since `former`.
    fn describe(&self, former: &BTreeMap<String, Slot>, touched: Touched) -> Change {
        let newly = |key: &String| {
            let slot = self.slots.get(key)?;
            let before = former.get(key).map(|slot| slot.newest.revision);
            let now = Some(slot.newest.revision);
            rejection(key, slot).filter(|_| before != now)
        };
        Change {
            rejected: touched.newest.iter().filter_map(newly).collect(),
            accepted: touched.accepted.into_iter().collect(),
            ..Change::default()
        }
    }

    /// Rebuilds what is derived from the documents.
    fn publish(&mut self, change: &mut Change, origin: Origin) {
        if !change.advanced && change.accepted.is_empty() && change.rejected.is_empty() {
            return;
        }
        self.digest = self
            .slots
            .iter()
            .fold(0, |digest, (key, slot)| digest ^ slot.digest(key));
        let view = build_view(self.revision, &self.slots, self.view.as_deref(), change);
        let former = self.view.as_deref();
        change.preset = match (&view, former) {
            (Some(view), Some(former)) => {
                view.preset != former.preset || view.policy != former.policy
            }
            (view, _) => view.is_some(),
        };
        if change.preset {
            self.preset_origin = Some(origin);
        }
        self.view = view.map(Arc::new);
    }
}

/// The keys that a batch changed.
#[derive(Debug, Default)]
struct Touched {
    newest: BTreeSet<String>,
    accepted: BTreeSet<String>,
}

/// Returns the deletions that a complete batch implies, each at the batch's revision.
fn missing(slots: &BTreeMap<String, Slot>, batch: &Batch) -> Vec<Document> {
    let named: BTreeSet<&str> = batch.documents.iter().map(|one| one.key.as_str()).collect();
    let held = slots.iter().filter(|(_, slot)| slot.newest.text.is_some());
    held.filter(|(key, _)| !named.contains(key.as_str()))
        .map(|(key, _)| Document {
            key: key.clone(),
            revision: batch.revision,
            text: None,
        })
        .collect()
}

fn merge(slots: &mut BTreeMap<String, Slot>, documents: Vec<Document>, touched: &mut Touched) {
    for mut document in documents {
        document.bound();
        let key = document.key.clone();
        let Some(slot) = slots.get_mut(&key) else {
            let slot = Slot::new(Version::new(document));
            if slot.accepted.is_some() {
                touched.accepted.insert(key.clone());
            }
            touched.newest.insert(key.clone());
            slots.insert(key, slot);
            continue;
        };
        if slot.holds(&document) {
            continue;
        }
        let change = slot.merge(Version::new(document));
        if change.newest {
            touched.newest.insert(key.clone());
        }
        if change.accepted {
            touched.accepted.insert(key);
        }
    }
}

fn check_size(slots: &BTreeMap<String, Slot>) -> Result<(), BatchError> {
    if slots.len() > MAX_DOCUMENTS {
        return Err(BatchError::TooMany(slots.len()));
    }
    let bytes = slots.values().map(Slot::bytes).sum();
    if bytes > MAX_TOTAL_BYTES {
        return Err(BatchError::TooLarge(bytes));
    }
    Ok(())
}

fn rejection(key: &str, slot: &Slot) -> Option<RejectedDocument> {
    let error = slot.newest.verdict.as_ref().err()?;
    Some(RejectedDocument {
        key: key.to_owned(),
        revision: slot.newest.revision,
        fallback: slot.accepted.as_ref().map(|version| version.revision),
        error: error.clone(),
    })
}

fn build_view(
    revision: Revision,
    slots: &BTreeMap<String, Slot>,
    former: Option<&ConfigView>,
    change: &Change,
) -> Option<ConfigView> {
    let ParsedDocument::Presets(presets) = accepted(slots.get(PRESETS_KEY)?)? else {
        return None;
    };
    let policy = presets.active_preset()?;
    let policy = match former {
        Some(former) if *former.policy == *policy => Arc::clone(&former.policy),
        _ => Arc::new(policy.clone()),
    };
    let indexes = slots
        .iter()
        .filter(|(key, _)| key.starts_with(INDEX_PREFIX))
        .filter_map(|(_, slot)| index(slot, former))
        .collect();
    let moved = change
        .accepted
        .iter()
        .any(|key| key.starts_with(SERVER_PREFIX));
    let servers = match former {
        Some(former) if !moved => Arc::clone(&former.servers),
        _ => Arc::new(servers(slots)),
    };
    let routes = slots.get(ROUTES_KEY).and_then(accepted);
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

/// Returns the accepted documents of single backend servers.
fn servers(slots: &BTreeMap<String, Slot>) -> BTreeMap<ServerId, Arc<ServerDocument>> {
    let keyed = slots
        .iter()
        .filter_map(|(key, slot)| Some((key.strip_prefix(SERVER_PREFIX)?, accepted(slot)?)));
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

fn accepted(slot: &Slot) -> Option<&ParsedDocument> {
    slot.accepted.as_ref()?.verdict.as_ref().ok()
}

fn index(slot: &Slot, former: Option<&ConfigView>) -> Option<(ServiceId, Arc<IndexDocument>)> {
    let ParsedDocument::Index(index) = accepted(slot)? else {
        return None;
    };
    let service = ServiceId::clone(&index.service);
    let kept = former
        .and_then(|former| former.indexes.get(&service))
        .filter(|kept| ***kept == *index);
    let index = kept.map_or_else(|| Arc::new(index.clone()), Arc::clone);
    Some((service, index))
}
