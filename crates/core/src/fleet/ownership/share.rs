//! The slots and connections of a backend server that one process may use.

use std::time::Instant;

use super::{Role, role::StandbyOrigin};

/// The slots and connections of a backend server that one process may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// The number of slots, each of which runs one call at a time.
    pub slots: u32,
    /// The number of connections that may be open at once.
    pub connections: u32,
}

impl Share {
    /// Returns the share of a server's `total` that a role allows at `now`. `alone` states whether
    /// every other process is gone.
    #[must_use]
    pub fn of(role: &Role, total: Self, alone: bool, now: Instant) -> Self {
        match role {
            Role::Vacant { .. }
            | Role::Claiming { .. }
            | Role::Standby {
                origin: StandbyOrigin::Resumed { .. },
                ..
            } => Self::default(),
            Role::Owner { .. } if alone => total.leased_owner(),
            Role::Owner {
                standby: Some(_),
                lease_end: Some(lease_end),
            } if now < *lease_end => total.leased_owner(),
            Role::Owner { .. } => total.owner_half(),
            Role::Standby { promised_until, .. } if now < *promised_until => total.leased_standby(),
            Role::Standby { .. } => total.standby_half(),
        }
    }

    /// Returns the number of connections that a standby may keep open while it may use no slots.
    fn standby_connections(self) -> u32 {
        let spare = self.connections.saturating_sub(self.slots);
        spare.min(self.connections / 2)
    }

    /// Returns the owner's share while the standby promises to use no slots.
    fn leased_owner(self) -> Self {
        let connections = self.connections - self.standby_connections();
        Self {
            connections,
            ..self
        }
    }

    /// Returns the standby's share while it promises to use no slots.
    fn leased_standby(self) -> Self {
        let connections = self.standby_connections();
        Self {
            slots: 0,
            connections,
        }
    }

    /// Returns the owner's share without a promise of the standby.
    fn owner_half(self) -> Self {
        Self {
            slots: self.slots.div_ceil(2),
            connections: self.connections.div_ceil(2),
        }
    }

    /// Returns the standby's share after its promise has lapsed.
    fn standby_half(self) -> Self {
        Self {
            slots: self.slots / 2,
            connections: self.connections / 2,
        }
    }
}
