//! The gate of one backend server: its shares, what uses them, and the queue in front.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::VmId,
    policy::{
        latency::MovingAverage, limit::ConcurrencyLimit, outcome::CallOutcome, queue::ServiceRate,
    },
    presets::QueuePolicy,
};
use cassialift_wire::{backend::ServerLoad, peer::CallRefusal};

use super::{connection::Connection, queue::WaitQueue};

/// The time between two questions for a backend server's health; shorter than the time that a
/// server which said it is leaving is sent nothing.
const HEALTH_PERIOD: Duration = Duration::from_millis(700);

/// What a view grants this process of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Where the backend server listens.
    pub(super) address: SocketAddr,
    /// The requests that this process may run on it at once.
    pub(super) slots: u32,
    /// The connections that this process may hold to it.
    pub(super) connections: u32,
    /// The connections to open in advance; a standby keeps them without slots.
    pub(super) warm: u32,
    /// The instant from which on no call may be started without a newer share.
    pub(super) valid_until: Option<Instant>,
    /// Whether the backend server is leaving.
    pub(super) leaving: bool,
    /// Who owns it, as far as this process knows.
    pub(super) owner: Option<VmId>,
    /// How calls wait for it.
    pub(super) policy: QueuePolicy,
}

impl Share {
    /// Returns whether this process may hold connections to the backend server.
    pub(super) const fn is_granted(&self) -> bool {
        self.slots > 0 || self.connections > 0
    }
}

/// The state of one backend server's gate.
///
/// The number of open sockets counts those that are being opened and those that are being closed.
#[derive(Debug)]
pub(super) struct ServerPool<W> {
    pub(super) share: Share,
    pub(super) running: u32,
    pub(super) open: u32,
    pub(super) idle: VecDeque<Connection>,
    pub(super) queue: WaitQueue<W>,
    pub(super) sequence: u64,
    pub(super) load: ServerLoad,
    pub(super) hold_until: Option<Instant>,
    pub(super) warm_after: Option<Instant>,
    checked_at: Instant,
    limit: ConcurrencyLimit,
    service: MovingAverage,
}

/// What a granted call uses to send with.
#[derive(Debug)]
pub(super) enum ConnectionSource {
    /// A warm lane.
    Idle(Connection),
    /// Leave to open a connection, already counted.
    New,
}

impl<W> ServerPool<W> {
    /// Makes a gate with nothing in use.
    pub(super) fn new(share: Share, now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(share.slots, now),
            share,
            running: 0,
            open: 0,
            idle: VecDeque::new(),
            queue: WaitQueue::new(),
            sequence: 0,
            load: ServerLoad::default(),
            hold_until: None,
            warm_after: None,
            checked_at: now,
            service: MovingAverage::default(),
        }
    }

    /// Returns why no new work may be sent, if so.
    pub(super) fn refusal(&self, now: Instant) -> Option<CallRefusal> {
        if self.share.slots == 0 || self.share.connections == 0 {
            let owner = self.share.owner.clone();
            return Some(CallRefusal::NotOwner { owner });
        }
        if self.share.leaving || self.hold_until.is_some_and(|until| now < until) {
            return Some(CallRefusal::Leaving);
        }
        None
    }

    /// Takes a slot and what to send with; none when either is used up.
    pub(super) fn take_slot(&mut self) -> Option<ConnectionSource> {
        let lapsed = self
            .share
            .valid_until
            .is_some_and(|until| Instant::now() >= until);
        if lapsed || self.running >= self.slot_limit() {
            return None;
        }
        let source = match self.take_idle() {
            Some(connection) => ConnectionSource::Idle(connection),
            None if self.reserve_open() => ConnectionSource::New,
            None => return None,
        };
        self.running += 1;
        Some(source)
    }

    /// Takes the lane that was used last.
    pub(super) fn take_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop_back() {
            if !connection.is_closed() && connection.address == self.share.address {
                return Some(connection);
            }
        }
        None
    }

    /// Counts one more connection if the share allows it.
    pub(super) fn reserve_open(&mut self) -> bool {
        if self.open >= self.share.connections {
            return false;
        }
        self.open += 1;
        true
    }

    /// Keeps a lane for later use, or drops it when the share shrank or the server moved.
    pub(super) fn put_idle(&mut self, connection: Connection) {
        let fits = self.open <= self.share.connections;
        if fits && !connection.is_closed() && connection.address == self.share.address {
            self.idle.push_back(connection);
        }
    }

    /// Drops idle lanes that are closed, lead elsewhere or exceed the share.
    pub(super) fn trim_idle(&mut self) {
        let address = self.share.address;
        self.idle
            .retain(|connection| !connection.is_closed() && connection.address == address);
        let excess = self.open.saturating_sub(self.share.connections) as usize;
        self.idle.drain(..excess.min(self.idle.len()));
    }

    /// Returns how many connections are to be opened in advance.
    pub(super) fn missing_warm(&self, now: Instant) -> u32 {
        let on_hold = self.hold_until.is_some_and(|until| now < until);
        if on_hold || self.share.leaving || self.warm_after.is_some_and(|after| now < after) {
            return 0;
        }
        let wanted = self.share.warm.min(self.share.connections);
        wanted.saturating_sub(self.open)
    }

    /// Returns whether the server's health is to be asked now, and notes that it is.
    pub(super) fn take_health_check(&mut self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.checked_at) >= HEALTH_PERIOD;
        if self.share.slots == 0 || !due {
            return false;
        }
        self.checked_at = now;
        true
    }

    /// Takes over a new share.
    pub(super) fn set_share(&mut self, share: Share) {
        if self.share.address != share.address {
            self.warm_after = None;
        }
        self.limit.set_slots(share.slots);
        self.share = share;
    }

    /// Returns how many requests may run at once: the share, less while the server sheds.
    pub(super) fn slot_limit(&self) -> u32 {
        self.share.slots.min(self.limit.get())
    }

    /// Learns from what came of a request.
    pub(super) fn record_outcome(&mut self, outcome: CallOutcome, took: Duration, now: Instant) {
        self.limit.on_reply(outcome, took, now);
        if matches!(outcome, CallOutcome::Done(_)) {
            self.service.add(took);
        }
    }

    /// Returns how fast calls leave the queue; at once before the first reply.
    pub(super) fn service(&self) -> ServiceRate {
        ServiceRate {
            time: self.service.get().unwrap_or_default(),
            limit: self.slot_limit(),
        }
    }

    /// Returns whether nothing is in use.
    pub(super) fn is_unused(&self) -> bool {
        self.running == 0 && self.open == 0 && self.queue.is_empty()
    }
}
