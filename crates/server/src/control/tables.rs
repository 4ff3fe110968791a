//! The tables of the control thread.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Instant,
};

use cassialift_core::{
    ids::{Revision, VmId},
    index::{IndexDocument, ServerEntry},
    presets::PresetDocument,
    view::{ConfigView, FleetView, MemberView, OwnView, OwnerView, Reach},
};
use cassialift_wire::{
    peer::{ConfigNote, ConfigPull, ConfigPush},
    platform::{Changes, Document, INDEX_PREFIX, PRESETS_KEY, VmEntry, VmList, VmState},
};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

/// The tables of the control thread.
#[derive(Debug)]
pub(super) struct Tables {
    own: OwnView,
    vms: Vec<VmEntry>,
    documents: BTreeMap<String, Document>,
    revision: Revision,
    confirmed: Option<Instant>,
    config: Option<Arc<ConfigView>>,
}

impl Tables {
    pub(super) fn new(own: OwnView) -> Self {
        Self {
            own,
            vms: Vec::new(),
            documents: BTreeMap::new(),
            revision: 0,
            confirmed: None,
            config: None,
        }
    }

    pub(super) fn set_vms(&mut self, list: VmList) {
        self.vms = list.vms;
    }

    pub(super) fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Takes in documents; an older revision changes nothing.
    pub(super) fn apply(&mut self, changes: Changes, now: Instant) {
        if changes.revision < self.revision {
            return;
        }
        self.revision = changes.revision;
        self.confirmed = Some(now);
        for document in changes.documents {
            let known = self.documents.get(&document.key);
            if known.is_none_or(|known| known.revision < document.revision) {
                self.documents.insert(document.key.clone(), document);
            }
        }
        self.config = self.accept().map(Arc::new).or_else(|| self.config.take());
    }

    pub(super) fn pull(&self, pull: ConfigPull, now: Instant) -> ConfigPush {
        let newer = |document: &&Document| document.revision > pull.after;
        ConfigPush {
            note: ConfigNote {
                revision: self.revision,
                age: self.confirmed.map(|then| (now - then).into()),
                ..ConfigNote::default()
            },
            after: pull.after,
            documents: self.documents.values().filter(newer).cloned().collect(),
        }
    }

    fn accept(&self) -> Option<ConfigView> {
        let presets: PresetDocument = parse(self.documents.get(PRESETS_KEY)?)?;
        presets.validate().ok()?;
        let policy = Arc::new(presets.in_force()?.clone());
        let mut indexes = BTreeMap::new();
        for (key, document) in &self.documents {
            if !key.starts_with(INDEX_PREFIX) {
                continue;
            }
            let Some(index) = parse::<IndexDocument>(document) else {
                continue;
            };
            if index.validate().is_ok() {
                indexes.insert(Arc::clone(&index.service), Arc::new(index));
            }
        }
        Some(ConfigView {
            revision: self.revision,
            preset: presets.active,
            policy,
            indexes,
        })
    }

    /// Computes the view to publish.
    pub(super) fn view(&self) -> FleetView {
        FleetView {
            own: self.own.clone(),
            config: self.config.clone(),
            members: self.members(),
            owners: self.owners(),
        }
    }

    fn members(&self) -> HashMap<VmId, MemberView> {
        let entries = self.vms.iter();
        entries
            .map(|entry| (VmId::clone(&entry.id), self.member(entry)))
            .collect()
    }

    fn member(&self, entry: &VmEntry) -> MemberView {
        let own = entry.id == self.own.vm;
        MemberView {
            incarnation: own.then_some(self.own.incarnation),
            centre: Arc::clone(&entry.centre),
            peers: entry.peers,
            callers: entry.callers,
            reach: match entry.state {
                VmState::Live => Reach::Alive,
                VmState::Leaving => Reach::Leaving,
            },
            load: 0,
        }
    }

    fn owners(&self) -> HashMap<Arc<str>, OwnerView> {
        let mut owners = HashMap::new();
        let Some(config) = &self.config else {
            return owners;
        };
        for index in config.indexes.values() {
            for server in &index.servers {
                owners.insert(Arc::clone(&server.id), self.owner(server));
            }
        }
        owners
    }

    fn owner(&self, server: &ServerEntry) -> OwnerView {
        let mut ranked: Vec<&VmEntry> = self
            .vms
            .iter()
            .filter(|vm| vm.state == VmState::Live)
            .collect();
        ranked.sort_by_key(|vm| (vm.centre != server.centre, weight(&vm.id, &server.id)));
        let mut ranked = ranked.iter().map(|vm| VmId::clone(&vm.id));
        let owner = ranked.next();
        let is_self = owner.as_ref() == Some(&self.own.vm);
        OwnerView {
            owner,
            standby: ranked.next(),
            slots: if is_self { server.slots } else { 0 },
            connections: if is_self { server.connections } else { 0 },
        }
    }
}

fn weight(vm: &str, server: &str) -> u64 {
    xxh3_64(format!("{vm}/{server}").as_bytes())
}

fn parse<T: DeserializeOwned>(document: &Document) -> Option<T> {
    let text = document.text.as_deref()?;
    let value = parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default()).ok()?;
    serde_json::from_value(value).ok()
}
