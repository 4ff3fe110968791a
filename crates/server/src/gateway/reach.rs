//! Checks of whether this VM reaches the backend servers.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::policy::reach::{Reach, ReachTable};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify, watch},
    time::timeout,
};

use super::Gateway;
use crate::{control::ControlHandle, metrics::Metrics, sockets, timer::Timer};

/// The number of backend servers that a check tries at most.
const CHECK_SERVERS: usize = 5;
/// The time limit for the connection that a check opens first.
const FIRST_TIMEOUT: Duration = Duration::from_millis(100);
/// The time limit for the others: more than a busy link or processor delays them.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the connection of a check must stay open. What stands between this VM and a server, such as
/// a proxy, may accept connections and then reset them.
const OPEN_TIME: Duration = Duration::from_millis(50);
/// The same while this VM reaches no backend server: requests are served by other VMs meanwhile, so that a
/// late reset costs more than a late end of the cut.
const OPEN_TIME_DETACHED: Duration = Duration::from_millis(300);
/// The pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(250);

/// What this process knows about whether it reaches the backend servers.
#[derive(Debug)]
pub(super) struct ReachMonitor {
    table: Mutex<ReachTable>,
    /// Whether this VM reaches no backend server.
    detached: watch::Sender<bool>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    /// Wakes the task that checks.
    suspicion: Notify,
    /// Held during a check, so that there is one at a time.
    checking: AsyncMutex<()>,
}

impl ReachMonitor {
    pub(super) fn new(control: ControlHandle, metrics: Arc<Metrics>) -> Self {
        Self {
            table: Mutex::default(),
            detached: watch::Sender::new(false),
            control,
            metrics,
            suspicion: Notify::new(),
            checking: AsyncMutex::default(),
        }
    }

    /// Returns whether this VM reaches no backend server.
    pub(super) fn is_detached(&self) -> bool {
        *self.detached.borrow()
    }

    /// Waits until this VM reaches no backend server.
    pub(super) async fn wait_for_loss(&self) {
        let mut detached = self.detached.subscribe();
        // The sender is part of the monitor, so it is not dropped meanwhile.
        drop(detached.wait_for(|detached| *detached).await);
    }

    /// Tells the requests and the other VMs whether this VM reaches the backend servers. The table stays
    /// locked meanwhile, so that an older state can't replace a newer one.
    fn announce(&self, table: &ReachTable) {
        let is_detached = table.reach() == Reach::Detached;
        self.detached.send_replace(is_detached);
        self.control.set_detached(is_detached);
    }

    /// Records that a connection to a backend server was opened and works.
    pub(super) fn on_opened(&self) {
        let mut table = self.lock();
        if table.on_opened(Timer.now()) {
            self.announce(&table);
            self.metrics.count("gateway.attached");
            log::info!("gateway: Backend servers can be reached again.");
        }
    }

    /// Records that no connection to a backend server could be opened, or that a new one broke.
    pub(super) fn on_open_failed(&self, error: io::ErrorKind) {
        self.metrics.count(match error {
            io::ErrorKind::TimedOut => "gateway.open_timeout",
            io::ErrorKind::ConnectionRefused => "gateway.open_refused",
            _ => "gateway.open_failed",
        });
        if self.lock().is_suspect(Timer.now()) {
            self.suspicion.notify_one();
        }
    }

    /// Records that the reply to a call is overdue.
    pub(super) fn on_overdue(&self) {
        if self.lock().is_silent(Timer.now()) {
            self.suspicion.notify_one();
        }
    }

    /// Records a reply of a backend server.
    pub(super) fn on_reply(&self) {
        self.lock().on_reply(Timer.now());
    }

    fn lock(&self) -> MutexGuard<'_, ReachTable> {
        // Each step under the lock leaves the table consistent, so a poisoned lock is safe to use.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Checks whether this VM reaches the backend servers: on a suspicion, and periodically while it
    /// does not.
    pub(super) async fn watch_reach(self: Arc<Self>) {
        loop {
            if !self.reach.is_detached() {
                self.reach.suspicion.notified().await;
            }
            self.check_reach().await;
            Timer.after(CHECK_PAUSE).await;
        }
    }

    /// Returns whether this VM has reached any backend server since a time, after a check if need be.
    pub(super) async fn has_reached_since(&self, time: Instant) -> bool {
        let known = self.reach.lock().reached_since(time);
        if let Some(reached) = known {
            return reached;
        }
        let checking = self.reach.checking.lock().await;
        let known = self.reach.lock().reached_since(time);
        if let Some(reached) = known {
            return reached;
        }
        self.open_any().await;
        drop(checking);
        self.reach.lock().reached_since(time).unwrap_or_default()
    }

    async fn check_reach(&self) {
        let _checking = self.reach.checking.lock().await;
        self.open_any().await;
    }

    /// Opens connections to some backend servers until one opens.
    async fn open_any(&self) {
        let began = Timer.now();
        let servers = self.servers.sample(CHECK_SERVERS);
        let Some((first, others)) = servers.split_first() else {
            return;
        };
        if self.opens(*first, FIRST_TIMEOUT).await {
            return;
        }
        let mut opening: FuturesUnordered<_> = others
            .iter()
            .map(|address| self.opens(*address, CHECK_TIMEOUT))
            .collect();
        while let Some(opened) = opening.next().await {
            if opened {
                return;
            }
        }
        let mut table = self.reach.lock();
        if table.on_check_failed(began) {
            self.reach.announce(&table);
            self.node.metrics.count("gateway.detached");
            log::warn!(
                "gateway: No backend server can be reached: no connection to any of {} opened within {} ms.",
                servers.len(),
                Timer.now().saturating_duration_since(began).as_millis()
            );
        }
    }

    /// Returns whether a connection to an address opens in time and stays open.
    async fn opens(&self, address: SocketAddr, limit: Duration) -> bool {
        match timeout(limit, sockets::connect(address)).await {
            Ok(Ok(stream)) => {
                let open_time = if self.reach.is_detached() {
                    OPEN_TIME_DETACHED
                } else {
                    OPEN_TIME
                };
                // An idle connection has nothing to read until it breaks.
                let is_open = timeout(open_time, stream.readable()).await.is_err();
                if is_open {
                    self.reach.on_opened();
                }
                is_open
            }
            Ok(Err(error)) => {
                log::debug!("gateway: A check of {address} failed: {error}.");
                false
            }
            Err(_) => {
                log::debug!("gateway: A check of {address} timed out.");
                false
            }
        }
    }
}
