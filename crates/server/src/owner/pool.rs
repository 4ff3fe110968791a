//! The slots and connections of one backend server, and the queue of calls that wait for them.

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

/// The period between two health checks of a backend server, which is shorter than the default
/// pause of calls to a server that said it is leaving.
const HEALTH_PERIOD: Duration = Duration::from_millis(700);

/// The share of one backend server that a fleet view grants this process.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// The address on which the backend server listens.
    pub(super) address: SocketAddr,
    /// The number of requests that this process may run on the backend server at once.
    pub(super) slots: u32,
    /// The number of connections that this process may hold to the backend server.
    pub(super) connections: u32,
    /// The number of connections to open in advance; a standby holds them without having slots.
    pub(super) warm: u32,
    /// The instant from which no call may be started without a newer share.
    pub(super) valid_until: Option<Instant>,
    /// Whether the backend server is leaving.
    pub(super) leaving: bool,
    /// The owner of the backend server, as far as this process knows.
    pub(super) owner: Option<VmId>,
    /// The policy of the queue of calls.
    pub(super) policy: QueuePolicy,
}

impl Share {
    /// Returns whether this process may run requests on or hold connections to the backend server.
    pub(super) const fn is_granted(&self) -> bool {
        self.slots > 0 || self.connections > 0
    }
}

/// The slots and connections of one backend server, and the calls that wait for them.
///
/// The number of open connections includes those that are being opened or closed.
#[derive(Debug)]
pub(super) struct ServerPool<W> {
    pub(super) share: Share,
    pub(super) running: u32,
    pub(super) open: u32,
    pub(super) idle: VecDeque<Connection>,
    pub(super) queue: WaitQueue<W>,
    pub(super) sequence: u64,
    pub(super) load: ServerLoad,
    pub(super) paused_until: Option<Instant>,
    pub(super) warm_after: Option<Instant>,
    checked_at: Instant,
    limit: ConcurrencyLimit,
    service_time: MovingAverage,
}

/// The way in which a granted call gets its connection.
#[derive(Debug)]
pub(super) enum ConnectionSource {
    /// An idle connection.
    Idle(Connection),
    /// A new connection, which is counted as open already.
    New,
}

impl<W> ServerPool<W> {
    /// Creates a pool with no slot and no connection in use.
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
            paused_until: None,
            warm_after: None,
            checked_at: now,
            service_time: MovingAverage::default(),
        }
    }

    /// Returns the refusal of new calls; `None` if calls may be sent.
    pub(super) fn refusal(&self, now: Instant) -> Option<CallRefusal> {
        if self.share.slots == 0 || self.share.connections == 0 {
            let owner = self.share.owner.clone();
            return Some(CallRefusal::NotOwner { owner });
        }
        if self.share.leaving || self.paused_until.is_some_and(|until| now < until) {
            return Some(CallRefusal::Leaving);
        }
        None
    }

    /// Takes a slot and a connection, or returns `None` if no slot or no connection is free or the
    /// share is no longer valid.
    pub(super) fn take_slot(&mut self) -> Option<ConnectionSource> {
        let is_expired = self
            .share
            .valid_until
            .is_some_and(|until| Instant::now() >= until);
        if is_expired || self.running >= self.slot_limit() {
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

    /// Takes the idle connection that was returned last.
    pub(super) fn take_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop_back() {
            if !connection.is_closed() && connection.address == self.share.address {
                return Some(connection);
            }
        }
        None
    }

    /// Counts one more open connection if the share allows it, and returns whether it does.
    pub(super) fn reserve_open(&mut self) -> bool {
        if self.open >= self.share.connections {
            return false;
        }
        self.open += 1;
        true
    }

    /// Keeps a connection for later use, or drops it if it is closed, exceeds a share that shrank,
    /// or leads to a former address of the server.
    pub(super) fn put_idle(&mut self, connection: Connection) {
        let fits = self.open <= self.share.connections;
        if fits && !connection.is_closed() && connection.address == self.share.address {
            self.idle.push_back(connection);
        }
    }

    /// Drops idle connections that are closed, lead to a former address or exceed the share.
    pub(super) fn trim_idle(&mut self) {
        let address = self.share.address;
        self.idle
            .retain(|connection| !connection.is_closed() && connection.address == address);
        let excess = self.open.saturating_sub(self.share.connections) as usize;
        self.idle.drain(..excess.min(self.idle.len()));
    }

    /// Returns the number of connections to open in advance.
    pub(super) fn missing_warm(&self, now: Instant) -> u32 {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        if is_paused || self.share.leaving || self.warm_after.is_some_and(|after| now < after) {
            return 0;
        }
        let target = self.share.warm.min(self.share.connections);
        target.saturating_sub(self.open)
    }

    /// Returns whether a health check is due, and if so records that it is made now.
    pub(super) fn take_health_check(&mut self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.checked_at) >= HEALTH_PERIOD;
        if self.share.slots == 0 || !due {
            return false;
        }
        self.checked_at = now;
        true
    }

    /// Replaces the share.
    pub(super) fn set_share(&mut self, share: Share) {
        if self.share.address != share.address {
            self.warm_after = None;
        }
        self.limit.set_slots(share.slots);
        self.share = share;
    }

    /// Returns the number of requests that may run at once: the slots of the share, or fewer while
    /// the server sheds load.
    pub(super) fn slot_limit(&self) -> u32 {
        self.share.slots.min(self.limit.get())
    }

    /// Updates the adaptive limit and the mean service time with the outcome of a request.
    pub(super) fn record_outcome(&mut self, outcome: CallOutcome, took: Duration, now: Instant) {
        self.limit.on_reply(outcome, took, now);
        if matches!(outcome, CallOutcome::Done(_)) {
            self.service_time.add(took);
        }
    }

    /// Returns the rate at which calls leave the queue. The service time is zero before the first
    /// reply.
    pub(super) fn service_rate(&self) -> ServiceRate {
        ServiceRate {
            time: self.service_time.get().unwrap_or_default(),
            limit: self.slot_limit(),
        }
    }

    /// Returns whether no slot and no connection is in use and no call waits.
    pub(super) fn is_unused(&self) -> bool {
        self.running == 0 && self.open == 0 && self.queue.is_empty()
    }
}
