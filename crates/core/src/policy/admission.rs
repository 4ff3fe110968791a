//! Whether a request is taken on at all.

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

/// The share of the time left that an urgent request may wait in queues.
const URGENT_WAIT: f64 = 0.4;
/// The share of the time left that an ordinary request may wait in queues.
const ORDINARY_WAIT: f64 = 0.2;
/// The share of a queue's length up to which urgent requests are taken on.
const URGENT_QUEUE: f64 = 0.7;
/// The share of a queue's length up to which ordinary requests are taken on.
const ORDINARY_QUEUE: f64 = 0.35;
/// The share of the time left that an urgent request may wait in queues during a burst.
const BURST_WAIT: f64 = 0.8;
/// The share of a queue's length up to which urgent requests are taken on during a burst.
const BURST_QUEUE: f64 = 0.9;
/// How long an overload counts as a burst, which queues absorb.
const BURST_TIME: Duration = Duration::from_secs(2);
/// The ordinary requests that are taken on in overload, a share of the urgent ones.
const ORDINARY_FLOOR: f64 = 0.05;
/// The most ordinary requests that overload lets through at once.
const ORDINARY_BURST: f64 = 4.0;
/// How long after a request that met too much load an entry counts as overloaded.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(1);
/// The requests of one caller that are never refused for its share.
const CALLER_FREE: u32 = 8;

/// A request that asks to be taken on.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Who asks.
    pub caller: CallerId,
    /// What it asks for.
    pub kind: RequestKind,
    /// The time until the answer is of no use.
    pub remaining: Duration,
    /// The expected time of its slowest shard call.
    pub estimate: WaitEstimate,
}

/// Why a request was not taken on; nothing was sent for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back; none when trying again is of no use.
    pub retry_after: Option<Duration>,
}

/// What one entry has taken on.
#[derive(Clone, Debug)]
pub struct Admission {
    callers: HashMap<CallerId, u32>,
    in_flight: u32,
    ordinary: TokenBudget,
    crowded: Option<Instant>,
    began: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            callers: HashMap::new(),
            in_flight: 0,
            ordinary: TokenBudget::new(ORDINARY_BURST),
            crowded: None,
            began: None,
        }
    }
}

impl Admission {
    /// Takes a request on, or tells at once why not; [`Self::on_end`] must follow the former.
    ///
    /// # Errors
    /// Returns the refusal. Nothing may be sent for the request then.
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
            self.ordinary.earn(1, ORDINARY_FLOOR);
        }
        Ok(())
    }

    /// Notes the end of a request that was taken on.
    pub fn on_end(&mut self, caller: &CallerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(held) = self.callers.get_mut(caller) {
            *held = held.saturating_sub(1);
            if *held == 0 {
                self.callers.remove(caller);
            }
        }
    }

    /// Returns whether a request met more load than is usual for it lately, taken on or not.
    #[must_use]
    pub fn in_overload(&self, now: Instant) -> bool {
        self.crowded
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_MEMORY)
    }

    /// Returns how many requests are in flight.
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
            self.crowded = Some(now);
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
        let lasting = self.note_overload(now);
        let absorbed = match urgency {
            Urgency::Urgent => !lasting && is_bearable(request, queue),
            Urgency::Ordinary => self.ordinary.try_spend(),
        };
        if absorbed {
            return Ok(());
        }
        Err(refusal(RefusalReason::Overloaded, Some(excess)))
    }

    /// Notes an overload; returns whether it lasts longer than a burst.
    fn note_overload(&mut self, now: Instant) -> bool {
        let began = self.began.filter(|_| self.in_overload(now));
        let began = began.unwrap_or(now);
        self.began = Some(began);
        self.crowded = Some(now);
        now.saturating_duration_since(began) >= BURST_TIME
    }

    /// Checks that one caller does not crowd out the rest while there is overload.
    fn check_share(
        &self,
        request: &AdmissionRequest,
        queue: &QueuePolicy,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        let held = self
            .callers
            .get(&request.caller)
            .copied()
            .unwrap_or_default();
        let most = f64::from(self.in_flight) * queue.caller_share;
        let alone = self.callers.len() <= 1;
        if alone || held < CALLER_FREE || f64::from(held) < most || !self.in_overload(now) {
            return Ok(());
        }
        let retry_after = request.estimate.queue_wait.max(request.estimate.service);
        Err(refusal(RefusalReason::CallerShare, Some(retry_after)))
    }
}

/// The wait above what the urgency allows; none when the request is within it.
fn excess_wait(
    request: &AdmissionRequest,
    urgency: Urgency,
    queue: &QueuePolicy,
) -> Option<Duration> {
    let (wait, share) = match urgency {
        Urgency::Urgent => (URGENT_WAIT, URGENT_QUEUE),
        Urgency::Ordinary => (ORDINARY_WAIT, ORDINARY_QUEUE),
    };
    let estimate = request.estimate;
    let most = request.remaining.mul_f64(wait);
    let full = estimate.queue_len >= f64::from(queue.length) * share;
    if estimate.queue_wait <= most && !full {
        return None;
    }
    Some(
        estimate
            .queue_wait
            .saturating_sub(most)
            .max(estimate.service),
    )
}

/// Returns whether an urgent request can wait through a burst.
fn is_bearable(request: &AdmissionRequest, queue: &QueuePolicy) -> bool {
    let estimate = request.estimate;
    let most = request.remaining.mul_f64(BURST_WAIT);
    estimate.queue_wait <= most && estimate.queue_len < f64::from(queue.length) * BURST_QUEUE
}

const fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> AdmissionRefusal {
    AdmissionRefusal {
        reason,
        retry_after,
    }
}
