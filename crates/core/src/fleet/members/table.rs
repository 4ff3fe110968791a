//! The membership table and its timers.

use std::{collections::BTreeMap, time::Instant};

use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    Attachment, Contact, ListedVm, Member, MemberSettings, MemberState, MemberUpdate,
    gossip::Gossip,
};
use crate::{
    ids::{Incarnation, VmId},
    view::Reachability,
};

/// The way in which a ping failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PingFailure {
    /// The address refused the connection, so no process listens there.
    Refused,
    /// No reply arrived in time, or the connection broke.
    Timeout,
}

/// An indirect probe: a request to one member to ping another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The member that is to send the ping.
    pub via: VmId,
    /// The member that is to be pinged.
    pub target: VmId,
}

/// The messages that the control thread is to send after a tick.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TickActions {
    /// The members to ping.
    pub pings: Vec<VmId>,
    /// The indirect probes to request.
    pub probes: Vec<Probe>,
}

/// A membership event of this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// The member's reachability changed.
    ReachabilityChanged {
        /// The member.
        vm: VmId,
        /// The new reachability.
        reachability: Reachability,
    },
    /// The member lost its links to all backend servers, or has them back.
    AttachmentChanged {
        /// The member.
        vm: VmId,
        /// Whether the member reaches no backend server.
        detached: bool,
    },
    /// A new run of the member's process has replaced the known one.
    Restarted {
        /// The member.
        vm: VmId,
        /// The new run.
        incarnation: Incarnation,
    },
    /// A message of a former run of the member's process was dropped.
    MessageDropped {
        /// The member.
        vm: VmId,
        /// The former run.
        incarnation: Incarnation,
    },
    /// This process refuted an update that said that it was suspected, dead or leaving.
    Refuted {
        /// The refuted state.
        state: MemberState,
    },
    /// This process did not run for a while and reset the reachability of all members.
    FreezeDetected {
        /// The time without a tick.
        gap: std::time::Duration,
    },
}

/// The membership table of this process: its own state and that of every other process.
#[derive(Debug)]
pub struct Members {
    pub(super) own: Contact,
    pub(super) leaving: bool,
    pub(super) version: u64,
    pub(super) attachment: Attachment,
    pub(super) settings: MemberSettings,
    pub(super) rows: BTreeMap<VmId, Member>,
    pub(super) gossip: Gossip,
    pub(super) events: Vec<MemberEvent>,
    pub(super) pending_probes: Vec<VmId>,
    /// Whether the VM list has been received.
    list_received: bool,
    ping_order: Vec<VmId>,
    rng: ChaCha8Rng,
    last_ping: Option<Instant>,
    last_tick: Instant,
}

impl Members {
    /// Creates the table of a process that knows only itself.
    #[must_use]
    pub fn new(own: Contact, settings: MemberSettings, seed: u64, now: Instant) -> Self {
        let mut gossip = Gossip::default();
        gossip.push(&own.vm);
        Self {
            own,
            leaving: false,
            version: 1,
            attachment: Attachment::default(),
            settings,
            rows: BTreeMap::new(),
            gossip,
            events: Vec::new(),
            pending_probes: Vec::new(),
            list_received: false,
            ping_order: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_ping: None,
            last_tick: now,
        }
    }

    /// Returns the contact of this process.
    #[must_use]
    pub fn own(&self) -> &Contact {
        &self.own
    }

    /// Returns whether this process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the other processes, ordered by VM name.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.rows.iter()
    }

    /// Returns the row of another process.
    #[must_use]
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.rows.get(vm)
    }

    /// Marks this process as leaving, which cannot be undone.
    pub fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.version += 1;
        let vm = VmId::clone(&self.own.vm);
        self.gossip.push(&vm);
    }

    /// Returns whether this process reaches the backend servers.
    #[must_use]
    pub fn attachment(&self) -> Attachment {
        self.attachment
    }

    /// Sets whether this process reaches no backend server.
    pub fn set_detached(&mut self, detached: bool) {
        if self.attachment.detached == detached {
            return;
        }
        let version = self.attachment.version + 1;
        self.attachment = Attachment { version, detached };
        let vm = VmId::clone(&self.own.vm);
        self.gossip.push(&vm);
    }

    /// Applies what a process says of its links to the backend servers. A change emits an event, and
    /// an update to pass on.
    pub(super) fn adopt_attachment(&mut self, vm: &VmId, attachment: Attachment) {
        let Some(member) = self.rows.get_mut(vm) else {
            return;
        };
        if !member.attachment.adopt(attachment) {
            return;
        }
        let vm = VmId::clone(vm);
        self.gossip.push(&vm);
        self.events.push(MemberEvent::AttachmentChanged {
            vm,
            detached: attachment.detached,
        });
    }

    /// Applies a new copy of the platform's VM list.
    pub fn set_vm_list(&mut self, list: &[ListedVm], now: Instant) {
        for member in self.rows.values_mut() {
            member.listed = false;
        }
        let first = !std::mem::replace(&mut self.list_received, true);
        for entry in list.iter().filter(|entry| entry.vm != self.own.vm) {
            let new = || Member {
                reply_expected: first,
                ..Member::from_list(entry, now)
            };
            let member = self.rows.entry(VmId::clone(&entry.vm)).or_insert_with(new);
            member.listed = true;
            member.ever_listed = true;
            member.leaving |= entry.leaving;
            if member.incarnation.is_none() {
                member.peers = entry.peers;
                member.callers = entry.callers;
            }
        }
    }

    /// Returns the updates to send with the next ping or reply.
    pub fn next_updates(&mut self) -> Vec<MemberUpdate> {
        let names = self
            .gossip
            .take(self.settings.max_updates, self.rows.len() + 1);
        names.iter().filter_map(|vm| self.update(vm)).collect()
    }

    fn update(&self, vm: &VmId) -> Option<MemberUpdate> {
        if *vm == self.own.vm {
            let contact = self.own.clone();
            let (state, version) = (self.own_state(), self.version);
            let attachment = self.attachment;
            return Some(MemberUpdate {
                contact,
                state,
                version,
                attachment,
            });
        }
        let member = self.rows.get(vm)?;
        Some(MemberUpdate {
            contact: member.contact(vm)?,
            state: member.state()?,
            version: member.version,
            attachment: member.attachment,
        })
    }

    pub(super) fn own_state(&self) -> MemberState {
        if self.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        }
    }

    /// Advances all timers and returns the messages to send. To be called several times a second.
    pub fn tick(&mut self, now: Instant) -> TickActions {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap > self.settings.freeze_threshold {
            self.reset_reachability(now);
            self.events.push(MemberEvent::FreezeDetected { gap });
        }
        self.expire_probes(now);
        self.expire_suspects(now);
        self.remove_absent(now);
        TickActions {
            pings: self.next_ping(now).into_iter().collect(),
            probes: self.next_probes(),
        }
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Resets the reachability of all members after a freeze, since they must be heard from again.
    fn reset_reachability(&mut self, now: Instant) {
        for member in self.rows.values_mut() {
            member.reply_expected |= member.reachability == Reachability::Alive;
            member.set_reachability(Reachability::Unknown, now);
            member.connection_refused = false;
            member.reached_indirectly = false;
            member.probed_at = None;
        }
        self.pending_probes.clear();
        self.last_ping = None;
    }

    fn expire_probes(&mut self, now: Instant) {
        let limit = self.settings.probe_timeout;
        let is_late = |member: &Member| {
            member
                .probed_at
                .is_some_and(|at| now.saturating_duration_since(at) >= limit)
        };
        let names: Vec<_> = self.matching_vms(is_late);
        for vm in names {
            if let Some(member) = self.rows.get_mut(&vm) {
                member.probed_at = None;
                // The suspicion starts again once other members cannot reach this one either.
                if std::mem::take(&mut member.reached_indirectly) {
                    member.changed_at = now;
                }
            }
            self.set_reachability(&vm, Reachability::Suspect, now);
        }
    }

    fn expire_suspects(&mut self, now: Instant) {
        let limit = self.settings.suspect_timeout;
        let is_expired = |member: &Member| {
            member.reachability == Reachability::Suspect
                && !member.reached_indirectly
                && now.saturating_duration_since(member.changed_at) >= limit
        };
        for vm in self.matching_vms(is_expired) {
            self.set_reachability(&vm, Reachability::Dead, now);
        }
    }

    fn remove_absent(&mut self, now: Instant) {
        let limit = self.settings.forget_after;
        self.rows.retain(|_, member| {
            let idle = now.saturating_duration_since(member.changed_at) >= limit;
            let absent = matches!(
                member.reachability,
                Reachability::Dead | Reachability::Unknown
            );
            member.listed || !absent || !idle
        });
    }

    fn matching_vms(&self, wanted: impl Fn(&Member) -> bool) -> Vec<VmId> {
        let found = self.rows.iter().filter(|(_, member)| wanted(member));
        found.map(|(vm, _)| VmId::clone(vm)).collect()
    }

    /// Returns the next member to ping, in a random order in which every member is pinged once
    /// before any is pinged twice.
    fn next_ping(&mut self, now: Instant) -> Option<VmId> {
        let period = self.settings.ping_period;
        if self
            .last_ping
            .is_some_and(|at| now.saturating_duration_since(at) < period)
        {
            return None;
        }
        self.last_ping = Some(now);
        loop {
            if self.ping_order.is_empty() {
                self.ping_order = self.rows.keys().cloned().collect();
                self.ping_order.shuffle(&mut self.rng);
            }
            let vm = self.ping_order.pop()?;
            if self.rows.contains_key(&vm) {
                return Some(vm);
            }
        }
    }

    fn next_probes(&mut self) -> Vec<Probe> {
        let mut probes = Vec::new();
        for target in std::mem::take(&mut self.pending_probes) {
            let mut vias = self.matching_vms(Member::is_usable);
            vias.retain(|vm| *vm != target);
            for _ in 0..self.settings.probe_count.min(vias.len()) {
                let via = vias.swap_remove(self.rng.random_range(0..vias.len()));
                let target = VmId::clone(&target);
                probes.push(Probe { via, target });
            }
        }
        probes
    }

    /// Sets a member's reachability. A change emits an event and, unless the member was expected to
    /// answer, an update to pass on.
    pub(super) fn set_reachability(&mut self, vm: &VmId, reachability: Reachability, now: Instant) {
        let Some(member) = self.rows.get_mut(vm) else {
            return;
        };
        if !member.set_reachability(reachability, now) {
            return;
        }
        let expected =
            std::mem::take(&mut member.reply_expected) && reachability == Reachability::Alive;
        let vm = VmId::clone(vm);
        if !expected {
            self.gossip.push(&vm);
        }
        self.events
            .push(MemberEvent::ReachabilityChanged { vm, reachability });
    }
}
