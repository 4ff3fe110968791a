//! The owners of the backend servers, as the traffic threads see them.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::OwnerView;
use crate::ids::ServerId;

/// The owners of all backend servers, and the shares of them that this process may use.
///
/// The table of all backend servers is shared by all views between two changes of rank. Shares and
/// leases stand in `overrides` only, which is made anew for each view.
#[derive(Clone, Debug, Default)]
pub struct OwnersView {
    /// The owner and the standby by rank of each backend server; an entry gives no right to use the
    /// server.
    pub targets: Arc<HashMap<ServerId, OwnerView>>,
    /// The backend servers in which this process has a role, or for which it knows more than the
    /// ranking; an entry takes precedence over that in `targets`.
    pub overrides: HashMap<ServerId, OwnerView>,
    /// The time from which no call may be started without a newer view.
    pub valid_until: Option<Instant>,
}

impl OwnersView {
    /// Returns the owners of a backend server; `None` for an unknown server.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&OwnerView> {
        let part = self.overrides.get(server);
        part.or_else(|| self.targets.get(server))
    }
}
