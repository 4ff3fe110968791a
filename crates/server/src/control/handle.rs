//! Access to the control thread from traffic threads.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use cassialift_core::{ids::VmId, view::FleetView};
use cassialift_wire::peer::{ConfigPull, ConfigPush, ConfigSummary, Ping, PingReply};
use tokio::sync::{mpsc, oneshot};

use super::{ConfigState, Event};

/// Access to the control thread from traffic threads.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) view: Arc<ArcSwap<FleetView>>,
    pub(super) config: Arc<ArcSwap<ConfigState>>,
    pub(super) events: mpsc::Sender<Event>,
}

impl ControlHandle {
    /// Returns the newest view for a short look.
    #[must_use]
    pub fn view(&self) -> Guard<Arc<FleetView>> {
        self.view.load()
    }

    /// Returns the newest view to keep for a whole request.
    #[must_use]
    pub fn snapshot(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Returns what is known of the configuration besides what requests run under.
    #[must_use]
    pub fn config(&self) -> Arc<ConfigState> {
        self.config.load_full()
    }

    /// Tells the control thread something.
    ///
    /// An event is lost only when the control thread has ended, and the process with it.
    pub async fn send(&self, event: Event) {
        drop(self.events.send(event).await);
    }

    /// Tells the control thread something that it answers; none when it has ended.
    async fn request<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(event(sender)).await;
        receiver.await.ok()
    }

    /// Declares that this process is leaving and returns whether every VM that may name it to
    /// callers was told.
    pub async fn leave(&self) -> bool {
        self.request(Event::Leave).await.unwrap_or_default()
    }

    /// Answers a peer's heartbeat; none when the control thread has ended.
    pub async fn ping(&self, ping: Ping) -> Option<PingReply> {
        self.request(|reply| Event::Ping(Box::new(ping), reply))
            .await
    }

    /// Returns a heartbeat for whoever listens at a seed's address; none when the control thread
    /// has ended.
    pub(super) async fn seed_ping(&self) -> Option<Box<Ping>> {
        self.request(Event::SeedPing).await
    }

    /// Pings a VM and returns whether it answered.
    pub async fn probe(&self, target: VmId) -> bool {
        let answered = self.request(|reply| Event::Probe(target, reply)).await;
        answered.unwrap_or_default()
    }

    /// Returns the configuration documents changed after a revision.
    pub async fn pull(&self, pull: ConfigPull) -> ConfigPush {
        let push = self.request(|reply| Event::Pull(pull, reply)).await;
        push.unwrap_or(ConfigPush {
            note: ConfigSummary::default(),
            after: 0,
            documents: Vec::new(),
            more: false,
        })
    }
}
