//! Changes of the membership table on pings, replies, failures, probes and updates.

use std::time::Instant;

use super::{
    Contact, Member, MemberEvent, MemberState, MemberStatus, MemberUpdate, Members, PingFailure,
};
use crate::{ids::VmId, view::Reachability};

impl Members {
    /// Returns whether `contact` is a former run of a process, or another process under this
    /// process's VM name.
    #[must_use]
    pub fn is_former_run(&self, contact: &Contact) -> bool {
        if contact.vm == self.own.vm {
            return contact.incarnation != self.own.incarnation;
        }
        let member = self.rows.get(&contact.vm);
        member.is_some_and(|member| member.former_runs.contains(&contact.incarnation))
    }

    /// Records that a message of a former run was dropped.
    pub fn record_dropped(&mut self, contact: &Contact) {
        let (vm, incarnation) = (VmId::clone(&contact.vm), contact.incarnation);
        self.events
            .push(MemberEvent::MessageDropped { vm, incarnation });
    }

    /// Applies a ping or a reply that came directly from `from`.
    pub fn record_heartbeat(&mut self, from: &Contact, status: MemberStatus, now: Instant) {
        if from.vm == self.own.vm {
            return;
        }
        let known = self.rows.contains_key(&from.vm);
        let member = self
            .rows
            .entry(VmId::clone(&from.vm))
            .or_insert_with(|| Member::from_contact(from, now));
        if member.former_runs.contains(&from.incarnation) {
            return;
        }
        let restarted = member
            .incarnation
            .is_some_and(|old| old != from.incarnation);
        if member.incarnation != Some(from.incarnation) {
            member.replace_run(from);
            member.alive_since = Some(now);
        }
        member.last_heard = Some(now);
        member.load = status.load;
        member.serving = status.serving;
        member.leaving |= status.leaving;
        member.connection_refused = false;
        member.reached_indirectly = false;
        member.probed_at = None;
        if restarted {
            let (vm, incarnation) = (VmId::clone(&from.vm), from.incarnation);
            self.gossip.push(&vm);
            self.events.push(MemberEvent::Restarted { vm, incarnation });
        }
        if !known {
            self.gossip.push(&from.vm);
        }
        let reachability = if status.leaving {
            Reachability::Leaving
        } else {
            Reachability::Alive
        };
        self.set_reachability(&from.vm, reachability, now);
        self.adopt_attachment(&from.vm, status.attachment);
    }

    /// Applies the failure of a ping to `vm`.
    pub fn record_failure(&mut self, vm: &VmId, failure: PingFailure, now: Instant) {
        let freeze = self.settings.freeze_threshold;
        let Some(member) = self.rows.get_mut(vm) else {
            return;
        };
        match failure {
            PingFailure::Refused => {
                member.connection_refused = true;
                member.probed_at = None;
                self.set_reachability(vm, Reachability::Dead, now);
            }
            PingFailure::Timeout if member.probed_at.is_some() => {}
            // A ping from the member, or its reply to another ping, arrived while this one was
            // pending.
            PingFailure::Timeout if heard_within(member, freeze / 2, now) => {}
            PingFailure::Timeout => match member.reachability {
                Reachability::Alive | Reachability::Leaving => {
                    member.probed_at = Some(now);
                    self.pending_probes.push(VmId::clone(vm));
                }
                Reachability::Suspect if member.reached_indirectly => {
                    member.probed_at = Some(now);
                    self.pending_probes.push(VmId::clone(vm));
                }
                Reachability::Unknown => self.set_reachability(vm, Reachability::Suspect, now),
                Reachability::Suspect | Reachability::Dead => {}
            },
        }
    }

    /// Applies the result of an indirect probe of `vm`.
    pub fn record_probe(&mut self, vm: &VmId, answered: bool, now: Instant) {
        let Some(member) = self.rows.get_mut(vm) else {
            return;
        };
        if !answered || member.reachability == Reachability::Dead {
            return;
        }
        member.probed_at = None;
        member.reached_indirectly = true;
        // The member is running, but calls from this process do not reach it, so it must not be
        // used.
        self.set_reachability(vm, Reachability::Suspect, now);
    }

    /// Applies membership updates of other processes.
    pub fn apply_updates(&mut self, updates: &[MemberUpdate], now: Instant) {
        for update in updates {
            if update.contact.vm == self.own.vm {
                self.refute(update);
            } else {
                self.apply_update(update, now);
            }
        }
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let is_other_run = update.contact.incarnation != self.own.incarnation;
        let is_true = update.state <= self.own_state();
        if is_other_run || is_true || update.version < self.version {
            return;
        }
        self.version = update.version + 1;
        let vm = VmId::clone(&self.own.vm);
        self.gossip.push(&vm);
        let state = update.state;
        self.events.push(MemberEvent::Refuted { state });
    }

    fn apply_update(&mut self, update: &MemberUpdate, now: Instant) {
        let contact = &update.contact;
        if !self.rows.contains_key(&contact.vm) {
            self.add_member(update, now);
            return;
        }
        let Some(member) = self.rows.get_mut(&contact.vm) else {
            return;
        };
        if member.former_runs.contains(&contact.incarnation) {
            return;
        }
        if member.incarnation != Some(contact.incarnation) {
            // An update alone does not replace a run that answers this process.
            if !matches!(
                member.reachability,
                Reachability::Alive | Reachability::Leaving
            ) && is_running(update.state)
            {
                member.replace_run(contact);
                member.version = update.version;
                member.attachment = update.attachment;
                self.gossip.push(&contact.vm);
                self.set_reachability(&contact.vm, Reachability::Unknown, now);
            }
            return;
        }
        self.adopt_attachment(&contact.vm, update.attachment);
        self.apply_known_run(update, now);
    }

    fn add_member(&mut self, update: &MemberUpdate, now: Instant) {
        if !is_running(update.state) {
            return;
        }
        let mut member = Member::from_contact(&update.contact, now);
        member.version = update.version;
        member.attachment = update.attachment;
        member.leaving = update.state == MemberState::Leaving;
        self.rows.insert(VmId::clone(&update.contact.vm), member);
        self.gossip.push(&update.contact.vm);
    }

    /// Applies an update about the known run of a member.
    fn apply_known_run(&mut self, update: &MemberUpdate, now: Instant) {
        let vm = &update.contact.vm;
        let freeze = self.settings.freeze_threshold;
        let Some(member) = self.rows.get_mut(vm) else {
            return;
        };
        let state = member.state().unwrap_or(MemberState::Alive);
        let newer = update.version > member.version;
        if !newer && (update.version < member.version || update.state <= state) {
            return;
        }
        member.version = update.version;
        member.leaving |= update.state == MemberState::Leaving;
        self.gossip.push(vm);
        match update.state {
            MemberState::Leaving if member.reachability == Reachability::Alive => {
                self.set_reachability(vm, Reachability::Leaving, now);
            }
            // Direct contact outweighs an update; the member will refute the update itself.
            MemberState::Suspect | MemberState::Dead if heard_within(member, freeze, now) => {}
            MemberState::Suspect if member.reachability != Reachability::Dead => {
                self.set_reachability(vm, Reachability::Suspect, now);
            }
            MemberState::Dead => self.set_reachability(vm, Reachability::Dead, now),
            // A member that refuted its death must be heard from directly before it is used again.
            MemberState::Alive if member.reachability == Reachability::Dead => {
                member.connection_refused = false;
                self.set_reachability(vm, Reachability::Unknown, now);
            }
            MemberState::Alive | MemberState::Leaving | MemberState::Suspect => {}
        }
    }
}

fn heard_within(member: &Member, max_age: std::time::Duration, now: Instant) -> bool {
    let Some(heard) = member.last_heard else {
        return false;
    };
    now.saturating_duration_since(heard) < max_age && member.reachability != Reachability::Unknown
}

const fn is_running(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Leaving)
}
