//! What a queue holds and why it refuses.

use std::time::{Duration, Instant};

use crate::{ids::CallerId, policy::outcome::NotRunCause, request::Urgency};

/// A call that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueEntry {
    /// Identifies the call to whoever queued it.
    pub id: u64,
    /// Who asks.
    pub caller: CallerId,
    /// How it ranks against others.
    pub urgency: Urgency,
    /// When its reply must be there.
    pub deadline: Instant,
    /// When it was queued.
    pub queued_at: Instant,
}

/// Why a call was not queued, or left the queue without a slot; it was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum QueueRefusal {
    /// The queue is full.
    Full,
    /// The caller has its share of the queue.
    CallerShare,
    /// The deadline would pass in the queue.
    Infeasible,
    /// The deadline has passed.
    Expired,
    /// A more urgent call took its place.
    Displaced,
}

/// How fast a backend server takes calls out of its queue.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// The learned time that one call takes.
    pub time: Duration,
    /// The calls that it may run at once.
    pub limit: u32,
}

impl ServiceRate {
    /// Returns how long a call waits that `ahead` others go before.
    #[must_use]
    pub fn wait(self, ahead: u32) -> Duration {
        let turns = f64::from(ahead) / f64::from(self.limit.max(1));
        self.time.mul_f64(turns)
    }
}

impl QueueRefusal {
    /// Returns the cause that the entry is told.
    #[must_use]
    pub const fn cause(self) -> NotRunCause {
        match self {
            Self::Full | Self::CallerShare | Self::Displaced => NotRunCause::QueueFull,
            Self::Infeasible => NotRunCause::Infeasible,
            Self::Expired => NotRunCause::Expired,
        }
    }

    /// Returns the name of the refusal's counter.
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
