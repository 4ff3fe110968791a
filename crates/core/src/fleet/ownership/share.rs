//! The slots and connections of a backend server that one process may use.

use std::time::Instant;

use super::{Role, role::StandbyOrigin};

/// The slots and connections of a backend server that one process may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Slots: calls that may run at once.
    pub slots: u32,
    /// Connections that may be open at once.
    pub connections: u32,
}

impl Share {
    /// Returns the share that a role gives of a server's `whole`; `alone` tells that every other
    /// process is gone.
    #[must_use]
    pub fn of(role: &Role, whole: Self, alone: bool, now: Instant) -> Self {
        match role {
            Role::Vacant { .. }
            | Role::Claiming { .. }
            | Role::Standby {
                origin: StandbyOrigin::Resumed { .. },
                ..
            } => Self::default(),
            Role::Owner { .. } if alone => whole.leased_owner(),
            Role::Owner {
                standby: Some(_),
                lease: Some(lease),
            } if now < *lease => whole.leased_owner(),
            Role::Owner { .. } => whole.owner_half(),
            Role::Standby { promised, .. } if now < *promised => whole.leased_standby(),
            Role::Standby { .. } => whole.standby_half(),
        }
    }

    /// The connections that a standby holds open while it may use no slots.
    fn standby_connections(self) -> u32 {
        let spare = self.connections.saturating_sub(self.slots);
        spare.min(self.connections / 2)
    }

    /// The owner's share while the standby promises to use no slots.
    fn leased_owner(self) -> Self {
        let connections = self.connections - self.standby_connections();
        Self {
            connections,
            ..self
        }
    }

    /// The standby's share while it promises to use no slots.
    fn leased_standby(self) -> Self {
        let connections = self.standby_connections();
        Self {
            slots: 0,
            connections,
        }
    }

    /// The owner's share without a promise.
    fn owner_half(self) -> Self {
        Self {
            slots: self.slots.div_ceil(2),
            connections: self.connections.div_ceil(2),
        }
    }

    /// The standby's share without a promise.
    fn standby_half(self) -> Self {
        Self {
            slots: self.slots / 2,
            connections: self.connections / 2,
        }
    }
}
