//! The owners of the backend servers, as the traffic threads see them.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::OwnerView;
use crate::ids::ServerId;

/// The owners of all backend servers, and the shares of them that this process may use.
///
/// Views share the table `targets` until the ranking changes. Shares and leases are in `overrides`
/// only, which is rebuilt for each view.
#[derive(Clone, Debug, Default)]
pub struct OwnersView {
    /// The owner and the standby by rank of each backend server; an entry gives no right to use the
    /// server.
    pub targets: Arc<HashMap<ServerId, OwnerView>>,
    /// The backend servers in which this process has a role, or for which it knows more than the
    /// ranking; an entry takes precedence over the one in `targets`.
    pub overrides: HashMap<ServerId, OwnerView>,
    /// The time from which no call may be started without a newer view.
    pub valid_until: Option<Instant>,
}

impl OwnersView {
    /// Returns the owner and the standby of a backend server; `None` for an unknown server.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&OwnerView> {
        let entry = self.overrides.get(server);
        entry.or_else(|| self.targets.get(server))
    }
}
