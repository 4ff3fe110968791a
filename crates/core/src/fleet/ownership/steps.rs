//! Changes of each role in one tick.

use std::{collections::BTreeMap, time::Instant};

use super::{
    Candidates, Ownership, OwnershipEvent, ProcessRun, Role, candidate, role::StandbyOrigin,
    row::ServerRow, targets::Target,
};
use crate::ids::{ServerId, VmId};

impl Ownership {
    pub(super) fn step(
        &mut self,
        row: &mut ServerRow,
        target: &Target,
        handovers: &mut usize,
        now: Instant,
    ) {
        let wanted = target.owner() == Some(&self.own.vm);
        let window = self.settings.transfer_window;
        row.owner_hint = row
            .owner_hint
            .take()
            .filter(|(_, at)| now.saturating_duration_since(*at) < window);
        match &row.role {
            Role::Vacant { .. } if wanted && self.state.ready && row.owner_hint.is_none() => {
                let confirmations = BTreeMap::new();
                row.role = Role::Claiming {
                    since: now,
                    confirmations,
                };
            }
            Role::Claiming { .. } if !wanted => row.role = Role::INITIAL,
            Role::Claiming { .. } => self.step_claim(row, now),
            Role::Vacant { .. } => {}
            Role::Owner { .. } => self.step_owner(row, target, handovers, now),
            Role::Standby { .. } => self.step_standby(row, now),
        }
    }

    /// Becomes owner once every candidate has confirmed that it does not hold the server or is
    /// gone. If only one candidate is silent when the claim times out, becomes the standby of that
    /// candidate.
    fn step_claim(&mut self, row: &mut ServerRow, now: Instant) {
        let Role::Claiming {
            since,
            confirmations,
        } = &row.role
        else {
            return;
        };
        let window = self.settings.transfer_window;
        let has_confirmed = |vm: &VmId| {
            confirmations
                .get(vm)
                .is_some_and(|at| now.saturating_duration_since(*at) < window)
        };
        let mut silent = self
            .candidates
            .iter()
            .filter(|(vm, one)| !one.gone && !has_confirmed(vm));
        let Some((vm, first)) = silent.next() else {
            row.role = Role::Owner {
                standby: None,
                lease_end: None,
            };
            let server = ServerId::clone(&row.name);
            self.events.push(OwnershipEvent::Claimed { server });
            return;
        };
        let timed_out = now.saturating_duration_since(*since) >= self.settings.claim_timeout;
        if timed_out && silent.next().is_none() {
            // The silent process may own the server, so this process leaves the owner's half to it.
            row.role = Role::Standby {
                owner: ProcessRun {
                    vm: VmId::clone(vm),
                    incarnation: first.incarnation.unwrap_or_default(),
                },
                // A standby that is gone may have promised an owner not to use its half until this
                // time.
                promised_until: now + self.settings.lease,
                origin: StandbyOrigin::Presumed,
            };
        }
    }

    fn step_owner(
        &mut self,
        row: &mut ServerRow,
        target: &Target,
        handovers: &mut usize,
        now: Instant,
    ) {
        let period = self.settings.request_period;
        let is_refused = row
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < period);
        let former = row.successor.take();
        let Role::Owner { standby, lease_end } = &mut row.role else {
            return;
        };
        if standby
            .as_ref()
            .is_some_and(|run| candidate::is_gone(&self.candidates, run))
        {
            *standby = None;
            *lease_end = None;
        }
        let own = Some(&self.own.vm);
        let Some(successor) = target.owner().filter(|vm| Some(*vm) != own) else {
            let wanted = target.standby();
            if let Some(run) = standby {
                row.keep_standby = wanted.is_none_or(|vm| *vm == run.vm);
            } else if !is_refused {
                *standby = wanted.and_then(|vm| known_run(&self.candidates, vm));
                row.keep_standby = true;
                row.standby_acknowledged = false;
                self.urgent_partners
                    .extend(standby.iter().map(|run| VmId::clone(&run.vm)));
            }
            return;
        };
        if standby.as_ref().is_some_and(|one| one.vm != *successor) {
            // The present standby must learn that it is dismissed before another process gets a
            // half.
            row.keep_standby = false;
            return;
        }
        let successor = known_run(&self.candidates, successor);
        if successor.is_some() && successor == former {
            row.successor = successor;
        } else if *handovers > 0 {
            *handovers -= 1;
            row.successor = successor;
        }
    }

    fn step_standby(&mut self, row: &mut ServerRow, now: Instant) {
        let Role::Standby { owner, origin, .. } = &mut row.role else {
            return;
        };
        if let StandbyOrigin::Resumed { at } = *origin {
            let has_expired =
                now.saturating_duration_since(at) >= self.settings.transfer_window * 2;
            if has_expired || candidate::is_gone(&self.candidates, owner) {
                row.role = Role::vacated(now);
            }
            return;
        }
        let known = self.candidates.get(&owner.vm);
        let incarnation = known.and_then(|one| one.incarnation);
        if let (StandbyOrigin::Presumed, 0, Some(incarnation)) =
            (*origin, owner.incarnation, incarnation)
        {
            owner.incarnation = incarnation;
        }
        if candidate::is_gone(&self.candidates, owner) {
            let (server, from) = (ServerId::clone(&row.name), VmId::clone(&owner.vm));
            row.role = Role::Owner {
                standby: None,
                lease_end: None,
            };
            self.events.push(OwnershipEvent::TakenOver { server, from });
        }
    }

    /// Emits one event each time this process starts to use only its half of a server because its
    /// partner is silent.
    pub(super) fn report_half(&mut self, row: &mut ServerRow, now: Instant) {
        let server = ServerId::clone(&row.name);
        let event = match &row.role {
            Role::Owner {
                standby: Some(standby),
                lease_end: Some(lease_end),
            } if *lease_end <= now => {
                let standby = VmId::clone(&standby.vm);
                OwnershipEvent::LeaseExpired { server, standby }
            }
            Role::Standby {
                owner,
                promised_until,
                ..
            } if *promised_until <= now => {
                let owner = VmId::clone(&owner.vm);
                OwnershipEvent::StandbyActivated { server, owner }
            }
            Role::Vacant { .. }
            | Role::Claiming { .. }
            | Role::Owner { .. }
            | Role::Standby { .. } => {
                row.half_reported = false;
                return;
            }
        };
        if !std::mem::replace(&mut row.half_reported, true) {
            self.events.push(event);
        }
    }
}

/// Returns the known run of a VM's process; `None` if no run is known.
fn known_run(candidates: &Candidates, vm: &VmId) -> Option<ProcessRun> {
    Some(ProcessRun {
        vm: VmId::clone(vm),
        incarnation: candidates.get(vm)?.incarnation?,
    })
}
