//! The owner's state of one backend server.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::CallerId,
    policy::{
        outcome::CallOutcome,
        queue::{QueueEntry, QueueRefusal},
    },
};
use cassialift_wire::{
    backend::ServerLoad,
    peer::{CallRefusal, ShardCall},
};
use tokio::{runtime::Handle, sync::oneshot};

use super::{
    connection::Connection,
    grant::{Admission, Grant, OpenPermit, QueuePlace, Waiter},
    health,
    pool::{ConnectionSource, ServerPool, Share},
    settings::OwnerSettings,
};
use crate::metrics::Metrics;

/// The pause after a connection failed to open before others are opened in advance.
const WARM_PAUSE: Duration = Duration::from_millis(500);

/// One backend server: its pool, and the settings, counters and runtime that all servers share.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) settings: OwnerSettings,
    pub(super) metrics: Arc<Metrics>,
    pub(super) handle: Handle,
    pool: Mutex<ServerPool<Waiter>>,
}

/// The load of a backend server, reported to the entry with each reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadReport {
    /// The number of waiting calls.
    pub(super) queue_len: u32,
    /// The expected wait of one more call.
    pub(super) queue_wait: Duration,
    /// The load that the backend server reported last.
    pub(super) load: ServerLoad,
}

impl Server {
    /// Creates a server with no slot and no connection in use.
    pub(super) fn new(
        settings: OwnerSettings,
        metrics: Arc<Metrics>,
        handle: Handle,
        share: Share,
    ) -> Self {
        Self {
            settings,
            metrics,
            handle,
            pool: Mutex::new(ServerPool::new(share, Instant::now())),
        }
    }

    /// Applies a new share: refuses the queued calls if no calls may be sent to the server any
    /// more, lets waiting calls proceed and opens connections in advance.
    pub(super) fn apply(self: &Arc<Self>, share: Share) {
        let now = Instant::now();
        let (refused, warm, check) = {
            let mut pool = self.lock();
            pool.set_share(share);
            pool.trim_idle();
            let refused = pool
                .refusal(now)
                .map(|refusal| (pool.queue.drain(), refusal));
            (refused, pool.missing_warm(now), pool.take_health_check(now))
        };
        if check {
            self.handle.spawn(health::check(Arc::clone(self)));
        }
        if let Some((waiters, refusal)) = refused {
            refuse_all(waiters, &refusal);
        }
        self.dispatch();
        for _ in 0..warm {
            self.open_warm();
        }
    }

    /// Requests a slot for a call.
    pub(super) fn admit(
        self: &Arc<Self>,
        call: &ShardCall,
        now: Instant,
        deadline: Instant,
    ) -> Result<Admission, CallRefusal> {
        let mut pool = self.lock();
        if let Some(refusal) = pool.refusal(now) {
            return Err(refusal);
        }
        if pool.queue.is_empty()
            && let Some(source) = pool.take_slot()
        {
            drop(pool);
            return Ok(Admission::Granted(self.grant(source)));
        }
        let id = pool.sequence;
        pool.sequence += 1;
        let entry = QueueEntry {
            id,
            caller: CallerId::clone(&call.caller),
            urgency: call.urgency,
            deadline,
            queued_at: now,
        };
        let (sender, receiver) = oneshot::channel();
        let (service, policy) = (pool.service_rate(), pool.share.policy);
        let pushed = pool.queue.push(entry, sender, service, &policy);
        drop(pool);
        match pushed {
            Ok(displaced) => self.refuse(displaced, QueueRefusal::Displaced),
            Err(refusal) => return Err(self.refusal(refusal)),
        }
        let place = QueuePlace::new(Arc::clone(self), id, receiver);
        Ok(Admission::Waiting(place))
    }

    /// Counts a refusal of the queue and returns the refusal to send to the entry.
    fn refusal(&self, refusal: QueueRefusal) -> CallRefusal {
        self.metrics.count(refusal.counter());
        match refusal {
            QueueRefusal::Full | QueueRefusal::CallerShare | QueueRefusal::Displaced => {
                CallRefusal::QueueFull
            }
            QueueRefusal::Infeasible => CallRefusal::Infeasible,
            QueueRefusal::Expired => CallRefusal::Expired,
        }
    }

    fn refuse(&self, waiters: impl IntoIterator<Item = Waiter>, refusal: QueueRefusal) {
        for waiter in waiters {
            drop(waiter.send(Err(self.refusal(refusal))));
        }
    }

    /// Refuses the calls that expired, and grants waiting calls the free slots and connections.
    pub(super) fn dispatch(self: &Arc<Self>) {
        let now = Instant::now();
        let mut ready = Vec::new();
        let expired = {
            let mut pool = self.lock();
            let service = pool.service_rate();
            let expired = pool.queue.expire(service, now);
            while !pool.queue.is_empty() {
                let Some(source) = pool.take_slot() else {
                    break;
                };
                let policy = pool.share.policy;
                if let Some(waiter) = pool.queue.pop(&policy, now) {
                    ready.push((waiter, source));
                }
            }
            expired
        };
        // A grant whose receiver is gone locks the pool to return its slot when it is dropped, so
        // the lock must not be held here.
        for (waiter, source) in ready {
            drop(waiter.send(Ok(self.grant(source))));
        }
        for (waiter, refusal) in expired {
            self.refuse([waiter], refusal);
        }
    }

    /// Takes the idle connection that was returned last.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        self.lock().take_idle()
    }

    /// Takes an idle connection or a permit to open one, without taking a slot.
    pub(super) fn take_connection(self: &Arc<Self>) -> Option<Result<Connection, OpenPermit>> {
        let mut pool = self.lock();
        if let Some(connection) = pool.take_idle() {
            return Some(Ok(connection));
        }
        let reserved = pool.reserve_open();
        drop(pool);
        reserved.then(|| Err(OpenPermit::new(Arc::clone(self))))
    }

    /// Takes a permit to open a connection.
    pub(super) fn reserve_open(self: &Arc<Self>) -> Option<OpenPermit> {
        let reserved = self.lock().reserve_open();
        reserved.then(|| OpenPermit::new(Arc::clone(self)))
    }

    /// Returns the instant from which the share allows no call to be sent.
    pub(super) fn valid_until(&self) -> Option<Instant> {
        self.lock().share.valid_until
    }

    /// Returns a connection to the pool and lets waiting calls proceed.
    pub(super) fn put_idle(self: &Arc<Self>, connection: Connection) {
        self.lock().put_idle(connection);
        self.dispatch();
    }

    /// Updates the adaptive limit and the mean service time with the outcome of a request.
    pub(super) fn record_outcome(&self, outcome: CallOutcome, took: Duration) {
        self.lock().record_outcome(outcome, took, Instant::now());
    }

    /// Records the load that a reply reported.
    pub(super) fn set_load(&self, load: ServerLoad) {
        self.lock().load = load;
    }

    /// Pauses calls to a backend server that said it is leaving, and refuses the queued ones.
    pub(super) fn pause(&self) {
        let until = Instant::now() + self.settings.hold.0;
        let waiters = {
            let mut pool = self.lock();
            pool.paused_until = Some(until);
            pool.queue.drain()
        };
        refuse_all(waiters, &CallRefusal::Leaving);
    }

    /// Returns the address on which the backend server listens.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.lock().share.address
    }

    /// Returns the number of waiting calls, the expected wait of one more, and the load last
    /// reported.
    pub(super) fn report(&self) -> LoadReport {
        let pool = self.lock();
        let queue_len = pool.queue.len();
        LoadReport {
            queue_len,
            queue_wait: pool.service_rate().wait(queue_len),
            load: pool.load,
        }
    }

    /// Returns the number of slots in use and of connections that are open, opening or closing.
    pub(super) fn usage(&self) -> (u32, u32) {
        let pool = self.lock();
        (pool.running, pool.open)
    }

    /// Returns whether no slot and no connection is in use and no call waits.
    pub(super) fn is_unused(&self) -> bool {
        self.lock().is_unused()
    }

    fn open_warm(self: &Arc<Self>) {
        let Some(permit) = self.reserve_open() else {
            return;
        };
        let server = Arc::clone(self);
        self.handle.spawn(async move {
            let limit = server.settings.connect.0;
            let opened = Connection::open(server.address(), permit, limit, &server.handle).await;
            match opened {
                Ok(connection) => server.put_idle(connection),
                Err(_) => server.lock().warm_after = Some(Instant::now() + WARM_PAUSE),
            }
        });
    }

    fn grant(self: &Arc<Self>, source: ConnectionSource) -> Grant {
        Grant::new(Arc::clone(self), source)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerPool<Waiter>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse_all(waiters: Vec<Waiter>, refusal: &CallRefusal) {
    for waiter in waiters {
        drop(waiter.send(Err(refusal.clone())));
    }
}
