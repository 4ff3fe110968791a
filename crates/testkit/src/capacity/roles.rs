//! The owner and the standby of each backend server, by rank.

use std::collections::BTreeMap;

use cassialift_core::{
    fleet::{
        members::Contact,
        ownership::{ServerKey, rank, server_key},
    },
    ids::VmId,
    index::ServerEntry,
};

/// Which VM is measured, by the number of backend servers that it owns or is the standby for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasuredVm {
    /// The VM with the median number.
    Median,
    /// The VM with the largest number.
    Largest,
}

/// A backend server with its owner and its standby.
pub(super) struct RoleAssignment {
    pub(super) key: ServerKey,
    pub(super) owner: VmId,
    pub(super) standby: VmId,
}

/// Returns the two VMs with the highest rank for each backend server.
pub(super) fn assign_roles(contacts: &[Contact], servers: &[ServerEntry]) -> Vec<RoleAssignment> {
    let assign = |server: &ServerEntry| {
        let key = server_key(&server.id);
        let mut ranked: Vec<_> = contacts
            .iter()
            .map(|contact| rank(key, &server.centre, &contact.vm, &contact.centre))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let [(.., owner), (.., standby), ..] = ranked.as_slice() else {
            return None;
        };
        let (owner, standby) = (VmId::clone(owner), VmId::clone(standby));
        Some(RoleAssignment {
            key,
            owner,
            standby,
        })
    };
    servers.iter().filter_map(assign).collect()
}

/// Returns the index of the VM to measure.
pub(super) fn pick_measured(
    contacts: &[Contact],
    assignments: &[RoleAssignment],
    measured: MeasuredVm,
) -> usize {
    let mut counts: BTreeMap<&VmId, usize> = BTreeMap::new();
    for vm in assignments
        .iter()
        .flat_map(|assignment| [&assignment.owner, &assignment.standby])
    {
        *counts.entry(vm).or_default() += 1;
    }
    let role_count = |index: &usize| counts.get(&contacts[*index].vm).copied();
    let mut order: Vec<usize> = (0..contacts.len()).collect();
    order.sort_by_key(role_count);
    match measured {
        MeasuredVm::Median => order[order.len() / 2],
        MeasuredVm::Largest => order[order.len() - 1],
    }
}

/// Returns the backend servers for which `vm` is the standby, by their owner.
pub(super) fn standby_servers(
    vm: &VmId,
    assignments: &[RoleAssignment],
) -> BTreeMap<VmId, Vec<ServerKey>> {
    let mut standby_servers: BTreeMap<VmId, Vec<ServerKey>> = BTreeMap::new();
    for assignment in assignments
        .iter()
        .filter(|assignment| assignment.standby == *vm)
    {
        let owner = VmId::clone(&assignment.owner);
        standby_servers
            .entry(owner)
            .or_default()
            .push(assignment.key);
    }
    standby_servers
}
