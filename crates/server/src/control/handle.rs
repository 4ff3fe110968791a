//! Access to the control thread from traffic threads.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use arc_swap::{ArcSwap, Guard};
use cassialift_core::{ids::VmId, view::FleetView};
use cassialift_wire::peer::{ConfigPull, ConfigPullReply, Ping, PingReply};
use tokio::sync::{mpsc, oneshot};

use super::{ConfigState, Event};

/// Access to the control thread from traffic threads.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) view: Arc<ArcSwap<FleetView>>,
    pub(super) config: Arc<ArcSwap<ConfigState>>,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) detached: Arc<AtomicBool>,
}

impl ControlHandle {
    /// Returns the newest view, to be held only briefly.
    #[must_use]
    pub fn view(&self) -> Guard<Arc<FleetView>> {
        self.view.load()
    }

    /// Returns the newest view for the duration of a whole request.
    #[must_use]
    pub fn snapshot(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Returns the published state of the configuration; the configuration that requests run under
    /// is part of the view.
    #[must_use]
    pub fn config(&self) -> Arc<ConfigState> {
        self.config.load_full()
    }

    /// Sets whether this process reaches no backend server; other VMs learn it with the next tick.
    pub fn set_detached(&self, detached: bool) {
        self.detached.store(detached, Ordering::Relaxed);
    }

    /// Sends an event to the control thread.
    ///
    /// An event is lost only when the control thread has ended, and the process with it.
    pub async fn send(&self, event: Event) {
        drop(self.events.send(event).await);
    }

    /// Sends an event to the control thread and returns its answer; `None` when the thread has
    /// ended.
    async fn request<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(event(sender)).await;
        receiver.await.ok()
    }

    /// Marks this process as leaving and returns whether every VM that may name it to callers was
    /// informed.
    pub async fn leave(&self) -> bool {
        self.request(Event::Leave).await.unwrap_or_default()
    }

    /// Returns the reply to a peer's heartbeat; `None` when the control thread has ended.
    pub async fn ping(&self, ping: Ping) -> Option<PingReply> {
        self.request(|reply| Event::Ping(Box::new(ping), reply))
            .await
    }

    /// Returns a heartbeat for whichever VM listens at a seed's address; `None` when the control
    /// thread has ended.
    pub(super) async fn seed_ping(&self) -> Option<Box<Ping>> {
        self.request(Event::SeedPing).await
    }

    /// Pings a VM and returns whether it answered.
    pub async fn probe(&self, target: VmId) -> bool {
        let answered = self.request(|reply| Event::Probe(target, reply)).await;
        answered.unwrap_or_default()
    }

    /// Returns the configuration documents changed after a position.
    pub async fn pull(&self, pull: ConfigPull) -> ConfigPullReply {
        let reply = self.request(|reply| Event::Pull(pull, reply)).await;
        reply.unwrap_or_default()
    }
}
