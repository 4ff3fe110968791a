//! The row of one backend server in the ownership table.

use std::time::Instant;

use super::{ProcessRun, Role, Share, targets::Target};
use crate::{
    ids::{DataCentre, ServerId, VmId},
    index::ServerEntry,
};

/// The role of this process for one backend server, and what it knows of the other holders.
#[derive(Clone, Debug)]
pub(super) struct ServerRow {
    pub(super) name: ServerId,
    pub(super) centre: DataCentre,
    pub(super) total: Share,
    pub(super) role: Role,
    /// The VMs that should be owner and standby, by rank over the usable VMs.
    pub(super) target: Target,
    /// Whether this process as owner keeps its standby: it continues to name the standby in
    /// requests.
    pub(super) keep_standby: bool,
    /// Whether the standby has acknowledged being named.
    pub(super) standby_acknowledged: bool,
    /// The process to which this process as owner hands over as soon as that process asks for the
    /// server.
    pub(super) successor: Option<ProcessRun>,
    /// The process that last offered the server, and the time of the offer.
    pub(super) offer: Option<(ProcessRun, Instant)>,
    /// The claimant to which this process last replied that the server is free, and the time until
    /// which this process takes no role from any other process.
    pub(super) pledge: Option<(ProcessRun, Instant)>,
    /// The time at which the chosen standby last refused the role.
    pub(super) refused_at: Option<Instant>,
    /// The process that last denied a claim or dismissed this process as standby, and the time of
    /// the denial or dismissal.
    pub(super) owner_hint: Option<(VmId, Instant)>,
    /// Whether an event has reported that this process uses only its half.
    pub(super) half_reported: bool,
}

impl ServerRow {
    pub(super) fn new(entry: &ServerEntry) -> Self {
        Self {
            name: ServerId::clone(&entry.id),
            centre: DataCentre::clone(&entry.centre),
            total: total_share(entry),
            role: Role::INITIAL,
            target: Target::default(),
            keep_standby: true,
            standby_acknowledged: false,
            successor: None,
            offer: None,
            pledge: None,
            refused_at: None,
            owner_hint: None,
            half_reported: false,
        }
    }

    /// Returns whether this process knows no more than the ranking: it has no role, and no other
    /// process has stated that it holds the server.
    pub(super) const fn follows_ranking(&self) -> bool {
        matches!(self.role, Role::Vacant { .. }) && self.owner_hint.is_none()
    }

    /// Returns whether a tick changes nothing because the process `own` neither has a role for the
    /// server nor should own it.
    pub(super) fn is_idle(&self, own: &VmId) -> bool {
        let vacant = matches!(self.role, Role::Vacant { .. });
        vacant
            && self.target.owner() != Some(own)
            && self.owner_hint.is_none()
            && !self.half_reported
    }

    /// Returns whether the row can be skipped by ticks, and by messages that do not name the
    /// server.
    pub(super) fn is_inactive(&self, own: &VmId) -> bool {
        self.is_idle(own) && self.successor.is_none() && self.offer.is_none()
    }

    /// Returns whether a pledge to a claimant other than `from` is in effect.
    pub(super) fn is_pledged_to_other(&self, from: &ProcessRun, now: Instant) -> bool {
        let pledge = self.pledge.as_ref();
        pledge.is_some_and(|(claimant, until)| claimant != from && now < *until)
    }

    /// Returns whether this process wants to take over the server that `from` offered.
    pub(super) fn is_wanted(&self, from: &ProcessRun, now: Instant) -> bool {
        let offered = self.offer.as_ref().is_some_and(|(owner, _)| owner == from);
        offered && !self.is_pledged_to_other(from, now)
    }
}

/// Returns all slots and connections of a backend server.
pub(super) fn total_share(entry: &ServerEntry) -> Share {
    Share {
        slots: entry.slots,
        connections: entry.connections,
    }
}
