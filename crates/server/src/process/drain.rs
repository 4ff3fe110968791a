//! Leaving without cutting off anything.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::time::Millis;

use super::Node;
use crate::{journal::Part, timer::Timer};

/// How long news that this VM leaves may take to reach every VM that answers for addresses.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// How long VMs that could not be told may take to find that this VM does not answer them.
const DETECTION_TIME: Duration = Duration::from_secs(4);

/// How long owned backend servers may take to be handed over.
const HANDOVER_TIME: Duration = Duration::from_secs(10);

/// The share of the grace for which new requests are accepted; the rest is for finishing them.
const ACCEPT_SHARE: f64 = 0.7;

/// How often it is looked whether the last request has ended.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// What a leaving process waits for.
#[derive(Debug, Default)]
pub struct Drain {
    running: AtomicU32,
    longest_ttl: AtomicU64,
    closed: AtomicBool,
    leave_started: OnceLock<Instant>,
}

/// A request in flight; it counts until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Drain>);

impl Drain {
    /// Counts one more request.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::AcqRel);
        InFlight(Arc::clone(self))
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Remembers the longest time that an address answer may be kept.
    pub fn record_ttl(&self, ttl: Millis) {
        self.longest_ttl.fetch_max(ttl.into(), Ordering::AcqRel);
    }

    /// Returns how long an address answer that names this VM may be kept, at most `ttl`; none when
    /// this VM leaves and must be named no longer.
    #[must_use]
    pub fn remaining_ttl(&self, ttl: Millis, now: Instant) -> Option<Millis> {
        let Some(leave_started) = self.leave_started.get() else {
            return Some(ttl);
        };
        let remaining = (*leave_started + self.longest_ttl()).saturating_duration_since(now);
        (!remaining.is_zero()).then(|| ttl.min(remaining.into()))
    }

    fn longest_ttl(&self) -> Duration {
        Duration::from_millis(self.longest_ttl.load(Ordering::Acquire))
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a leaving process does with requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// It accepts new ones.
    Accepting,
    /// It refuses new ones and finishes those in flight.
    Finishing,
    /// It may end.
    Finished,
}

/// When a process began to leave, and what it must outlast.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    /// When it began.
    pub(super) started: Instant,
    /// The longest time that an address answer that names this VM may be kept.
    pub(super) longest_ttl: Duration,
    /// Whether every VM that may name this VM was told.
    pub(super) announced: bool,
    /// How long the process may take before it is killed; none when it may take any time.
    pub(super) grace: Option<Duration>,
}

impl Leave {
    /// Returns the stage for the backend servers still owned and the requests still in flight.
    ///
    /// However long a request takes, the process waits for it.
    pub(super) fn stage(&self, now: Instant, owns: bool, running: u32) -> Stage {
        let spread = if self.announced {
            ANNOUNCE_TIME
        } else {
            DETECTION_TIME
        };
        let peers_informed = self.started + self.longest_ttl + spread;
        let handover_end = self.started + self.longest_ttl + HANDOVER_TIME;
        let accept_end = self
            .grace
            .map(|grace| self.started + grace.mul_f64(ACCEPT_SHARE));
        if accept_end.is_some_and(|accept_end| now >= accept_end) {
            return if running > 0 {
                Stage::Finishing
            } else {
                Stage::Finished
            };
        }
        if now < peers_informed || owns && now < handover_end {
            Stage::Accepting
        } else if running > 0 {
            Stage::Finishing
        } else {
            Stage::Finished
        }
    }
}

/// Leaves: hands over, accepts until the last address answer that names this VM has expired, and
/// returns once nothing is in flight.
///
/// With a `grace`, after which the process is killed, it stops accepting in time to finish.
pub async fn drain(node: &Node, grace: Option<Duration>) {
    let leave = Leave {
        started: *node.drain.leave_started.get_or_init(|| Timer.now()),
        longest_ttl: node.drain.longest_ttl(),
        announced: node.control.leave().await,
        grace,
    };
    let mut ticks = Timer.subscribe(POLL_PERIOD);
    loop {
        let now = ticks.next().await;
        match leave.stage(now, owns_any(node), node.drain.running()) {
            // A request may have come since the count was taken, so that it is taken again.
            Stage::Finishing | Stage::Finished if !node.drain.is_closed() => close(node),
            Stage::Accepting | Stage::Finishing => {}
            Stage::Finished => break,
        }
    }
    node.journal.info(Part::Fleet, &"This VM has finished.");
}

/// Refuses new requests from now on.
fn close(node: &Node) {
    node.drain.closed.store(true, Ordering::Release);
    let running = node.drain.running();
    let text = format!("This VM refuses new requests and finishes the {running} it has.");
    node.journal.info(Part::Fleet, &text);
}

fn owns_any(node: &Node) -> bool {
    let view = node.control.view();
    view.owners.parts.values().any(|owner| owner.slots > 0)
}
