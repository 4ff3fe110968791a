//! Candidates for the ownership of backend servers.

use std::collections::BTreeMap;

use super::ProcessRun;
use crate::ids::{DataCentre, Incarnation, VmId};

/// Another process that may own backend servers, as membership sees it now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The data centre of the process.
    pub centre: DataCentre,
    /// The run of the process; `None` before the first contact or update.
    pub incarnation: Option<Incarnation>,
    /// Whether the process answers, can serve and is not leaving.
    pub usable: bool,
    /// Whether the process has answered for long enough to be given backend servers.
    pub settled: bool,
    /// Whether the known run is considered to have ended for good.
    pub gone: bool,
}

impl Candidate {
    /// Returns the parts of the state that decide whether and how the process ranks.
    pub(super) const fn rank_state(&self) -> (bool, bool) {
        (self.usable, self.settled)
    }
}

/// All candidates except this process, by VM.
pub type Candidates = BTreeMap<VmId, Candidate>;

/// Returns whether a run has ended: its process is known to be gone, has been replaced by another
/// run or is no longer known.
pub(super) fn is_gone(candidates: &Candidates, run: &ProcessRun) -> bool {
    candidates.get(&run.vm).is_none_or(|candidate| {
        candidate.gone
            || candidate
                .incarnation
                .is_some_and(|known| known != run.incarnation)
    })
}
