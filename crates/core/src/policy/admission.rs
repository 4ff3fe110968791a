//! Admission control: whether an entry accepts a request.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{budget::TokenBudget, replica::WaitEstimate};
use crate::{
    ids::CallerId,
    presets::{KindPolicy, QueuePolicy},
    request::{RefusalReason, RequestKind, Urgency},
};

/// The share of the remaining time that an urgent request may wait in queues.
const URGENT_WAIT_SHARE: f64 = 0.4;
/// The share of the remaining time that an ordinary request may wait in queues.
const ORDINARY_WAIT_SHARE: f64 = 0.2;
/// The share of the queue length below which urgent requests are admitted.
const URGENT_QUEUE_SHARE: f64 = 0.7;
/// The share of the queue length below which ordinary requests are admitted.
const ORDINARY_QUEUE_SHARE: f64 = 0.35;
/// The share of the remaining time that an urgent request may wait in queues during a burst.
const BURST_WAIT_SHARE: f64 = 0.8;
/// The share of the queue length below which urgent requests are admitted during a burst.
const BURST_QUEUE_SHARE: f64 = 0.9;
/// The time for which an overload counts as a burst, which queues absorb.
const BURST_TIME: Duration = Duration::from_secs(2);
/// The maximum number of ordinary requests that are admitted during overload, as a share of the
/// admitted urgent ones.
const ORDINARY_RATIO: f64 = 0.05;
/// The maximum number of ordinary requests that are admitted at once during overload.
const ORDINARY_BURST: f64 = 4.0;
/// The time for which an entry counts as overloaded after the last request that met too much load.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(1);
/// The number of requests in flight below which a caller is never refused for exceeding its share.
const CALLER_MINIMUM: u32 = 8;

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The caller.
    pub caller: CallerId,
    /// The kind of request.
    pub kind: RequestKind,
    /// The time until the deadline.
    pub remaining: Duration,
    /// The estimated time of the slowest shard call that the answer needs.
    pub estimate: WaitEstimate,
}

/// The reason why a request was not admitted. Nothing was sent for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// The reason that the caller is given.
    pub reason: RefusalReason,
    /// The time after which the caller may try again; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
}

/// The requests that one entry has admitted, by caller, and its recent overload.
#[derive(Clone, Debug)]
pub struct Admission {
    callers: HashMap<CallerId, u32>,
    in_flight: u32,
    ordinary: TokenBudget,
    overloaded_at: Option<Instant>,
    overload_start: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            callers: HashMap::new(),
            in_flight: 0,
            ordinary: TokenBudget::new(ORDINARY_BURST),
            overloaded_at: None,
            overload_start: None,
        }
    }
}

impl Admission {
    /// Admits a request or refuses it at once. Each admitted request must be followed by a call of
    /// [`Self::on_end`].
    ///
    /// # Errors
    /// Returns the refusal; nothing may then be sent for the request.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        policy: &KindPolicy,
        queue: &QueuePolicy,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        if !policy.admit {
            return Err(refusal(RefusalReason::NotAdmitted, None));
        }
        if request.remaining.is_zero() {
            return Err(refusal(RefusalReason::DeadlinePast, None));
        }
        self.check_load(request, queue, now)?;
        self.check_share(request, queue, now)?;
        self.in_flight += 1;
        *self
            .callers
            .entry(CallerId::clone(&request.caller))
            .or_default() += 1;
        if request.kind.urgency() == Urgency::Urgent {
            self.ordinary.earn(1, ORDINARY_RATIO);
        }
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn on_end(&mut self, caller: &CallerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.callers.get_mut(caller) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.callers.remove(caller);
            }
        }
    }

    /// Returns whether a request, admitted or not, recently met more load than its urgency or
    /// deadline allows.
    #[must_use]
    pub fn in_overload(&self, now: Instant) -> bool {
        self.overloaded_at
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_MEMORY)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn check_load(
        &mut self,
        request: &AdmissionRequest,
        queue: &QueuePolicy,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        let estimate = request.estimate;
        if estimate.queue_wait + estimate.service > request.remaining {
            self.overloaded_at = Some(now);
            let retry_after =
                (estimate.queue_wait + estimate.service).saturating_sub(request.remaining);
            let retry_after = (!estimate.queue_wait.is_zero()).then_some(retry_after);
            return Err(refusal(RefusalReason::Infeasible, retry_after));
        }
        let urgency = request.kind.urgency();
        let excess = excess_wait(request, urgency, queue);
        let Some(excess) = excess else {
            return Ok(());
        };
        let sustained = self.record_overload(now);
        let admitted = match urgency {
            Urgency::Urgent => !sustained && fits_burst(request, queue),
            Urgency::Ordinary => self.ordinary.try_spend(),
        };
        if admitted {
            return Ok(());
        }
        Err(refusal(RefusalReason::Overloaded, Some(excess)))
    }

    /// Records an overload and returns whether the overload has lasted longer than a burst.
    fn record_overload(&mut self, now: Instant) -> bool {
        let overload_start = self.overload_start.filter(|_| self.in_overload(now));
        let overload_start = overload_start.unwrap_or(now);
        self.overload_start = Some(overload_start);
        self.overloaded_at = Some(now);
        now.saturating_duration_since(overload_start) >= BURST_TIME
    }

    /// Checks that one caller does not crowd out the others during overload.
    fn check_share(
        &self,
        request: &AdmissionRequest,
        queue: &QueuePolicy,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        let count = self
            .callers
            .get(&request.caller)
            .copied()
            .unwrap_or_default();
        let limit = f64::from(self.in_flight) * queue.caller_share;
        let only_caller = self.callers.len() <= 1;
        if only_caller
            || count < CALLER_MINIMUM
            || f64::from(count) < limit
            || !self.in_overload(now)
        {
            return Ok(());
        }
        let retry_after = request.estimate.queue_wait.max(request.estimate.service);
        Err(refusal(RefusalReason::CallerShare, Some(retry_after)))
    }
}

/// Returns the wait in excess of the limit for the urgency; `None` if the request is within the
/// limits of wait and queue length.
fn excess_wait(
    request: &AdmissionRequest,
    urgency: Urgency,
    queue: &QueuePolicy,
) -> Option<Duration> {
    let (wait, share) = match urgency {
        Urgency::Urgent => (URGENT_WAIT_SHARE, URGENT_QUEUE_SHARE),
        Urgency::Ordinary => (ORDINARY_WAIT_SHARE, ORDINARY_QUEUE_SHARE),
    };
    let estimate = request.estimate;
    let limit = request.remaining.mul_f64(wait);
    let full = estimate.queue_len >= f64::from(queue.length) * share;
    if estimate.queue_wait <= limit && !full {
        return None;
    }
    Some(
        estimate
            .queue_wait
            .saturating_sub(limit)
            .max(estimate.service),
    )
}

/// Returns whether an urgent request may wait in queues during a burst.
fn fits_burst(request: &AdmissionRequest, queue: &QueuePolicy) -> bool {
    let estimate = request.estimate;
    let limit = request.remaining.mul_f64(BURST_WAIT_SHARE);
    estimate.queue_wait <= limit && estimate.queue_len < f64::from(queue.length) * BURST_QUEUE_SHARE
}

const fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> AdmissionRefusal {
    AdmissionRefusal {
        reason,
        retry_after,
    }
}
