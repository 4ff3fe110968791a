//! What all requests through the gateway share.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    policy::EntryTables,
    view::{ConfigView, FleetView},
};
use cassialift_wire::platform::Dialect;
use tokio::sync::watch;

use super::{GatewaySettings, lanes::LaneTable, rests::Rests, roster::Servers};
use crate::{process::Node, timer::Timer};

/// How long before the kill a leaving process answers what is still in flight.
const CUT_MARGIN: Duration = Duration::from_millis(400);

/// What all requests through the gateway share.
#[derive(Debug)]
pub struct Gateway {
    pub(super) node: Arc<Node>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) settings: GatewaySettings,
    pub(super) lanes: LaneTable,
    pub(super) servers: Servers,
    pub(super) rests: Rests,
    /// When requests in flight have to end because the process does; none before it leaves.
    cut: watch::Sender<Option<Instant>>,
}

impl Gateway {
    /// Makes the gateway of a process.
    #[must_use]
    pub fn new(node: Arc<Node>, dialect: Arc<dyn Dialect>, settings: GatewaySettings) -> Self {
        let lanes = if settings.first_start {
            LaneTable::default()
        } else {
            LaneTable::of_replacement(Timer.now())
        };
        Self {
            node,
            dialect,
            settings,
            lanes,
            servers: Servers::default(),
            rests: Rests::default(),
            cut: watch::Sender::new(None),
        }
    }

    /// Keeps the backend servers in step with a view.
    pub(super) fn sync(&self, view: &FleetView, config: &ConfigView) {
        // Most requests find nothing new; those leave the learned tables alone.
        if self.servers.is_synced(view, config) {
            return;
        }
        let now = Timer.now();
        let changed = self.decide(|tables| {
            let far_bias = self.settings.far_bias.0;
            self.servers.sync(view, config, far_bias, tables, now)
        });
        if changed {
            self.lanes.keep(|server| self.servers.knows(server));
        }
    }

    /// Takes one decision under the lock of the learned tables.
    pub(super) fn decide<R>(&self, run: impl FnOnce(&mut EntryTables) -> R) -> R {
        self.node.policy.decide(&self.node, run)
    }

    /// Declares that the process leaves, and when it will be killed at the latest.
    pub(crate) fn leave(&self) {
        let left = self.settings.grace.0.saturating_sub(CUT_MARGIN);
        self.cut.send_replace(Some(Timer.now() + left));
    }

    /// Waits until requests in flight have to end because the process does.
    pub(super) async fn cut(&self) {
        let mut cut = self.cut.subscribe();
        let known = cut.wait_for(Option::is_some).await;
        let at = known.ok().and_then(|at| *at);
        match at {
            Some(at) => Timer.at(at).await,
            None => std::future::pending().await,
        }
    }
}
