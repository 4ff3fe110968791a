//! The ownership table and its timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    Candidate, Candidates, OwnershipEvent, OwnershipSettings, ProcessRun, Role, ServerKey,
    role::StandbyOrigin,
    row::{ServerRow, total_share},
    server_key,
};
use crate::{
    ids::{DataCentre, VmId},
    index::ServerEntry,
};

/// The state of this process as a candidate for ownership.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnState {
    /// Whether this process is leaving and hands over all that it owns.
    pub leaving: bool,
    /// Whether the VM list has arrived or the wait for it has ended; no server is claimed before
    /// that.
    pub ready: bool,
    /// Whether this process has been ready for long enough to be given backend servers.
    pub settled: bool,
}

/// The ownership table: the role of this process for each backend server.
#[derive(Debug)]
pub struct Ownership {
    pub(super) own: ProcessRun,
    pub(super) centre: DataCentre,
    pub(super) state: OwnState,
    pub(super) settings: OwnershipSettings,
    pub(super) rows: BTreeMap<ServerKey, ServerRow>,
    /// The rows in which this process may have a role; every other row is inactive.
    pub(super) active: BTreeSet<ServerKey>,
    pub(super) candidates: Candidates,
    pub(super) sent_sequences: BTreeMap<VmId, u64>,
    pub(super) answered_sequences: BTreeMap<VmId, (ProcessRun, u64)>,
    pub(super) events: Vec<OwnershipEvent>,
    pub(super) resumed_at: Option<Instant>,
    pub(super) urgent_partners: BTreeSet<VmId>,
    /// Whether the targets of all rows must be recomputed.
    pub(super) targets_stale: bool,
    /// The version of the targets, raised on each possible change.
    pub(super) targets_version: u64,
    pub(super) last_tick: Instant,
}

impl Ownership {
    /// Creates the table of a process that owns nothing.
    #[must_use]
    pub fn new(
        own: ProcessRun,
        centre: DataCentre,
        settings: OwnershipSettings,
        now: Instant,
    ) -> Self {
        Self {
            own,
            centre,
            state: OwnState::default(),
            settings,
            rows: BTreeMap::new(),
            active: BTreeSet::new(),
            candidates: BTreeMap::new(),
            sent_sequences: BTreeMap::new(),
            answered_sequences: BTreeMap::new(),
            events: Vec::new(),
            resumed_at: None,
            urgent_partners: BTreeSet::new(),
            targets_stale: false,
            targets_version: 0,
            last_tick: now,
        }
    }

    /// Sets the backend servers of the active configuration.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a ServerEntry>) {
        let mut former = std::mem::take(&mut self.rows);
        for entry in servers {
            let key = server_key(&entry.id);
            let mut row = former.remove(&key).unwrap_or_else(|| ServerRow::new(entry));
            row.total = total_share(entry);
            self.rows.insert(key, row);
        }
        self.active.retain(|key| self.rows.contains_key(key));
        self.targets_stale = true;
        self.update_targets();
    }

    /// Sets the other processes as membership sees them, and the state of this one.
    pub fn set_candidates(&mut self, candidates: Candidates, state: OwnState) {
        let changed = changed(&self.candidates, &candidates);
        self.targets_stale |= self.state != state;
        self.candidates = candidates;
        self.state = state;
        self.update_vms(&changed);
    }

    /// Returns the other processes as last set.
    #[must_use]
    pub const fn candidates(&self) -> &Candidates {
        &self.candidates
    }

    /// Returns the state of this process as last set.
    #[must_use]
    pub const fn state(&self) -> OwnState {
        self.state
    }

    /// Updates one process that sent a message between two ticks.
    pub fn set_candidate(&mut self, vm: VmId, candidate: Candidate) {
        let rank_state = candidate.rank_state();
        let known = self.candidates.insert(VmId::clone(&vm), candidate);
        if known.is_none_or(|known| known.rank_state() != rank_state) {
            self.update_vms(&[vm]);
        }
    }

    /// Returns the role of this process for a backend server; `None` for an unknown server.
    #[must_use]
    pub fn role(&self, server: &str) -> Option<&Role> {
        Some(&self.rows.get(&server_key(server))?.role)
    }

    pub(super) fn is_usable(&self, vm: &VmId) -> bool {
        self.candidates.get(vm).is_some_and(|one| one.usable)
    }

    /// Returns the processes to which a request is sent in every period.
    ///
    /// A standby receives its owner's requests and sends none itself, until the owner has missed
    /// two of them.
    #[must_use]
    pub fn partners(&self, now: Instant) -> BTreeSet<VmId> {
        let missed = now
            + self
                .settings
                .lease
                .saturating_sub(self.settings.request_period * 2);
        let mut partners = BTreeSet::new();
        for (_, row) in self.active_rows() {
            match &row.role {
                Role::Claiming { .. }
                | Role::Standby {
                    origin: StandbyOrigin::Presumed,
                    ..
                } => {
                    let living = self.candidates.iter().filter(|(_, one)| !one.gone);
                    partners.extend(living.map(|(vm, _)| VmId::clone(vm)));
                }
                Role::Standby {
                    origin: StandbyOrigin::Named,
                    promised_until,
                    ..
                } if *promised_until > missed => {}
                Role::Owner {
                    standby: Some(other),
                    ..
                }
                | Role::Standby { owner: other, .. } => {
                    partners.insert(VmId::clone(&other.vm));
                }
                Role::Vacant { .. } | Role::Owner { standby: None, .. } => {}
            }
            if let Some((vm, _)) = &row.owner_hint {
                partners.insert(VmId::clone(vm));
            }
            if let Some(successor) = &row.successor {
                partners.insert(VmId::clone(&successor.vm));
            }
        }
        partners.extend(self.urgent_partners.iter().cloned());
        partners.retain(|vm| self.candidates.contains_key(vm));
        partners
    }

    /// Returns whether the next request to a partner must be sent before the next period.
    #[must_use]
    pub fn is_urgent(&self, vm: &VmId) -> bool {
        self.urgent_partners.contains(vm)
    }

    /// Returns the time between two requests to the same partner.
    #[must_use]
    pub fn request_period(&self) -> Duration {
        self.settings.request_period
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<OwnershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Advances the roles of all active rows. To be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.check_freeze(now);
        self.last_tick = now;
        self.update_targets();
        let mut handovers = self.settings.max_handovers;
        let idle = |row: &ServerRow| row.is_idle(&self.own.vm);
        let busy = self.active_rows().filter(|(_, row)| !idle(row));
        let keys: Vec<_> = busy.map(|(key, _)| *key).collect();
        for key in keys {
            let Some(mut row) = self.rows.remove(&key) else {
                continue;
            };
            let target = row.target.clone();
            self.step(&mut row, &target, &mut handovers, now);
            self.report_half(&mut row, now);
            self.rows.insert(key, row);
        }
        let rows = &self.rows;
        let own = &self.own.vm;
        self.active
            .retain(|key| rows.get(key).is_some_and(|row| !row.is_inactive(own)));
    }

    /// Returns the active rows, a small part of all rows.
    pub(super) fn active_rows(&self) -> impl Iterator<Item = (&ServerKey, &ServerRow)> {
        let row = |key| Some((key, self.rows.get(key)?));
        self.active.iter().filter_map(row)
    }

    /// Activates the rows of the servers that a message names, until the next tick checks them.
    pub(super) fn activate<'a>(&mut self, keys: impl Iterator<Item = &'a ServerKey>) {
        let known = keys.filter(|key| self.rows.contains_key(key));
        self.active.extend(known);
    }

    pub(super) fn next_sequence(&mut self, to: &VmId) -> u64 {
        let sequence = self.sent_sequences.entry(VmId::clone(to)).or_default();
        *sequence += 1;
        *sequence
    }

    /// Returns whether a request of `from` comes from the known run of its process and is later
    /// than all before; if so, records its sequence number.
    pub(super) fn record_if_latest(&mut self, from: &ProcessRun, sequence: u64) -> bool {
        let known = self.candidates.get(&from.vm);
        let incarnation = known.and_then(|one| one.incarnation);
        if incarnation.is_some_and(|known| known != from.incarnation) {
            return false;
        }
        let last = self.answered_sequences.get(&from.vm);
        if last.is_some_and(|(run, last)| run == from && *last >= sequence) {
            return false;
        }
        let entry = (from.clone(), sequence);
        self.answered_sequences.insert(VmId::clone(&from.vm), entry);
        true
    }

    pub(super) fn is_frozen(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.settings.freeze_threshold
    }

    /// Gives up every role if this process was frozen, since others may have taken the roles over.
    pub(super) fn check_freeze(&mut self, now: Instant) {
        if !self.is_frozen(now) {
            return;
        }
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.resumed_at = Some(now);
        for row in self.rows.values_mut() {
            row.role = match std::mem::replace(&mut row.role, Role::INITIAL) {
                Role::Vacant { since } => Role::Vacant { since },
                Role::Claiming { .. } => Role::INITIAL,
                Role::Owner {
                    standby: Some(owner),
                    ..
                } => Role::Standby {
                    owner,
                    promised_until: now + self.settings.lease,
                    origin: StandbyOrigin::Resumed { at: now },
                },
                Role::Owner { standby: None, .. } | Role::Standby { .. } => Role::vacated(now),
            };
            row.owner_hint = None;
            row.successor = None;
        }
        self.events.push(OwnershipEvent::FreezeDetected { gap });
    }
}

/// Returns the VMs whose rank state differs between the two tables.
fn changed(before: &Candidates, after: &Candidates) -> Vec<VmId> {
    let equal = |((a, x), (b, y)): ((&VmId, &Candidate), (&VmId, &Candidate))| {
        a == b && x.rank_state() == y.rank_state()
    };
    // In most cases nothing has changed, which a single pass over both tables shows.
    if before.len() == after.len() && before.iter().zip(after).all(equal) {
        return Vec::new();
    }
    let ranks = |all: &Candidates, vm: &VmId| all.get(vm).map(Candidate::rank_state);
    let all: BTreeSet<&VmId> = before.keys().chain(after.keys()).collect();
    let moved = all
        .into_iter()
        .filter(|vm| ranks(before, vm) != ranks(after, vm));
    moved.map(VmId::clone).collect()
}
