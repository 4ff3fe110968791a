//! The slots and connections of a backend server that one process may use.

use std::time::Instant;

use super::{Role, role::Origin};

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
                origin: Origin::Woken { .. },
                ..
            } => Self::default(),
            Role::Owner { .. } if alone => whole.leased(),
            Role::Owner {
                standby: Some(_),
                lease: Some(lease),
            } if now < *lease => whole.leased(),
            Role::Owner { .. } => whole.first(),
            Role::Standby { promised, .. } if now < *promised => whole.warm(),
            Role::Standby { .. } => whole.second(),
        }
    }

    /// The connections that a standby holds open while it may use no slots.
    fn warm_connections(self) -> u32 {
        let spare = self.connections.saturating_sub(self.slots);
        spare.min(self.connections / 2)
    }

    /// The owner's share while the standby promises to use no slots.
    fn leased(self) -> Self {
        let connections = self.connections - self.warm_connections();
        Self {
            connections,
            ..self
        }
    }

    /// The standby's share while it promises to use no slots.
    fn warm(self) -> Self {
        let connections = self.warm_connections();
        Self {
            slots: 0,
            connections,
        }
    }

    /// The owner's share without a promise.
    fn first(self) -> Self {
        Self {
            slots: self.slots.div_ceil(2),
            connections: self.connections.div_ceil(2),
        }
    }

    /// The standby's share without a promise.
    fn second(self) -> Self {
        Self {
            slots: self.slots / 2,
            connections: self.connections / 2,
        }
    }
}
