//! The ownership data that a process publishes for its traffic threads.

use std::time::Instant;

use super::{Ownership, Role, Share, row::ServerRow, server_key};
use crate::{
    ids::{ServerId, VmId},
    view::OwnerView,
};

impl Ownership {
    /// Returns the owner and the standby of each backend server, and the share of it that this
    /// process may use at `now`.
    pub fn views(&self, now: Instant) -> impl Iterator<Item = (ServerId, OwnerView)> {
        self.views_of(self.rows.values(), now)
    }

    /// Returns the entries of [`Self::views`] that may differ from those of [`Self::targets`],
    /// which follow the ranking alone.
    pub fn overrides(&self, now: Instant) -> impl Iterator<Item = (ServerId, OwnerView)> {
        let rows = self.active_rows().map(|(_, row)| row);
        let overrides = rows.filter(|row| !row.follows_ranking());
        self.views_of(overrides, now)
    }

    /// Returns the owner and the standby that the ranking names for each backend server.
    pub fn targets(&self) -> impl Iterator<Item = (ServerId, OwnerView)> {
        let rows = self.rows.values();
        rows.map(|row| (ServerId::clone(&row.name), target_view(row)))
    }

    fn views_of<'a>(
        &self,
        rows: impl Iterator<Item = &'a ServerRow>,
        now: Instant,
    ) -> impl Iterator<Item = (ServerId, OwnerView)> {
        let alone = self.is_alone();
        rows.map(move |row| (ServerId::clone(&row.name), self.view(row, alone, now)))
    }

    /// Returns the time from which no call may be started without a newer view.
    #[must_use]
    pub fn valid_until(&self) -> Instant {
        self.last_tick + self.settings.freeze_threshold
    }

    /// Returns the slots and connections of a backend server that this process may use at `now`.
    #[must_use]
    pub fn share(&self, server: &str, now: Instant) -> Share {
        let row = self.rows.get(&server_key(server));
        row.map(|row| self.row_share(row, self.is_alone(), now))
            .unwrap_or_default()
    }

    fn view(&self, row: &ServerRow, alone: bool, now: Instant) -> OwnerView {
        let (owner, standby) = self.route(row, now);
        let share = self.row_share(row, alone, now);
        OwnerView {
            owner,
            standby,
            slots: share.slots,
            connections: share.connections,
            valid_until: Some(self.share_until(row, now)),
        }
    }

    fn row_share(&self, row: &ServerRow, alone: bool, now: Instant) -> Share {
        if self.is_frozen(now) {
            return Share::default();
        }
        Share::of(&row.role, row.total, alone, now)
    }

    /// Returns whether every other process is gone.
    fn is_alone(&self) -> bool {
        self.candidates.values().all(|one| one.gone)
    }

    /// Returns the time from which a share that is read at `now` must no longer be used.
    fn share_until(&self, row: &ServerRow, now: Instant) -> Instant {
        let valid = self.valid_until();
        match row.role {
            Role::Owner {
                lease_end: Some(lease_end),
                ..
            } if now < lease_end => valid.min(lease_end),
            _ => valid,
        }
    }

    /// Returns the owner and the standby of a backend server as far as this process knows.
    fn route(&self, row: &ServerRow, now: Instant) -> (Option<VmId>, Option<VmId>) {
        let own = || Some(VmId::clone(&self.own.vm));
        let target = &row.target;
        match &row.role {
            Role::Owner { standby, .. } => {
                (own(), standby.as_ref().map(|run| VmId::clone(&run.vm)))
            }
            Role::Standby { owner, .. } => {
                let share = Share::of(&row.role, row.total, false, now);
                if share.slots > 0 && !self.is_usable(&owner.vm) {
                    return (own(), None);
                }
                (Some(VmId::clone(&owner.vm)), own())
            }
            Role::Vacant { .. } | Role::Claiming { .. } => match &row.owner_hint {
                Some((vm, _)) if self.is_usable(vm) => {
                    (Some(VmId::clone(vm)), target.owner().cloned())
                }
                Some(_) | None => (target.owner().cloned(), target.standby().cloned()),
            },
        }
    }
}

/// Returns the owner and the standby by ranking alone, without any right to use the server.
fn target_view(row: &ServerRow) -> OwnerView {
    OwnerView {
        owner: row.target.owner().cloned(),
        standby: row.target.standby().cloned(),
        ..OwnerView::default()
    }
}
