//! The status of the fleet as seen by this VM.

use std::sync::Arc;

use cassialift_core::{
    index::ServerState,
    view::{FleetView, Reachability},
};
use cassialift_wire::operator::{ServerStatus, Status, VmStatus};

use crate::{process::Node, timer::Timer};

/// Returns the status page.
#[must_use]
pub fn status(node: &Node) -> Status {
    let view = node.control.snapshot();
    let config = node.control.config();
    Status {
        vm: Arc::clone(&view.own.vm),
        centre: Arc::clone(&view.own.centre),
        incarnation: view.own.incarnation,
        leaving: view.own.leaving,
        config: config.status(view.config.is_some(), Timer.now()),
        vms: vms(&view),
        servers: servers(&view),
        events: node.journal.events(),
    }
}

fn vms(view: &FleetView) -> Vec<VmStatus> {
    let mut vms: Vec<VmStatus> = view
        .members
        .iter()
        .map(|(vm, member)| VmStatus {
            vm: Arc::clone(vm),
            centre: Arc::clone(&member.centre),
            state: reachability_name(member.reachability).to_owned(),
            incarnation: member.incarnation,
        })
        .collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    vms
}

const fn reachability_name(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Unknown => "unknown",
        Reachability::Alive => "alive",
        Reachability::Suspect => "suspect",
        Reachability::Dead => "dead",
        Reachability::Leaving => "leaving",
    }
}

fn servers(view: &FleetView) -> Vec<ServerStatus> {
    let indexes = view
        .config
        .iter()
        .flat_map(|config| config.indexes.values());
    let entries = indexes.flat_map(|index| &index.servers);
    let mut servers: Vec<ServerStatus> = entries
        .map(|entry| {
            let owner = view.owners.get(&entry.id).cloned().unwrap_or_default();
            ServerStatus {
                server: entry.id.to_string(),
                owner: owner.owner,
                standby: owner.standby,
                slots: owner.slots,
                state: match entry.state {
                    ServerState::Serving => "serving".to_owned(),
                    ServerState::Leaving => "leaving".to_owned(),
                },
            }
        })
        .collect();
    servers.sort_by(|a, b| a.server.cmp(&b.server));
    servers
}
