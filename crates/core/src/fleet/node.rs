//! The fleet state of one process: membership and ownership, both carried by one exchange of
//! heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    members::{
        Contact, ListedVm, Member, MemberEvent, MemberSettings, MemberStatus, MemberUpdate,
        Members, PingFailure, TickActions,
    },
    ownership::{
        Candidate, Candidates, OwnState, Ownership, OwnershipEvent, OwnershipReply,
        OwnershipRequest, OwnershipSettings, ProcessRun,
    },
};
use crate::{
    ids::{DataCentre, VmId},
    index::ServerEntry,
    view::Reachability,
};

/// Settings of [`Node`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Settings of membership.
    pub members: MemberSettings,
    /// Settings of ownership.
    pub ownership: OwnershipSettings,
    /// The time for which a process must have been reachable before it is given backend servers.
    pub settle_time: Duration,
    /// The time for which a starting process waits for the VM list before it claims backend servers
    /// without the list.
    pub list_wait: Duration,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            members: MemberSettings::default(),
            ownership: OwnershipSettings::default(),
            settle_time: Duration::from_secs(2),
            list_wait: Duration::from_secs(3),
        }
    }
}

/// A heartbeat, which carries the sender's state, membership updates and an ownership request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Contact,
    /// The sender's own status.
    pub status: MemberStatus,
    /// Membership updates that the sender passes on.
    pub updates: Vec<MemberUpdate>,
    /// The sender's ownership request.
    #[serde(rename = "ask")]
    pub ownership: OwnershipRequest,
}

/// The reply to a [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The replying process.
    pub from: Contact,
    /// The replying process's own status.
    pub status: MemberStatus,
    /// Membership updates that the replying process passes on.
    pub updates: Vec<MemberUpdate>,
    /// The reply to the ownership request; `None` if the request was ignored, because it was meant
    /// for another run, came from a former run, or was not newer than one that had been answered.
    #[serde(rename = "answer")]
    pub ownership: Option<OwnershipReply>,
}

/// The fleet state of one process: its membership table and its ownership table.
#[derive(Debug)]
pub struct Node {
    members: Members,
    ownership: Ownership,
    settings: NodeSettings,
    load: u32,
    configured: bool,
    members_known: bool,
    started_at: Instant,
    ready_since: Option<Instant>,
    last_heartbeats: BTreeMap<VmId, Instant>,
}

impl Node {
    /// Creates the state of a process that has just started and knows only itself.
    #[must_use]
    pub fn new(own: Contact, settings: NodeSettings, seed: u64, now: Instant) -> Self {
        let run = process_run(&own);
        let centre = DataCentre::clone(&own.centre);
        let ownership = Ownership::new(run, centre, settings.ownership.clone(), now);
        Self {
            members: Members::new(own, settings.members.clone(), seed, now),
            ownership,
            settings,
            load: 0,
            configured: false,
            members_known: false,
            started_at: now,
            ready_since: None,
            last_heartbeats: BTreeMap::new(),
        }
    }

    /// Returns the membership table.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the ownership table.
    #[must_use]
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Sets the number of requests in flight on this process.
    pub fn set_load(&mut self, load: u32) {
        self.load = load;
    }

    /// Sets whether this process reaches no backend server.
    pub fn set_detached(&mut self, detached: bool) {
        self.members.set_detached(detached);
    }

    /// Applies a new copy of the platform's VM list.
    pub fn set_vm_list(&mut self, list: &[ListedVm], now: Instant) {
        self.members.set_vm_list(list, now);
        self.ready_since.get_or_insert(now);
        self.refresh_candidates(now);
    }

    /// Sets the backend servers of the active configuration. From then on this process can serve,
    /// once it knows the state of the other processes.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a ServerEntry>) {
        self.ownership.set_servers(servers);
        self.configured = true;
    }

    /// Returns this process's own status, as its heartbeats report it.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            leaving: self.members.is_leaving(),
            serving: self.configured && self.members_known,
            load: self.load,
            attachment: self.members.attachment(),
        }
    }

    /// Returns the time at which this process became ready to claim backend servers, because the VM
    /// list arrived or the wait for it ended; `None` before that.
    #[must_use]
    pub fn ready_since(&self) -> Option<Instant> {
        self.ready_since
    }

    /// Marks this process as leaving, which cannot be undone.
    pub fn leave(&mut self, now: Instant) {
        self.members.leave();
        self.refresh_candidates(now);
    }

    /// Advances all timers and returns the messages to send. To be called several times a second.
    pub fn tick(&mut self, now: Instant) -> TickActions {
        if now.saturating_duration_since(self.started_at) >= self.settings.list_wait {
            self.ready_since.get_or_insert(now);
        }
        let mut actions = self.members.tick(now);
        self.members_known = self.members_known || self.knows_members(now);
        self.refresh_candidates(now);
        self.ownership.tick(now);
        let mut pings: BTreeSet<_> = actions.pings.drain(..).collect();
        let partners = self.ownership.partners(now);
        pings.extend(
            partners
                .into_iter()
                .filter(|vm| self.is_heartbeat_due(vm, now)),
        );
        self.last_heartbeats
            .retain(|vm, _| self.members.get(vm).is_some());
        actions.pings = pings.into_iter().collect();
        actions
    }

    /// Returns whether this process is ready and every known process has been heard from or has
    /// failed to answer, or the settle time has passed since it became ready.
    fn knows_members(&self, now: Instant) -> bool {
        let mut others = self.members.iter();
        let heard = others.all(|(_, member)| member.reachability != Reachability::Unknown);
        self.ready_since.is_some() && heard || self.is_settled(self.ready_since, now)
    }

    fn is_heartbeat_due(&self, vm: &VmId, now: Instant) -> bool {
        let urgent = self.ownership.is_urgent(vm);
        urgent
            || self.last_heartbeats.get(vm).is_none_or(|at| {
                now.saturating_duration_since(*at) >= self.settings.ownership.request_period
            })
    }

    /// Creates the heartbeat to send to `to`.
    pub fn heartbeat(&mut self, to: &VmId, now: Instant) -> Heartbeat {
        self.last_heartbeats.insert(VmId::clone(to), now);
        let known = self.members.get(to).and_then(|member| member.incarnation);
        let to = ProcessRun {
            vm: VmId::clone(to),
            incarnation: known.unwrap_or_default(),
        };
        Heartbeat {
            from: self.members.own().clone(),
            status: self.status(),
            ownership: self.ownership.request(&to, now),
            updates: self.members.next_updates(),
        }
    }

    /// Applies a heartbeat of another process and returns the reply.
    ///
    /// A heartbeat of a former run of a process is neither applied nor given an ownership reply.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatReply {
        let ownership = if self.members.is_former_run(&heartbeat.from) {
            self.members.record_dropped(&heartbeat.from);
            None
        } else {
            self.record_sender(&heartbeat.from, heartbeat.status, &heartbeat.updates, now);
            self.ownership
                .reply(&process_run(&heartbeat.from), &heartbeat.ownership, now)
        };
        HeartbeatReply {
            from: self.members.own().clone(),
            status: self.status(),
            updates: self.members.next_updates(),
            ownership,
        }
    }

    /// Applies the reply to a heartbeat that was sent to `to` at `sent_at`.
    pub fn receive_reply(
        &mut self,
        to: &VmId,
        heartbeat: &Heartbeat,
        reply: &HeartbeatReply,
        sent_at: Instant,
        now: Instant,
    ) {
        let is_former = self.members.is_former_run(&reply.from);
        if is_former {
            self.members.record_dropped(&reply.from);
        } else {
            self.record_sender(&reply.from, reply.status, &reply.updates, now);
        }
        if reply.from.vm != *to {
            // The address now belongs to another VM.
            self.members.record_failure(to, PingFailure::Refused, now);
            return;
        }
        if let Some(ownership) = reply.ownership.as_ref().filter(|_| !is_former) {
            let from = process_run(&reply.from);
            self.ownership
                .apply_reply(&from, &heartbeat.ownership, ownership, sent_at, now);
        }
    }

    /// Applies the reply of the process that listens at a seed's address.
    pub fn receive_seed_reply(&mut self, reply: &HeartbeatReply, now: Instant) {
        if self.members.is_former_run(&reply.from) {
            self.members.record_dropped(&reply.from);
        } else if reply.from.vm != self.members.own().vm {
            self.record_sender(&reply.from, reply.status, &reply.updates, now);
        }
    }

    /// Records that a heartbeat to `to` got no reply.
    pub fn record_failure(&mut self, to: &VmId, failure: PingFailure, now: Instant) {
        self.members.record_failure(to, failure, now);
        self.refresh_candidate(to, now);
    }

    /// Records the result of an indirect probe of `target`.
    pub fn record_probe(&mut self, target: &VmId, answered: bool, now: Instant) {
        self.members.record_probe(target, answered, now);
    }

    /// Removes and returns the membership and ownership events since the last call.
    pub fn take_events(&mut self) -> (Vec<MemberEvent>, Vec<OwnershipEvent>) {
        (self.members.take_events(), self.ownership.take_events())
    }

    fn record_sender(
        &mut self,
        from: &Contact,
        status: MemberStatus,
        updates: &[MemberUpdate],
        now: Instant,
    ) {
        self.members.record_heartbeat(from, status, now);
        self.members.apply_updates(updates, now);
        self.refresh_candidate(&from.vm, now);
    }

    fn refresh_candidates(&mut self, now: Instant) {
        let state = OwnState {
            leaving: self.members.is_leaving(),
            ready: self.ready_since.is_some(),
            settled: self.is_settled(self.ready_since, now),
        };
        if self.ownership.state() == state && self.has_current_candidates(now) {
            return;
        }
        let members = self.members.iter();
        let candidates: Candidates = members
            .map(|(vm, member)| (VmId::clone(vm), self.candidate(member, now)))
            .collect();
        self.ownership.set_candidates(candidates, state);
    }

    /// Returns whether the candidates of the ownership table match the membership table.
    fn has_current_candidates(&self, now: Instant) -> bool {
        let mut candidates = self.ownership.candidates().iter();
        let same = self.members.iter().all(|(vm, member)| {
            let next = candidates.next();
            next.is_some_and(|(known, one)| known == vm && self.is_current(one, member, now))
        });
        same && candidates.next().is_none()
    }

    fn is_current(&self, candidate: &Candidate, member: &Member, now: Instant) -> bool {
        candidate.usable == member.is_usable()
            && candidate.gone == member.is_gone()
            && candidate.incarnation == member.incarnation
            && candidate.settled == self.is_settled(member.alive_since, now)
            && candidate.centre == member.centre
    }

    fn refresh_candidate(&mut self, vm: &VmId, now: Instant) {
        if let Some(member) = self.members.get(vm) {
            let candidate = self.candidate(member, now);
            self.ownership.set_candidate(VmId::clone(vm), candidate);
        }
    }

    fn candidate(&self, member: &Member, now: Instant) -> Candidate {
        Candidate {
            centre: DataCentre::clone(&member.centre),
            incarnation: member.incarnation,
            usable: member.is_usable(),
            settled: self.is_settled(member.alive_since, now),
            gone: member.is_gone(),
        }
    }

    fn is_settled(&self, since: Option<Instant>, now: Instant) -> bool {
        since.is_some_and(|at| now.saturating_duration_since(at) >= self.settings.settle_time)
    }
}

fn process_run(contact: &Contact) -> ProcessRun {
    ProcessRun {
        vm: VmId::clone(&contact.vm),
        incarnation: contact.incarnation,
    }
}
