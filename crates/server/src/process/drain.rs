//! Leaving without cutting off anything.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassialift_core::time::Millis;

use super::Node;
use crate::{control::Event, journal::Part, timer::Timer};

/// How long news that this VM leaves may take to reach every VM that answers for addresses.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// How long owned backend servers may take to be handed over.
const HANDOVER_TIME: Duration = Duration::from_secs(10);

/// How often it is looked whether the last request has ended.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What a leaving process waits for.
#[derive(Debug, Default)]
pub struct Drain {
    running: AtomicU32,
    longest: AtomicU64,
    closed: AtomicBool,
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
    pub fn note_ttl(&self, ttl: Millis) {
        self.longest.fetch_max(ttl.into(), Ordering::AcqRel);
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

/// Leaves: hands over, accepts until the last address answer that names this VM has expired, and
/// returns once nothing is in flight.
pub async fn drain(node: &Node) {
    node.control.tell(Event::Leave).await;
    let longest = Duration::from_millis(node.drain.longest.load(Ordering::Acquire));
    let started = Timer.now();
    Timer.at(started + NEWS_TIME + longest).await;
    let mut ticks = Timer.subscribe(LOOK_PERIOD);
    while owns_any(node) && Timer.now() < started + longest + HANDOVER_TIME {
        ticks.next().await;
    }
    node.drain.closed.store(true, Ordering::Release);
    let running = node.drain.running();
    let text = format!("This VM refuses new requests and finishes the {running} it has.");
    node.journal.info(Part::Fleet, &text);
    while node.drain.running() > 0 {
        ticks.next().await;
    }
    node.journal.info(Part::Fleet, &"This VM has finished.");
}

fn owns_any(node: &Node) -> bool {
    let view = node.control.view();
    view.owners.values().any(|owner| owner.slots > 0)
}
