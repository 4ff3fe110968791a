//! The part that this process plays for one backend server.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VmId};

/// One run of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessRun {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// The part that this process plays for one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Holds nothing.
    Vacant {
        /// When a former role was given up; none if there was none.
        since: Option<Instant>,
    },
    /// Asks everybody whether the server is free.
    Claiming {
        /// When the claim began.
        since: Instant,
        /// Who denied holding the server, and when that was asked.
        free: BTreeMap<VmId, Instant>,
    },
    /// Holds the first half, and the second as long as a standby promises not to use it.
    Owner {
        /// Who may use the second half; none while there is no standby.
        standby: Option<ProcessRun>,
        /// Until when the standby has promised not to; none before its first promise.
        lease: Option<Instant>,
    },
    /// May use the second half once the promise to the owner has lapsed.
    Standby {
        /// The owner.
        owner: ProcessRun,
        /// Until when this process has promised to use nothing.
        promised: Instant,
        /// How the role came about.
        origin: StandbyOrigin,
    },
}

/// How a process became standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandbyOrigin {
    /// The owner named it; it stops being standby when the owner names it no longer.
    Named,
    /// It handed over to the owner, which has not acknowledged that yet.
    HandingOver,
    /// It was owner, woke from a freeze and offers the role to its standby; it may use nothing
    /// before that standby is heard.
    Resumed {
        /// When it woke.
        at: Instant,
    },
    /// It claimed a server that one silent process may own.
    Presumed,
}

impl Role {
    /// The role of a process that has just started.
    pub const INITIAL: Self = Self::Vacant { since: None };

    pub(super) const fn vacated(now: Instant) -> Self {
        Self::Vacant { since: Some(now) }
    }

    /// Returns whether the process gave up a role less than `window` ago.
    pub(super) fn vacated_within(&self, window: Duration, now: Instant) -> bool {
        let Self::Vacant { since: Some(since) } = self else {
            return false;
        };
        now.saturating_duration_since(*since) < window
    }
}
