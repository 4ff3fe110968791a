//! The VMs that should be owner and standby of each backend server.

use super::{Ownership, ServerKey, rank, row::ServerRow};
use crate::ids::VmId;

/// The rank of a VM for a backend server, with the VM's settled flag first, so that VMs that joined
/// recently rank below all others.
type Ranked = (bool, (bool, u64, VmId));

/// The maximum number of changed VMs that are ranked one by one; if more have changed, all VMs are
/// ranked again.
const MAX_SINGLE_UPDATES: usize = 16;

/// The two highest-ranked usable VMs of a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Target {
    first: Option<Ranked>,
    second: Option<Ranked>,
}

impl Target {
    /// Returns the VM that should own the server.
    pub(super) fn owner(&self) -> Option<&VmId> {
        vm_of(self.first.as_ref())
    }

    /// Returns the VM that should be the server's standby.
    pub(super) fn standby(&self) -> Option<&VmId> {
        vm_of(self.second.as_ref())
    }

    fn contains(&self, vm: &VmId) -> bool {
        self.owner() == Some(vm) || self.standby() == Some(vm)
    }

    fn insert(&mut self, ranked: Ranked) {
        let ranked = Some(ranked);
        if ranked > self.first {
            self.second = std::mem::replace(&mut self.first, ranked);
        } else if ranked > self.second {
            self.second = ranked;
        }
    }
}

impl Ownership {
    /// Recomputes the targets that a change of these VMs may have affected.
    pub(super) fn update_vms(&mut self, changed: &[VmId]) {
        if changed.len() > MAX_SINGLE_UPDATES {
            self.targets_stale = true;
        }
        if !self.targets_stale {
            for vm in changed {
                self.update_vm(vm);
            }
        }
        self.update_targets();
    }

    /// Recomputes all targets if the servers or this process's own state have changed.
    pub(super) fn update_targets(&mut self) {
        if !std::mem::take(&mut self.targets_stale) {
            return;
        }
        self.targets_version += 1;
        let mut rows = std::mem::take(&mut self.rows);
        for (key, row) in &mut rows {
            row.target = self.target(*key, row);
            self.activate_if_target(*key, row);
        }
        self.rows = rows;
    }

    /// Activates a row if this process should own the server.
    fn activate_if_target(&mut self, key: ServerKey, row: &ServerRow) {
        if row.target.owner() == Some(&self.own.vm) {
            self.active.insert(key);
        }
    }

    /// Returns the version of the targets, which grows whenever a target may have changed.
    #[must_use]
    pub const fn targets_version(&self) -> u64 {
        self.targets_version
    }

    /// Ranks one VM against the target of each server, or all VMs where that VM was part of the
    /// target.
    fn update_vm(&mut self, vm: &VmId) {
        self.targets_version += 1;
        let mut rows = std::mem::take(&mut self.rows);
        for (key, row) in &mut rows {
            if row.target.contains(vm) {
                row.target = self.target(*key, row);
            } else if let Some(one) = self.candidates.get(vm).filter(|one| one.usable) {
                let ranked = rank(*key, &row.centre, vm, &one.centre);
                row.target.insert((one.settled, ranked));
            }
            self.activate_if_target(*key, row);
        }
        self.rows = rows;
    }

    /// Returns the two highest-ranked usable VMs, including this process's unless it is leaving.
    pub(super) fn target(&self, key: ServerKey, row: &ServerRow) -> Target {
        let mut target = Target::default();
        for (vm, one) in self.candidates.iter().filter(|(_, one)| one.usable) {
            target.insert((one.settled, rank(key, &row.centre, vm, &one.centre)));
        }
        if !self.state.leaving {
            let own = rank(key, &row.centre, &self.own.vm, &self.centre);
            target.insert((self.state.settled, own));
        }
        target
    }

    /// Returns whether `vm` ranks above this process for a backend server.
    pub(super) fn outranks_own(&self, vm: &VmId, key: ServerKey) -> bool {
        let Some(row) = self.rows.get(&key) else {
            return false;
        };
        let Some(candidate) = self.candidates.get(vm) else {
            return false;
        };
        let theirs = rank(key, &row.centre, vm, &candidate.centre);
        let ours = rank(key, &row.centre, &self.own.vm, &self.centre);
        theirs > ours
    }
}

fn vm_of(ranked: Option<&Ranked>) -> Option<&VmId> {
    ranked.map(|(_, (_, _, vm))| vm)
}
