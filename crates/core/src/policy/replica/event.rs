//! Ejections and returns of backend servers, reported as events.

use std::time::Duration;

use displaydoc::Display;

use super::{
    stats::{ReplicaState, ServerNotice},
    table::ReplicaTable,
};
use crate::{
    ids::ServerId,
    policy::{
        retry::RetryReason,
        server_limit::{CallRate, StatedLimit},
    },
};

/// The maximum number of events that are kept until they are taken. Further events are dropped.
const EVENT_LIMIT: usize = 64;

/// The reason why a backend server was ejected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EjectCause {
    /// successive calls failed, the last one because {0}
    Faults(RetryReason),
    /// successive calls were overtaken by their hedges
    Hedges,
    /// it is far slower than the best replica
    Slow,
}

/// A change in whether a backend server gets calls.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ReplicaEvent {
    /// Ejected {server}, which gets probes only: {cause}.
    Ejected {
        /// The backend server.
        server: ServerId,
        /// The reason for the ejection.
        cause: EjectCause,
    },
    /// Server {server} announced that it leaves; it gets calls for at most {within:?}, and only without another replica.
    Leaving {
        /// The backend server.
        server: ServerId,
        /// The time after which it gets no more calls.
        within: Duration,
    },
    /// Server {server} asked for a pause of {pause:?}.
    Paused {
        /// The backend server.
        server: ServerId,
        /// The length of the pause.
        pause: Duration,
    },
    /// Server {server} takes {limit} from all VMs together.
    Limited {
        /// The backend server.
        server: ServerId,
        /// The limit.
        limit: CallRate,
    },
    /// Server {server} states no limit on its calls any more.
    Unlimited {
        /// The backend server.
        server: ServerId,
    },
    /// Server {server} is cold, or may be when it returns; it takes {limit} from all VMs together.
    Cold {
        /// The backend server.
        server: ServerId,
        /// The limit.
        limit: CallRate,
    },
    /// Server {server} is no longer cold.
    Warm {
        /// The backend server.
        server: ServerId,
    },
    /// Took {server} back after a probe; it gets a growing share of calls.
    Returned {
        /// The backend server.
        server: ServerId,
    },
}

impl ReplicaEvent {
    /// Returns the name of the counter of this event.
    #[must_use]
    pub const fn counter(&self) -> &'static str {
        match self {
            Self::Ejected { .. } => "entry.ejected",
            Self::Leaving { .. } => "entry.server_leaving",
            Self::Paused { .. } => "entry.server_paused",
            Self::Limited { .. } => "entry.server_limited",
            Self::Unlimited { .. } => "entry.server_unlimited",
            Self::Cold { .. } => "entry.server_cold",
            Self::Warm { .. } => "entry.server_warm",
            Self::Returned { .. } => "entry.returned",
        }
    }
}

impl ReplicaTable {
    /// Removes and returns the events since the last call. Events beyond a limit were dropped.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Records an event if a backend server was ejected or has returned since its state was
    /// `before`.
    pub(super) fn record_change(
        &mut self,
        server: &ServerId,
        before: Option<ReplicaState>,
        cause: EjectCause,
    ) {
        let is_ejected = |state| matches!(state, Some(ReplicaState::Ejected(_)));
        let server = ServerId::clone(server);
        let event = match (is_ejected(before), is_ejected(self.state(&server))) {
            (false, true) => ReplicaEvent::Ejected { server, cause },
            (true, false) => ReplicaEvent::Returned { server },
            (true, true) | (false, false) => return,
        };
        self.push_event(event);
    }

    /// Records the events for what a backend server stated about itself.
    pub(super) fn record_notice(&mut self, server: &ServerId, notice: ServerNotice) {
        if let Some(within) = notice.leaves_in {
            let server = ServerId::clone(server);
            self.push_event(ReplicaEvent::Leaving { server, within });
        }
        if let Some(pause) = notice.pause {
            let server = ServerId::clone(server);
            self.push_event(ReplicaEvent::Paused { server, pause });
        }
    }

    /// Records the event for a change of a backend server's limit.
    pub(super) fn record_limit(&mut self, server: &ServerId, stated: StatedLimit) {
        let server = ServerId::clone(server);
        match stated {
            StatedLimit::Unknown => {}
            StatedLimit::Unlimited => self.push_event(ReplicaEvent::Unlimited { server }),
            StatedLimit::Limited(limit) => {
                self.push_event(ReplicaEvent::Limited { server, limit });
            }
        }
    }

    pub(super) fn push_event(&mut self, event: ReplicaEvent) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push(event);
        }
    }
}
