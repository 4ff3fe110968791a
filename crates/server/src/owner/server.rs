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
    gate::{Gate, Passage, Share},
    grant::{Admission, Grant, OpenPermit, QueuePlace, Waiter},
    health,
    lane::Lane,
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
    gate: Mutex<Gate<Waiter>>,
}

/// What the entry is told of a backend server with each reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Report {
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
            gate: Mutex::new(Gate::new(share, Instant::now())),
        }
    }

    /// Applies a new share: refuses the queue when the server is lost, opens connections else.
    pub(super) fn apply(self: &Arc<Self>, share: Share) {
        let now = Instant::now();
        let (refused, warm, check) = {
            let mut gate = self.lock();
            gate.set_share(share);
            gate.trim_idle();
            let refused = gate
                .refusal(now)
                .map(|refusal| (gate.queue.drain(), refusal));
            (refused, gate.missing_warm(now), gate.take_check(now))
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
        let mut gate = self.lock();
        if let Some(refusal) = gate.refusal(now) {
            return Err(refusal);
        }
        if gate.queue.is_empty()
            && let Some(passage) = gate.pass()
        {
            drop(gate);
            return Ok(Admission::Granted(self.grant(passage)));
        }
        let id = gate.sequence;
        gate.sequence += 1;
        let entry = QueueEntry {
            id,
            caller: CallerId::clone(&call.caller),
            urgency: call.urgency,
            deadline,
            queued_at: now,
        };
        let (sender, receiver) = oneshot::channel();
        let (service, policy) = (gate.service(), gate.share.policy);
        let pushed = gate.queue.push(entry, sender, service, &policy);
        drop(gate);
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
            let mut gate = self.lock();
            let service = gate.service();
            let expired = gate.queue.expire(service, now);
            while !gate.queue.is_empty() {
                let Some(passage) = gate.pass() else {
                    break;
                };
                let policy = gate.share.policy;
                if let Some(waiter) = gate.queue.pop(&policy, now) {
                    ready.push((waiter, passage));
                }
            }
            expired
        };
        // A grant whose receiver is gone gives its slot back when dropped, so the lock is free.
        for (waiter, passage) in ready {
            drop(waiter.send(Ok(self.grant(passage))));
        }
        for (waiter, refusal) in expired {
            self.refuse([waiter], refusal);
        }
    }

    /// Takes an idle lane.
    pub(super) fn take_idle(&self) -> Option<Lane> {
        self.lock().take_idle()
    }

    /// Takes an idle lane or leave to open a connection, without a slot.
    pub(super) fn side_passage(self: &Arc<Self>) -> Option<Result<Lane, OpenPermit>> {
        let mut gate = self.lock();
        if let Some(lane) = gate.take_idle() {
            return Some(Ok(lane));
        }
        let reserved = gate.reserve_open();
        drop(gate);
        reserved.then(|| Err(OpenPermit::new(Arc::clone(self))))
    }

    /// Takes leave to open a connection.
    pub(super) fn reserve_open(self: &Arc<Self>) -> Option<OpenPermit> {
        let reserved = self.lock().reserve_open();
        reserved.then(|| OpenPermit::new(Arc::clone(self)))
    }

    /// Returns the instant from which on the share allows no call to be sent.
    pub(super) fn until(&self) -> Option<Instant> {
        self.lock().share.until
    }

    /// Keeps a lane for later use.
    pub(super) fn put_idle(self: &Arc<Self>, lane: Lane) {
        self.lock().put_idle(lane);
        self.dispatch();
    }

    /// Learns from what came of a request.
    pub(super) fn learn(&self, outcome: CallOutcome, took: Duration) {
        self.lock().learn(outcome, took, Instant::now());
    }

    /// Notes the load that a reply told.
    pub(super) fn set_load(&self, load: ServerLoad) {
        self.lock().load = load;
    }

    /// Sends nothing for a while to a backend server that said it is leaving.
    pub(super) fn hold(&self) {
        let until = Instant::now() + self.settings.hold.0;
        let waiters = {
            let mut gate = self.lock();
            gate.held = Some(until);
            gate.queue.drain()
        };
        refuse_all(waiters, &CallRefusal::Leaving);
    }

    /// Returns where the backend server listens.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        self.lock().share.address
    }

    /// Returns the calls that wait, how long one more would wait, and the load last told.
    pub(super) fn report(&self) -> Report {
        let gate = self.lock();
        let queued = gate.queue.len();
        Report {
            queued,
            wait: gate.service().wait(queued),
            load: gate.load,
        }
    }

    /// Returns the slots in use and the connections that are open, opening or closing.
    pub(super) fn usage(&self) -> (u32, u32) {
        let gate = self.lock();
        (gate.running, gate.open)
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
            let opened = Lane::open(server.address(), permit, limit, &server.handle).await;
            match opened {
                Ok(lane) => server.put_idle(lane),
                Err(_) => server.lock().warm_after = Some(Instant::now() + WARM_PAUSE),
            }
        });
    }

    fn grant(self: &Arc<Self>, passage: Passage) -> Grant {
        Grant::new(Arc::clone(self), passage)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Gate<Waiter>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse_all(waiters: Vec<Waiter>, refusal: &CallRefusal) {
    for waiter in waiters {
        drop(waiter.send(Err(refusal.clone())));
    }
}
