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
    /// Returns the two best ranked usable VMs, this one included unless it is leaving.
    ///
    /// VMs that joined lately come after all others.
    pub(super) fn target(&self, key: ServerKey, row: &Row) -> Target {
        let mut ranks = Vec::with_capacity(self.candidates.len() + 1);
        for (vm, candidate) in &self.candidates {
            if candidate.usable {
                let rank = rank(key, &row.centre, vm, &candidate.centre);
                ranks.push((candidate.settled, rank));
            }
        }
        if !self.state.leaving {
            let rank = rank(key, &row.centre, &self.own.vm, &self.centre);
            ranks.push((self.state.settled, rank));
        }
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        let mut names = ranks.into_iter().map(|(_, (_, _, vm))| vm);
        Target {
            owner: names.next(),
            standby: names.next(),
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
