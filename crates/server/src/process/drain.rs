//! Leaving the fleet without interrupting requests.

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

/// The longest time until every VM that answers address queries knows that this VM is leaving,
/// if the announcement reached the peers.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// The longest time until VMs that the announcement did not reach detect that this VM does not
/// answer them.
const DETECTION_TIME: Duration = Duration::from_secs(4);

/// The longest time that the handover of the owned backend servers may take.
const HANDOVER_TIME: Duration = Duration::from_secs(10);

/// The share of the grace period in which new requests are accepted; the rest of it is for
/// finishing them.
const ACCEPT_SHARE: f64 = 0.7;

/// The period at which a leaving process checks whether it may end.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The requests in flight and the address answers that a leaving process waits for.
#[derive(Debug, Default)]
pub struct Drain {
    running: AtomicU32,
    longest_ttl: AtomicU64,
    closed: AtomicBool,
    leave_started: OnceLock<Instant>,
}

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Drain>);

impl Drain {
    /// Counts one more request in flight, until the returned guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::AcqRel);
        InFlight(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Records the time to live of address answers. Only the longest one is kept.
    pub fn record_ttl(&self, ttl: Millis) {
        self.longest_ttl.fetch_max(ttl.into(), Ordering::AcqRel);
    }

    /// Returns the time to live for an address answer that names this VM, at most `ttl`, or `None`
    /// if this VM is leaving and must not be named any more.
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

/// A stage of a leaving process, which decides what it does with requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// The process accepts new requests.
    Accepting,
    /// The process refuses new requests and finishes those in flight.
    Finishing,
    /// The process may end.
    Finished,
}

/// The time at which a process began to leave, and the times that it must wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    /// The instant at which the process began to leave.
    pub(super) started: Instant,
    /// The longest time to live of an address answer that names this VM.
    pub(super) longest_ttl: Duration,
    /// Whether the announcement reached every VM that may name this VM.
    pub(super) announced: bool,
    /// The time that the process may take before it is killed, or `None` if it may take any time.
    pub(super) grace: Option<Duration>,
}

impl Leave {
    /// Returns the stage at `now`, given whether the process still owns backend servers and the
    /// number of requests in flight.
    ///
    /// The process waits for every request in flight, however long the request takes.
    pub(super) fn stage(&self, now: Instant, owns_servers: bool, running: u32) -> Stage {
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
        if now < peers_informed || owns_servers && now < handover_end {
            Stage::Accepting
        } else if running > 0 {
            Stage::Finishing
        } else {
            Stage::Finished
        }
    }
}

/// Leaves the fleet and returns once no request is in flight.
///
/// The process hands over its backend servers, and accepts requests until the last address answer
/// that names this VM has expired. If the process is killed after the `grace` period, it stops
/// accepting early enough to finish the requests in flight.
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
        match leave.stage(now, owns_servers(node), node.drain.running()) {
            // A request may have arrived since the count was read, so the count is read again after
            // new requests are refused.
            Stage::Finishing | Stage::Finished if !node.drain.is_closed() => close(node),
            Stage::Accepting | Stage::Finishing => {}
            Stage::Finished => break,
        }
    }
    node.journal
        .info(Part::Fleet, &"This VM has finished all its requests.");
}

/// Makes the process refuse new requests from now on.
fn close(node: &Node) {
    node.drain.closed.store(true, Ordering::Release);
    let running = node.drain.running();
    let text = format!("This VM refuses new requests and finishes the {running} in flight.");
    node.journal.info(Part::Fleet, &text);
}

fn owns_servers(node: &Node) -> bool {
    let view = node.control.view();
    view.owners.overrides.values().any(|owner| owner.slots > 0)
}
