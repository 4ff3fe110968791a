//! What the parts of one process share.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use cassialift_core::{
    ids::{RequestKey, VmId},
    request::MissingReason,
    view::FleetView,
};
use cassialift_wire::peer::{Contact, Ping, PingReply, ShardCall, ShardReply};
use tarpc::context;

use crate::{
    control::ControlHandle,
    journal::Journal,
    metrics::Metrics,
    owner::Owner,
    peers::{PeerError, PeerTable},
    settings::Settings,
    timer::Timer,
};

/// What the parts of one process share.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The control thread.
    pub control: ControlHandle,
    /// The counters.
    pub metrics: Arc<Metrics>,
    /// The journal of decisions.
    pub journal: Arc<Journal>,
    /// The edge to backend servers.
    pub owner: Owner,
    /// The connections to peers.
    pub peers: PeerTable,
    sequence: AtomicU64,
}

impl Node {
    /// Puts the parts together.
    #[must_use]
    pub fn new(
        settings: Settings,
        control: ControlHandle,
        metrics: Arc<Metrics>,
        journal: Arc<Journal>,
        owner: Owner,
    ) -> Self {
        Self {
            settings,
            control,
            metrics,
            journal,
            owner,
            peers: PeerTable::default(),
            sequence: AtomicU64::new(0),
        }
    }

    /// Returns the key of a new request.
    #[must_use]
    pub fn next_key(&self) -> RequestKey {
        RequestKey {
            incarnation: self.control.view().own.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Sends a shard call to the owner of its backend server, in this process or another.
    ///
    /// # Errors
    /// Returns why there is no reply.
    pub async fn call_shard(
        &self,
        view: &FleetView,
        call: ShardCall,
    ) -> Result<ShardReply, CallError> {
        let owner = view.owners.get(&call.server);
        let Some(vm) = owner.and_then(|owner| owner.owner.as_ref()) else {
            return Err(CallError::NoOwner);
        };
        if *vm == view.own.vm {
            return Ok(self.owner.call(call).await);
        }
        let connected = self.peers.client(view, vm).await;
        let client = connected.map_err(CallError::Peer)?;
        let mut context = context::current();
        context.deadline = Timer.now() + call.remaining.0;
        let called = client.call_shard(context, call).await;
        called.map_err(|error| {
            self.peers.forget(vm, &error);
            CallError::Peer(PeerError::Call(error))
        })
    }

    /// Returns this process's answer to a heartbeat.
    #[must_use]
    pub fn ping_reply(&self) -> PingReply {
        let view = self.control.view();
        PingReply {
            from: self.contact(&view),
            leaving: view.own.leaving,
            config: self.control.config().note(Timer.now()),
            load: 0,
            updates: Vec::new(),
        }
    }

    /// Pings a VM and returns whether it answered.
    pub async fn probe(&self, target: &VmId) -> bool {
        let view = self.control.pin();
        let Ok(client) = self.peers.client(&view, target).await else {
            return false;
        };
        let own = self.ping_reply();
        let ping = Ping {
            from: own.from,
            leaving: own.leaving,
            config: own.config,
            load: own.load,
            updates: own.updates,
        };
        client.ping(context::current(), ping).await.is_ok()
    }

    fn contact(&self, view: &FleetView) -> Contact {
        Contact {
            vm: Arc::clone(&view.own.vm),
            incarnation: view.own.incarnation,
            centre: Arc::clone(&view.own.centre),
            peers: self.settings.peers,
            callers: self.settings.callers,
        }
    }
}

/// Why a shard call has no reply.
#[derive(Debug)]
pub enum CallError {
    /// No VM owns the backend server.
    NoOwner,
    /// The owner gave no answer.
    Peer(PeerError),
}

impl CallError {
    /// Returns the reason that the shard is missing for.
    #[must_use]
    pub const fn missing(&self) -> MissingReason {
        match self {
            Self::NoOwner => MissingReason::NoOwner,
            Self::Peer(_) => MissingReason::Unreachable,
        }
    }
}
