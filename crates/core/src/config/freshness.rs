//! How long ago the platform confirmed the configuration held.

use std::time::{Duration, Instant};

use crate::ids::VmId;

/// One confirmation: the platform said that nothing newer than the revision held exists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// When, at the latest before the platform's answer was made.
    pub at: Instant,
    /// The VM that read the platform.
    pub reader: VmId,
}

/// The newest confirmation that is known.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    newest: Option<Confirmation>,
}

impl Freshness {
    /// Takes a confirmation in, if it is newer than the one known.
    pub fn confirm(&mut self, at: Instant, reader: VmId) {
        let newer = self.newest.as_ref().is_none_or(|newest| newest.at < at);
        if newer {
            self.newest = Some(Confirmation { at, reader });
        }
    }

    /// Forgets all, after a pause of unknown length.
    pub fn forget(&mut self) {
        self.newest = None;
    }

    /// Returns the newest confirmation.
    #[must_use]
    pub const fn newest(&self) -> Option<&Confirmation> {
        self.newest.as_ref()
    }

    /// Returns how old the newest confirmation is; none if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let newest = self.newest.as_ref()?;
        Some(now.saturating_duration_since(newest.at))
    }
}
