//! Who should own each backend server and who should be its standby.

use super::{Ownership, ServerKey, rank, row::Row};
use crate::ids::VmId;

/// Who should hold a backend server, by rank over the usable VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Target {
    pub(super) owner: Option<VmId>,
    pub(super) standby: Option<VmId>,
}

impl Ownership {
    /// Computes all targets anew if the VMs or the servers have changed.
    pub(super) fn update_targets(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let mut rows = std::mem::take(&mut self.rows);
        for (key, row) in &mut rows {
            row.target = self.target(*key, row);
        }
        self.rows = rows;
    }

    /// Returns the two best ranked usable VMs, this one included unless it is leaving.
    ///
    /// VMs that joined lately come after all others.
    fn target(&self, key: ServerKey, row: &Row) -> Target {
        let own = (!self.state.leaving).then_some((&self.own.vm, &self.centre, self.state.settled));
        let usable = self.candidates.iter().filter(|(_, one)| one.usable);
        let (mut first, mut second) = (None, None);
        for (vm, centre, settled) in usable
            .map(|(vm, one)| (vm, &one.centre, one.settled))
            .chain(own)
        {
            let ranked = Some((settled, rank(key, &row.centre, vm, centre)));
            if ranked > first {
                second = std::mem::replace(&mut first, ranked);
            } else if ranked > second {
                second = ranked;
            }
        }
        let name = |ranked: Option<(bool, (bool, u64, VmId))>| ranked.map(|(_, (_, _, vm))| vm);
        Target {
            owner: name(first),
            standby: name(second),
        }
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
