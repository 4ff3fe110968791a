//! The processes that may own backend servers.

use std::collections::BTreeMap;

use super::ProcessRun;
use crate::ids::{DataCentre, Incarnation, VmId};

/// A process that may own backend servers, as membership sees it now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its data centre.
    pub centre: DataCentre,
    /// The run of the process; none before it was first heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether it answers and is not leaving.
    pub usable: bool,
    /// Whether it has answered for long enough to be handed work.
    pub settled: bool,
    /// Whether the incarnation is taken to be over for good.
    pub gone: bool,
}

impl Candidate {
    /// Returns what decides whether and how the process ranks.
    pub(super) const fn rank_state(&self) -> (bool, bool) {
        (self.usable, self.settled)
    }
}

/// All processes that may own backend servers, without this one.
pub type Candidates = BTreeMap<VmId, Candidate>;

/// Returns whether a holder's run is over: known to be gone, replaced by another or forgotten.
pub(super) fn is_gone(candidates: &Candidates, holder: &ProcessRun) -> bool {
    candidates.get(&holder.vm).is_none_or(|candidate| {
        candidate.gone
            || candidate
                .incarnation
                .is_some_and(|now| now != holder.incarnation)
    })
}
