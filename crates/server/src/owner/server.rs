//! One backend server as its owner sees it.

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

/// How long no connection is opened in advance after one failed.
const WARM_PAUSE: Duration = Duration::from_millis(500);

/// One backend server: its gate and what all servers share.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) settings: OwnerSettings,
    pub(super) metrics: Arc<Metrics>,
    pub(super) handle: Handle,
    pool: Mutex<ServerPool<Waiter>>,
}

/// What the entry is told of a backend server with each reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadReport {
    /// The calls that wait.
    pub(super) queued: u32,
    /// How long one more call would wait.
    pub(super) wait: Duration,
    /// The load that the backend server told last.
    pub(super) load: ServerLoad,
}

impl Server {
    /// Makes a server with nothing in use.
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

    /// Applies a new share: refuses the queue when the server is lost, opens connections else.
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
            self.warm();
        }
    }

    /// Asks for a slot for a call.
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
        let (service, policy) = (pool.service(), pool.share.policy);
        let pushed = pool.queue.push(entry, sender, service, &policy);
        drop(pool);
        match pushed {
            Ok(displaced) => self.refuse(displaced, QueueRefusal::Displaced),
            Err(refusal) => return Err(self.refusal(refusal)),
        }
        let place = QueuePlace::new(Arc::clone(self), id, receiver);
        Ok(Admission::Waiting(place))
    }

    /// Counts a refusal of the queue and returns what the entry is told.
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

    /// Lets waiting calls pass while there are slots and connections.
    pub(super) fn dispatch(self: &Arc<Self>) {
        let now = Instant::now();
        let mut ready = Vec::new();
        let expired = {
            let mut pool = self.lock();
            let service = pool.service();
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
        // A grant whose receiver is gone gives its slot back when dropped, so the lock is free.
        for (waiter, source) in ready {
            drop(waiter.send(Ok(self.grant(source))));
        }
        for (waiter, refusal) in expired {
            self.refuse([waiter], refusal);
        }
    }

    /// Takes an idle lane.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        self.lock().take_idle()
    }

    /// Takes an idle lane or leave to open a connection, without a slot.
    pub(super) fn take_connection(self: &Arc<Self>) -> Option<Result<Connection, OpenPermit>> {
        let mut pool = self.lock();
        if let Some(connection) = pool.take_idle() {
            return Some(Ok(connection));
        }
        let reserved = pool.reserve_open();
        drop(pool);
        reserved.then(|| Err(OpenPermit::new(Arc::clone(self))))
    }

    /// Takes leave to open a connection.
    pub(super) fn reserve_open(self: &Arc<Self>) -> Option<OpenPermit> {
        let reserved = self.lock().reserve_open();
        reserved.then(|| OpenPermit::new(Arc::clone(self)))
    }

    /// Returns the instant from which on the share allows no call to be sent.
    pub(super) fn valid_until(&self) -> Option<Instant> {
        self.lock().share.valid_until
    }

    /// Keeps a lane for later use.
    pub(super) fn put_idle(self: &Arc<Self>, connection: Connection) {
        self.lock().put_idle(connection);
        self.dispatch();
    }

    /// Learns from what came of a request.
    pub(super) fn record_outcome(&self, outcome: CallOutcome, took: Duration) {
        self.lock().record_outcome(outcome, took, Instant::now());
    }

    /// Notes the load that a reply told.
    pub(super) fn set_load(&self, load: ServerLoad) {
        self.lock().load = load;
    }

    /// Sends nothing for a while to a backend server that said it is leaving.
    pub(super) fn hold(&self) {
        let until = Instant::now() + self.settings.hold.0;
        let waiters = {
            let mut pool = self.lock();
            pool.hold_until = Some(until);
            pool.queue.drain()
        };
        refuse_all(waiters, &CallRefusal::Leaving);
    }

    /// Returns where the backend server listens.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.lock().share.address
    }

    /// Returns the calls that wait, how long one more would wait, and the load last told.
    pub(super) fn report(&self) -> LoadReport {
        let pool = self.lock();
        let queued = pool.queue.len();
        LoadReport {
            queued,
            wait: pool.service().wait(queued),
            load: pool.load,
        }
    }

    /// Returns the slots in use and the connections that are open, opening or closing.
    pub(super) fn usage(&self) -> (u32, u32) {
        let pool = self.lock();
        (pool.running, pool.open)
    }

    /// Returns whether nothing is in use.
    pub(super) fn is_unused(&self) -> bool {
        self.lock().is_unused()
    }

    fn warm(self: &Arc<Self>) {
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
