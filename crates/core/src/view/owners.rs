//! Who owns the backend servers, as traffic sees it.

use std::{collections::HashMap, sync::Arc, time::Instant};

use super::OwnerView;
use crate::ids::ServerId;

/// Who owns each backend server, and what of it this process may use.
///
/// The table of all backend servers is shared by all views between two changes of rank. Rights
/// and leases stand in `parts` only, which is made anew for each view.
#[derive(Clone, Debug, Default)]
pub struct OwnersView {
    /// Whom rank names for each backend server; gives no right.
    pub targets: Arc<HashMap<ServerId, OwnerView>>,
    /// The backend servers that this process plays a part for or knows more of than rank tells.
    pub overrides: HashMap<ServerId, OwnerView>,
    /// The instant from which on no call may be started without a newer view.
    pub valid_until: Option<Instant>,
}

impl OwnersView {
    /// Returns who owns a backend server.
    #[must_use]
    pub fn get(&self, server: &str) -> Option<&OwnerView> {
        let part = self.overrides.get(server);
        part.or_else(|| self.targets.get(server))
    }
}
