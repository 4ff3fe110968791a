//! Age of the last confirmation that the configuration is up to date.

use std::time::{Duration, Instant};

use crate::ids::VmId;

/// A confirmation by the platform that no revision newer than the current one exists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// A time before the platform made its reply, such as when the read was sent.
    pub at: Instant,
    /// The VM that read the configuration service.
    pub reader: VmId,
}

/// Tracks the newest known confirmation.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    newest: Option<Confirmation>,
}

impl Freshness {
    /// Records a confirmation, if it is newer than the known one.
    pub fn confirm(&mut self, at: Instant, reader: VmId) {
        let is_newer = self.newest.as_ref().is_none_or(|newest| newest.at < at);
        if is_newer {
            self.newest = Some(Confirmation { at, reader });
        }
    }

    /// Discards the confirmation, for use after a freeze of unknown length.
    pub fn clear(&mut self) {
        self.newest = None;
    }

    /// Returns the newest confirmation, or `None` if there is none.
    #[must_use]
    pub const fn newest(&self) -> Option<&Confirmation> {
        self.newest.as_ref()
    }

    /// Returns the age of the newest confirmation, or `None` if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let newest = self.newest.as_ref()?;
        Some(now.saturating_duration_since(newest.at))
    }
}
