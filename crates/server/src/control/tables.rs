//! The tables of the control thread.

use std::{collections::HashMap, sync::Arc};

use cassialift_core::{
    ids::VmId,
    index::ServerEntry,
    view::{ConfigView, FleetView, MemberView, OwnView, OwnerView, Reach},
};
use cassialift_wire::platform::{VmEntry, VmList, VmState};
use xxhash_rust::xxh3::xxh3_64;

/// The tables of the control thread.
#[derive(Debug)]
pub(super) struct Tables {
    own: OwnView,
    vms: Vec<VmEntry>,
    config: Option<Arc<ConfigView>>,
}

impl Tables {
    pub(super) fn new(own: OwnView) -> Self {
        Self {
            own,
            vms: Vec::new(),
            config: None,
        }
    }

    pub(super) fn set_vms(&mut self, list: VmList) {
        self.vms = list.vms;
    }

    pub(super) fn set_config(&mut self, config: Option<&Arc<ConfigView>>) {
        self.config = config.cloned();
    }

    pub(super) fn leave(&mut self) {
        self.own.leaving = true;
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
