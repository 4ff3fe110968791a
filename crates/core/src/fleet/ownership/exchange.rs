//! Ownership requests and replies between processes, carried by heartbeats and their replies.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{
    Ownership, OwnershipEvent, ProcessRun, Role, ServerKey, candidate, role::StandbyOrigin,
};
use crate::ids::{Incarnation, ServerId, VmId};

/// The ownership request of a heartbeat, sent by the requester to one receiver.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRequest {
    /// The run of the receiver, or zero if unknown. Any other run ignores the request.
    pub to: Incarnation,
    /// The number of this request among those of the requester's run to the receiver. A request is
    /// ignored unless its number is greater than that of the last one answered.
    pub sequence: u64,
    /// The servers that the requester owns with the receiver as standby.
    pub holds: Vec<ServerKey>,
    /// The servers that the requester claims.
    pub claims: Vec<ServerKey>,
    /// The servers that the requester offers to hand over to the receiver, which should send its
    /// own request at once.
    pub offers: Vec<ServerKey>,
    /// The servers that the receiver offered and the requester wants.
    pub wants: Vec<ServerKey>,
}

/// The reply to an [`OwnershipRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipReply {
    /// The servers for which the replying process is the requester's standby. The reply renews the
    /// promise for those that the request names in `holds`, and offers the others to the requester.
    pub stands: Vec<ServerKey>,
    /// The claimed servers that are not free, as far as the replying process knows.
    pub denies: Vec<ServerKey>,
}

impl Ownership {
    /// Creates the request to send with a heartbeat to `to`.
    pub fn request(&mut self, to: &ProcessRun, now: Instant) -> OwnershipRequest {
        self.check_freeze(now);
        let mut request = OwnershipRequest {
            to: to.incarnation,
            sequence: self.next_sequence(&to.vm),
            ..OwnershipRequest::default()
        };
        for (key, row) in self.active_rows() {
            match &row.role {
                Role::Owner {
                    standby: Some(standby),
                    ..
                } if standby == to && (row.keep_standby || !row.standby_acknowledged) => {
                    request.holds.push(*key);
                }
                Role::Standby {
                    owner,
                    origin: StandbyOrigin::HandingOver | StandbyOrigin::Resumed { .. },
                    ..
                } if owner == to => request.offers.push(*key),
                Role::Claiming { .. }
                | Role::Standby {
                    origin: StandbyOrigin::Presumed,
                    ..
                } => request.claims.push(*key),
                Role::Vacant { .. } | Role::Owner { .. } | Role::Standby { .. } => {}
            }
            if row.successor.as_ref() == Some(to) {
                request.offers.push(*key);
            }
            if row.is_wanted(to, now) {
                request.wants.push(*key);
            }
        }
        self.urgent_partners.remove(&to.vm);
        request
    }

    /// Applies a request of `from` and returns the reply; `None` if the request is meant for
    /// another run of this process, if `from` is not the known run of its process, or if this
    /// request or a later one has been answered before.
    pub fn reply(
        &mut self,
        from: &ProcessRun,
        request: &OwnershipRequest,
        now: Instant,
    ) -> Option<OwnershipReply> {
        self.check_freeze(now);
        let is_addressed = request.to == 0 || request.to == self.own.incarnation;
        if !is_addressed || !self.record_if_latest(from, request.sequence) {
            return None;
        }
        let named = [
            &request.holds,
            &request.claims,
            &request.offers,
            &request.wants,
        ];
        self.activate(named.into_iter().flatten());
        self.record_offers(from, request, now);
        self.release_unnamed(from, request, now);
        self.hand_over(from, request, now);
        let mut reply = OwnershipReply::default();
        for key in &request.holds {
            self.become_standby(from, *key, now);
        }
        for (key, row) in self.active_rows() {
            if matches!(&row.role, Role::Standby { owner, .. } if owner == from) {
                reply.stands.push(*key);
            }
        }
        for key in &request.claims {
            if self.denies_claim(from, *key, now) {
                reply.denies.push(*key);
            } else {
                self.pledge_to(from, *key, now);
            }
        }
        Some(reply)
    }

    /// Stops being the standby of `from` for servers that the request no longer names.
    fn release_unnamed(&mut self, from: &ProcessRun, request: &OwnershipRequest, now: Instant) {
        for key in &self.active {
            let Some(row) = self.rows.get_mut(key) else {
                continue;
            };
            let Role::Standby { owner, origin, .. } = &row.role else {
                continue;
            };
            let is_revocable = matches!(origin, StandbyOrigin::Named | StandbyOrigin::Presumed);
            if owner == from && is_revocable && !request.holds.contains(key) {
                row.role = Role::vacated(now);
                // The owner may have given up the server after a freeze. Its replies then offer the
                // server, so this process contacts it again.
                row.owner_hint = Some((VmId::clone(&from.vm), now));
            }
        }
    }

    /// Records the offers of `from`. The next request to `from` is then sent at once.
    fn record_offers(&mut self, from: &ProcessRun, request: &OwnershipRequest, now: Instant) {
        for key in &request.offers {
            if let Some(row) = self.rows.get_mut(key) {
                row.offer = Some((from.clone(), now));
                self.urgent_partners.insert(VmId::clone(&from.vm));
            }
        }
    }

    /// Becomes the standby of `from` for the servers that it wants, as the reply then states.
    fn hand_over(&mut self, from: &ProcessRun, request: &OwnershipRequest, now: Instant) {
        let promised_until = now + self.settings.lease;
        for key in &request.wants {
            let Some(row) = self.rows.get_mut(key) else {
                continue;
            };
            if row.successor.as_ref() != Some(from) {
                continue;
            }
            row.successor = None;
            let Role::Owner { standby, .. } = &row.role else {
                continue;
            };
            if standby.as_ref().is_some_and(|one| one != from) {
                continue;
            }
            row.role = Role::Standby {
                owner: from.clone(),
                promised_until,
                origin: StandbyOrigin::HandingOver,
            };
            let (server, to) = (ServerId::clone(&row.name), VmId::clone(&from.vm));
            self.events.push(OwnershipEvent::HandedOver { server, to });
        }
    }

    /// Becomes or stays the standby of `from`, unless this process or another one holds the server.
    fn become_standby(&mut self, from: &ProcessRun, key: ServerKey, now: Instant) {
        let promised_until = now + self.settings.lease;
        let Some(row) = self.rows.get_mut(&key) else {
            return;
        };
        let is_free = match &row.role {
            Role::Vacant { .. } | Role::Claiming { .. } => !row.is_pledged_to_other(from, now),
            Role::Owner { .. } => false,
            Role::Standby { owner, .. } => {
                owner == from || candidate::is_gone(&self.candidates, owner)
            }
        };
        if is_free {
            row.role = Role::Standby {
                owner: from.clone(),
                promised_until,
                origin: StandbyOrigin::Named,
            };
        }
    }

    /// Returns whether a server that `from` claims is held or has a better claimant, as far as this
    /// process knows. A claim of this process is withdrawn if `from` ranks higher.
    fn denies_claim(&mut self, from: &ProcessRun, key: ServerKey, now: Instant) -> bool {
        let ranks_higher = self.outranks_own(&from.vm, key);
        let Some(row) = self.rows.get_mut(&key) else {
            return false;
        };
        let window = self.settings.transfer_window;
        let offered = |(_, at): &(ProcessRun, Instant)| now.saturating_duration_since(*at) < window;
        match &row.role {
            // The server was offered to this process, which may own it as soon as the reply to its
            // next request arrives.
            Role::Vacant { .. } | Role::Claiming { .. }
                if row.offer.as_ref().is_some_and(offered) =>
            {
                true
            }
            Role::Vacant { .. } => row.role.vacated_within(window, now),
            Role::Claiming { .. } if ranks_higher => {
                row.role = Role::INITIAL;
                false
            }
            Role::Claiming { .. } | Role::Owner { .. } => true,
            Role::Standby { owner, .. } => owner != from,
        }
    }

    /// Pledges to take no role for the server from other processes until the claim of `from` has
    /// ended.
    fn pledge_to(&mut self, from: &ProcessRun, key: ServerKey, now: Instant) {
        let until = now + self.settings.transfer_window;
        if let Some(row) = self.rows.get_mut(&key) {
            row.pledge = Some((from.clone(), until));
        }
    }

    /// Applies the reply of `from` to a request that was created at `sent_at`.
    pub fn apply_reply(
        &mut self,
        from: &ProcessRun,
        request: &OwnershipRequest,
        reply: &OwnershipReply,
        sent_at: Instant,
        now: Instant,
    ) {
        self.check_freeze(now);
        if self.resumed_at.is_some_and(|resumed| sent_at < resumed) {
            return;
        }
        let named = [&request.holds, &request.claims, &reply.stands];
        self.activate(named.into_iter().flatten());
        let latest = self.sent_sequences.get(&from.vm) == Some(&request.sequence);
        for key in &request.holds {
            let promised = reply.stands.contains(key);
            self.apply_promise(from, *key, promised, latest, sent_at, now);
        }
        if latest {
            self.apply_release(from, request, reply);
        }
        // A claimed server that the reply offers is neither free nor denied.
        for key in request
            .claims
            .iter()
            .filter(|key| !reply.stands.contains(key))
        {
            let denied = reply.denies.contains(key);
            self.apply_claim_reply(from, *key, denied, sent_at, now);
        }
        for key in &reply.stands {
            if !request.holds.contains(key) {
                self.apply_offer(from, *key, latest, sent_at, now);
            }
        }
    }

    fn apply_promise(
        &mut self,
        from: &ProcessRun,
        key: ServerKey,
        promised: bool,
        latest: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let until = sent_at + self.settings.lease;
        let Some(row) = self.rows.get_mut(&key) else {
            return;
        };
        let Role::Owner { standby, lease_end } = &mut row.role else {
            return;
        };
        if standby.as_ref() != Some(from) {
            return;
        }
        if promised {
            row.standby_acknowledged = true;
            *lease_end = (*lease_end).max(Some(until));
        } else if latest {
            *standby = None;
            *lease_end = None;
            row.refused_at = Some(now);
        }
    }

    /// Removes a dismissed standby once it has answered a request that no longer names it.
    fn apply_release(
        &mut self,
        from: &ProcessRun,
        request: &OwnershipRequest,
        reply: &OwnershipReply,
    ) {
        for key in &self.active {
            let Some(row) = self.rows.get_mut(key) else {
                continue;
            };
            let Role::Owner { standby, lease_end } = &mut row.role else {
                continue;
            };
            let named = request.holds.contains(key) || reply.stands.contains(key);
            if !named && !row.keep_standby && standby.as_ref() == Some(from) {
                *standby = None;
                *lease_end = None;
            }
        }
    }

    fn apply_claim_reply(
        &mut self,
        from: &ProcessRun,
        key: ServerKey,
        denied: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(row) = self.rows.get_mut(&key) else {
            return;
        };
        match &mut row.role {
            Role::Claiming { .. } if denied => row.role = Role::INITIAL,
            Role::Claiming { confirmations, .. } => {
                confirmations.insert(VmId::clone(&from.vm), sent_at);
            }
            Role::Standby {
                origin: StandbyOrigin::Presumed,
                ..
            } if denied => row.role = Role::vacated(now),
            Role::Vacant { .. } | Role::Owner { .. } | Role::Standby { .. } => return,
        }
        if denied {
            row.owner_hint = Some((VmId::clone(&from.vm), now));
        }
    }

    /// Becomes owner of a server that `from` offers by stating that it is only the standby.
    fn apply_offer(
        &mut self,
        from: &ProcessRun,
        key: ServerKey,
        latest: bool,
        sent_at: Instant,
        now: Instant,
    ) {
        // The offering process keeps other processes out for at least this long after its reply.
        let window = self.settings.transfer_window;
        if now.saturating_duration_since(sent_at) >= window {
            return;
        }
        let Some(row) = self.rows.get_mut(&key) else {
            return;
        };
        let is_free = match &row.role {
            Role::Vacant { .. } | Role::Claiming { .. } => !row.is_pledged_to_other(from, now),
            Role::Owner { .. } => false,
            Role::Standby { owner, .. } => owner == from,
        };
        // A reply to an earlier request may refer to a role that this process has given up since.
        let outdated = !latest && row.role.vacated_within(window, now);
        if !is_free || outdated {
            return;
        }
        // The offering process may use its half already, so the lease starts as lapsed.
        row.role = Role::Owner {
            standby: Some(from.clone()),
            lease_end: Some(sent_at),
        };
        row.keep_standby = true;
        row.standby_acknowledged = false;
        self.urgent_partners.insert(VmId::clone(&from.vm));
        let (server, from) = (ServerId::clone(&row.name), VmId::clone(&from.vm));
        self.events
            .push(OwnershipEvent::HandoverAccepted { server, from });
    }
}
