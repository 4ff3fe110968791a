//! The evidence on whether this VM reaches the backend servers.

use std::time::{Duration, Instant};

/// How long an opened connection shows that backend servers can be reached.
const OPENED_AGE: Duration = Duration::from_millis(500);
/// The time without any reply after which an overdue one calls for a check: longer than the pause of a
/// healthy server.
const SILENCE_TIME: Duration = Duration::from_millis(150);

/// Whether this VM reaches the backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// The VM reaches at least one backend server.
    #[default]
    Attached,
    /// The VM could open a connection to none of several backend servers.
    Detached,
}

/// The evidence on whether this VM reaches the backend servers: the connections that it opens.
///
/// Replies on open connections are none: these may live on while new ones fail.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    reach: Reach,
    opened_at: Option<Instant>,
    /// The beginning of the last check that failed.
    failed_at: Option<Instant>,
    replied_at: Option<Instant>,
}

impl ReachTable {
    /// Returns whether this VM reaches the backend servers.
    #[must_use]
    pub const fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that a connection to a backend server was opened. Returns whether that was new.
    pub fn on_opened(&mut self, now: Instant) -> bool {
        self.opened_at = Some(now);
        self.set(Reach::Attached)
    }

    /// Records a reply of a backend server.
    pub fn on_reply(&mut self, now: Instant) {
        self.replied_at = Some(now);
    }

    /// Returns whether a connection that could not be opened calls for a check of other servers.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        !is_recent(self.opened_at, OPENED_AGE, now)
    }

    /// Returns whether a reply that is overdue calls for a check.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        self.is_suspect(now) && !is_recent(self.replied_at, SILENCE_TIME, now)
    }

    /// Records that a check which began at `began` could open a connection to none of the servers
    /// that it tried. Returns whether that was new.
    pub fn on_check_failed(&mut self, began: Instant) -> bool {
        if self.opened_at.is_some_and(|at| at >= began) {
            return false;
        }
        self.failed_at = Some(began);
        self.set(Reach::Detached)
    }

    /// Returns whether this VM has reached backend servers since a time; `None` if that was not tried.
    #[must_use]
    pub fn reached_since(&self, time: Instant) -> Option<bool> {
        let is_since = |at: Option<Instant>| at.is_some_and(|at| at >= time);
        if is_since(self.opened_at) {
            return Some(true);
        }
        is_since(self.failed_at).then_some(false)
    }

    fn set(&mut self, reach: Reach) -> bool {
        let is_new = self.reach != reach;
        self.reach = reach;
        is_new
    }
}

fn is_recent(at: Option<Instant>, age: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < age)
}
