//! The role of this process for one backend server.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VmId};

/// One run of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessRun {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// The role of this process for one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// The process holds no part of the server.
    Vacant {
        /// The time at which the process gave up its last role; `None` if it had none.
        since: Option<Instant>,
    },
    /// The process asks all candidates whether the server is free.
    Claiming {
        /// The time at which the claim began.
        since: Instant,
        /// The candidates that confirmed that they do not hold the server, each with the time of
        /// the request that it answered.
        confirmations: BTreeMap<VmId, Instant>,
    },
    /// The process may use the owner's half of the backend server's slots, and the standby's half as
    /// long as a standby promises not to use it.
    Owner {
        /// The process that may use the standby's half; `None` while there is no standby.
        standby: Option<ProcessRun>,
        /// The time at which the standby's promise not to use its half of the slots ends; `None`
        /// before its first promise.
        lease_end: Option<Instant>,
    },
    /// The process may use the standby's half of the backend server's slots once its promise to the
    /// owner has lapsed.
    Standby {
        /// The owner of the server.
        owner: ProcessRun,
        /// The time until which this process has promised to use no slots.
        promised_until: Instant,
        /// The way in which the process became standby.
        origin: StandbyOrigin,
    },
}

/// The way in which a process became standby.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandbyOrigin {
    /// The owner named the process, which stops being standby when the owner no longer names it.
    Named,
    /// The process handed over to the owner, which has not acknowledged that yet.
    HandingOver,
    /// The process was owner, resumed after a freeze and offers the role to its former standby. It
    /// may use no slots before it has heard from that standby.
    Resumed {
        /// The time at which the process resumed.
        at: Instant,
    },
    /// The process claimed a server that a single silent process may own.
    Presumed,
}

impl Role {
    /// The role of a process that holds nothing and has not given up a role recently.
    pub const INITIAL: Self = Self::Vacant { since: None };

    pub(super) const fn vacated(now: Instant) -> Self {
        Self::Vacant { since: Some(now) }
    }

    /// Returns whether the process gave up its last role less than `window` ago.
    pub(super) fn vacated_within(&self, window: Duration, now: Instant) -> bool {
        let Self::Vacant { since: Some(since) } = self else {
            return false;
        };
        now.saturating_duration_since(*since) < window
    }
}
