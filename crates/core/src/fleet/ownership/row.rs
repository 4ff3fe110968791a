//! The row of one backend server.

use std::time::Instant;

use super::{ProcessRun, Role, Share, targets::Target};
use crate::{
    ids::{DataCentre, ServerId, VmId},
    index::ServerEntry,
};

/// One backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerRow {
    pub(super) name: ServerId,
    pub(super) centre: DataCentre,
    pub(super) total: Share,
    pub(super) role: Role,
    /// Who should hold it, by rank over the usable VMs.
    pub(super) target: Target,
    /// Whether the owner goes on naming its standby.
    pub(super) keep_standby: bool,
    /// Whether the standby has acknowledged being named.
    pub(super) standby_acknowledged: bool,
    /// To whom the owner hands over as soon as that process asks.
    pub(super) successor: Option<ProcessRun>,
    /// Who last offered the server, and when.
    pub(super) offer: Option<(ProcessRun, Instant)>,
    /// The claimant that was last told that the server is free, and until when this process takes
    /// no role from anybody else.
    pub(super) pledge: Option<(ProcessRun, Instant)>,
    /// When the chosen standby last refused to be one.
    pub(super) standby_refused: Option<Instant>,
    /// Who last denied a claim, and when.
    pub(super) owner_hint: Option<(VmId, Instant)>,
    /// Whether the last published share was the half of a broken pair.
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
            standby_refused: None,
            owner_hint: None,
            half_reported: false,
        }
    }

    /// Returns whether rank tells all that is known: the process holds nothing and no other
    /// process said that it does.
    pub(super) const fn follows_ranking(&self) -> bool {
        matches!(self.role, Role::Vacant { .. }) && self.owner_hint.is_none()
    }

    /// Returns whether a tick changes nothing: the process `own` neither plays a part for the
    /// server nor should.
    pub(super) fn is_idle(&self, own: &VmId) -> bool {
        let vacant = matches!(self.role, Role::Vacant { .. });
        vacant
            && self.target.owner() != Some(own)
            && self.owner_hint.is_none()
            && !self.half_reported
    }

    /// Returns whether neither a tick nor a message concerns the row unless it names it.
    pub(super) fn is_inactive(&self, own: &VmId) -> bool {
        self.is_idle(own) && self.successor.is_none() && self.offer.is_none()
    }

    /// Returns whether another claimant than `from` was told lately that the server is free.
    pub(super) fn is_pledged_to_other(&self, from: &ProcessRun, now: Instant) -> bool {
        let pledge = self.pledge.as_ref();
        pledge.is_some_and(|(claimant, until)| claimant != from && now < *until)
    }

    /// Returns whether this process wants to take the server over from its owner `from`.
    pub(super) fn is_wanted(&self, from: &ProcessRun, now: Instant) -> bool {
        let offered = self.offer.as_ref().is_some_and(|(owner, _)| owner == from);
        offered && !self.is_pledged_to_other(from, now)
    }
}

/// All slots and connections of a backend server.
pub(super) fn total_share(entry: &ServerEntry) -> Share {
    Share {
        slots: entry.slots,
        connections: entry.connections,
    }
}
