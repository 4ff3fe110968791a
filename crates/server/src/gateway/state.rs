//! The state that all requests through the gateway share.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::ServerId,
    policy::{EntryTables, outcome::NotRunCause, replica::ServerNotice, server_limit::StatedLimit},
    view::{ConfigView, FleetView},
};
use cassialift_wire::platform::Dialect;
use tokio::sync::watch;

use super::{
    GatewaySettings, body_memory::BodyMemory, connections::ConnectionPools,
    continuations::Continuations, permits::PermitPools, poison::PoisonMemory, reach::ReachMonitor,
    reply_memory::ReplyMemory, servers::ServerTable,
};
use crate::{process::Node, timer::Timer};

/// How long before the kill a leaving process ends and answers the requests still in flight.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// The gateway of a process, shared by all its requests.
#[derive(Debug)]
pub struct Gateway {
    pub(super) node: Arc<Node>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) settings: GatewaySettings,
    pub(super) connections: ConnectionPools,
    pub(super) bodies: Arc<BodyMemory>,
    pub(super) replies: Arc<ReplyMemory>,
    pub(super) servers: ServerTable,
    pub(super) continuations: Continuations,
    pub(super) permits: PermitPools,
    pub(super) poison: PoisonMemory,
    pub(super) reach: Arc<ReachMonitor>,
    pub(super) started_at: Instant,
    /// Whether any backend server states a limit on its calls.
    has_limits: watch::Sender<bool>,
    /// The time at which requests in flight must end because the process is leaving; `None` before
    /// it leaves.
    shutdown_at: watch::Sender<Option<Instant>>,
}

impl Gateway {
    /// Returns the gateway of a process.
    #[must_use]
    pub fn new(node: Arc<Node>, dialect: Arc<dyn Dialect>, settings: GatewaySettings) -> Self {
        let reach = Arc::new(ReachMonitor::new(
            node.control.clone(),
            Arc::clone(&node.metrics),
        ));
        let connections = if settings.first_start {
            ConnectionPools::new(Arc::clone(&reach))
        } else {
            ConnectionPools::after_restart(Arc::clone(&reach), Timer.now())
        };
        let machine = node.settings.limits.memory_bytes();
        let seeds = node.settings.seeds.iter().copied();
        let other_seeds = seeds.filter(|seed| *seed != node.settings.peers).collect();
        Self {
            node,
            dialect,
            settings,
            connections,
            bodies: Arc::new(BodyMemory::new(machine)),
            replies: Arc::new(ReplyMemory::new(machine)),
            servers: ServerTable::new(other_seeds),
            continuations: Continuations::default(),
            permits: PermitPools::default(),
            poison: PoisonMemory::default(),
            reach,
            started_at: Timer.now(),
            has_limits: watch::Sender::new(false),
            shutdown_at: watch::Sender::new(None),
        }
    }

    /// Applies the backend servers of a view and its configuration.
    pub(super) fn sync(&self, view: &FleetView, config: &ConfigView) {
        // Most requests find no change and need no lock on the learned tables.
        if self.servers.is_synced(view, config) {
            return;
        }
        let now = Timer.now();
        let changed = self.with_tables(|tables| {
            let far_bias = self.settings.far_bias.0;
            let changed = self.servers.sync(view, config, far_bias, tables, now);
            self.update_limits(tables);
            if let Some(routes) = &config.routes {
                tables.priority.set_ranks(&routes.ranks);
            }
            changed
        });
        if changed {
            self.connections
                .retain(|server| self.servers.contains(server));
        }
    }

    /// Runs a function on the learned tables while holding their lock.
    pub(super) fn with_tables<R>(&self, run: impl FnOnce(&mut EntryTables) -> R) -> R {
        self.node.policy.decide(&self.node, run)
    }

    /// Returns why a backend server must not get a call that was meant for it; `None` if it may.
    pub(super) fn withdrawn(&self, server: &ServerId) -> Option<NotRunCause> {
        let now = Timer.now();
        let ready_in = self.with_tables(|tables| {
            let servers = std::slice::from_ref(server);
            tables.replicas.ready_in(servers, now)
        });
        match ready_in {
            Some(Duration::ZERO) => None,
            Some(_) => Some(NotRunCause::Paused),
            None if self.servers.is_evacuated(server) => Some(NotRunCause::Evacuated),
            None => Some(NotRunCause::Leaving),
        }
    }

    /// Records what a backend server stated in its reply to a call that was sent at `sent_at`.
    pub(super) fn on_notice(&self, server: &ServerId, notice: ServerNotice, sent_at: Instant) {
        // Nearly all replies state nothing new, and need no lock.
        let is_new_limit = match notice.limit {
            StatedLimit::Unknown => false,
            StatedLimit::Unlimited => self.has_limits(),
            StatedLimit::Limited(_) => true,
        };
        let is_cold = notice
            .cold
            .is_some_and(|time| !time.is_zero() || self.has_limits());
        let is_new = is_new_limit || is_cold;
        if notice.leaves_in.is_none() && notice.pause.is_none() && !is_new {
            return;
        }
        let now = Timer.now();
        self.with_tables(|tables| {
            tables.replicas.on_notice(server, notice, sent_at, now);
            self.update_limits(tables);
        });
    }

    /// Returns whether any backend server states a limit on its calls, without a lock on the learned
    /// tables.
    pub(super) fn has_limits(&self) -> bool {
        *self.has_limits.borrow()
    }

    /// Updates whether any backend server states a limit on its calls. The tables stay locked meanwhile,
    /// so that an older state can't replace a newer one.
    pub(super) fn update_limits(&self, tables: &EntryTables) {
        let has_limits = tables.replicas.has_limits();
        self.has_limits.send_if_modified(|known| {
            let is_new = *known != has_limits;
            *known = has_limits;
            is_new
        });
    }

    /// Waits until a backend server states a limit on its calls.
    pub(super) async fn wait_for_limits(&self) {
        let mut has_limits = self.has_limits.subscribe();
        // The sender is part of the gateway, so it is not dropped meanwhile.
        drop(has_limits.wait_for(|known| *known).await);
    }

    /// Records the backend servers that another VM knows to be leaving.
    pub(super) fn on_leaving(&self, servers: &[ServerId]) {
        let notice = ServerNotice {
            leaves_in: Some(self.settings.leave_time()),
            ..ServerNotice::default()
        };
        for server in servers {
            self.on_notice(server, notice, Timer.now());
        }
    }

    /// Sets the end of requests in flight, shortly before the leaving process is killed.
    pub(crate) fn leave(&self) {
        let remaining = self.settings.grace.0.saturating_sub(SHUTDOWN_MARGIN);
        self.shutdown_at.send_replace(Some(Timer.now() + remaining));
    }

    /// Returns the time until requests in flight must end because the process is leaving; `None` if it is
    /// not.
    pub(super) fn shutdown_in(&self, now: Instant) -> Option<Duration> {
        let shutdown_at = *self.shutdown_at.borrow();
        shutdown_at.map(|at| at.saturating_duration_since(now))
    }

    /// Waits until requests in flight must end because the process is leaving.
    pub(super) async fn wait_for_shutdown(&self) {
        let mut shutdown_at = self.shutdown_at.subscribe();
        let shutdown_at = shutdown_at.wait_for(Option::is_some).await;
        let at = shutdown_at.ok().and_then(|at| *at);
        match at {
            Some(at) => Timer.at(at).await,
            None => std::future::pending().await,
        }
    }
}
