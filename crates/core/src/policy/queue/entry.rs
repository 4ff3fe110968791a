//! Queued calls and the reasons to refuse them.

use std::time::{Duration, Instant};

use crate::{ids::CallerId, policy::outcome::NotRunCause, request::Urgency};

/// A call that waits in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// The identifier of the call, assigned by the code that queued it.
    pub id: u64,
    /// The caller.
    pub caller: CallerId,
    /// The urgency; urgent calls come first.
    pub urgency: Urgency,
    /// The time by which the reply is due.
    pub deadline: Instant,
    /// The time at which the call was queued.
    pub queued_at: Instant,
}

/// The reason why a call was not queued, or left the queue without a slot. The call did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full.
    Full,
    /// The caller has used up its share of the queue.
    CallerShare,
    /// The deadline would pass in the queue.
    Infeasible,
    /// The deadline has passed.
    Expired,
    /// An urgent call took the place of this call.
    Displaced,
}

/// The rate at which a backend server takes calls out of its queue.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// The learned service time of one call.
    pub time: Duration,
    /// The number of calls that may run at once.
    pub limit: u32,
}

impl ServiceRate {
    /// Returns the expected wait of a call that has `ahead` other calls before it.
    #[must_use]
    pub fn wait(self, ahead: u32) -> Duration {
        let turns = f64::from(ahead) / f64::from(self.limit.max(1));
        self.time.mul_f64(turns)
    }
}

impl QueueRefusal {
    /// Returns the cause that is reported to the entry.
    #[must_use]
    pub const fn cause(self) -> NotRunCause {
        match self {
            Self::Full | Self::CallerShare | Self::Displaced => NotRunCause::QueueFull,
            Self::Infeasible => NotRunCause::Infeasible,
            Self::Expired => NotRunCause::Expired,
        }
    }

    /// Returns the name of the counter of this refusal.
    #[must_use]
    pub const fn counter(self) -> &'static str {
        match self {
            Self::Full => "queue.full",
            Self::CallerShare => "queue.caller_share",
            Self::Infeasible => "queue.infeasible",
            Self::Expired => "queue.expired",
            Self::Displaced => "queue.displaced",
        }
    }
}
