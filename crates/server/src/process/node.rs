//! What the parts of one process share.

use std::{
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{RequestKey, VmId},
    view::FleetView,
};
use cassialift_wire::peer::{CallRefusal, CallResult, ShardCall, ShardReply};
use tarpc::context;

use super::Drain;
use crate::{
    control::ControlHandle,
    entry::PolicyTables,
    entry::jobs::JobStore,
    gateway::Gateway,
    journal::Journal,
    metrics::Metrics,
    owner::Owner,
    peers::{self, PeerError, PeerTable},
    settings::Settings,
    timer::Timer,
};

/// How long to wait for a backend server that is changing hands.
const HANDOVER_PAUSE: Duration = Duration::from_millis(60);

/// The most VMs that one shard call is sent to in search of the owner.
const MAX_HOPS: usize = 3;

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
    pub owner: Arc<Owner>,
    /// What the entry has learned of backend servers.
    pub policy: PolicyTables,
    /// The connections to peers.
    pub peers: PeerTable,
    /// The requests in flight, which a leaving process waits for.
    pub drain: Arc<Drain>,
    /// The tickets that this run of the process holds.
    pub jobs: JobStore,
    sequence: AtomicU64,
    /// The gateway, once it is made; it holds this node, so that it is not held in turn.
    gateway: OnceLock<Weak<Gateway>>,
}

impl Node {
    /// Puts the parts together.
    #[must_use]
    pub fn new(
        settings: Settings,
        control: ControlHandle,
        metrics: Arc<Metrics>,
        journal: Arc<Journal>,
        owner: Arc<Owner>,
        peers: PeerTable,
        drain: Arc<Drain>,
    ) -> Self {
        Self {
            jobs: JobStore::new(settings.jobs),
            settings,
            control,
            metrics,
            journal,
            owner,
            peers,
            policy: PolicyTables::default(),
            drain,
            sequence: AtomicU64::new(0),
            gateway: OnceLock::new(),
        }
    }

    /// Makes the gateway known to those who serve peers.
    pub(crate) fn set_gateway(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Returns the gateway; none where this process has none.
    pub(crate) fn gateway(&self) -> Option<Arc<Gateway>> {
        self.gateway.get()?.upgrade()
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
    /// A VM that says that it does not own the server, or that could not be sent to, did not run
    /// the call, so that it goes on to the owner that was named, or else to the standby. While the
    /// server changes hands nobody owns it for a moment; the newest view is then tried once more.
    ///
    /// # Errors
    /// Returns why there is no reply.
    pub async fn call_shard(
        &self,
        view: &FleetView,
        call: ShardCall,
    ) -> Result<ShardReply, CallError> {
        let deadline = Timer.now() + call.remaining.0;
        let result = self.search_owner(view, &call, deadline).await;
        let again = Timer.now() + HANDOVER_PAUSE;
        if matches!(next_step(&result), NextStep::Return) || again >= deadline {
            return result;
        }
        Timer.at(again).await;
        self.metrics.count("entry.owner_searched_again");
        self.search_owner(&self.control.snapshot(), &call, deadline)
            .await
    }

    async fn search_owner(
        &self,
        view: &FleetView,
        call: &ShardCall,
        deadline: Instant,
    ) -> Result<ShardReply, CallError> {
        let Some(known) = view.owners.get(&call.server) else {
            return Err(CallError::NoOwner);
        };
        let mut next = known.owner.clone().or_else(|| known.standby.clone());
        let mut asked: Vec<VmId> = Vec::new();
        let mut result = Err(CallError::NoOwner);
        while let Some(vm) = next.filter(|vm| asked.len() < MAX_HOPS && !asked.contains(vm)) {
            let call = ShardCall {
                remaining: deadline.saturating_duration_since(Timer.now()).into(),
                ..call.clone()
            };
            result = self.call_owner(view, &vm, call).await;
            let NextStep::Redirect(named) = next_step(&result) else {
                return result;
            };
            self.metrics.count("entry.redirected");
            asked.push(vm);
            next = named
                .filter(|vm| !asked.contains(vm))
                .or_else(|| known.standby.clone());
        }
        result
    }

    async fn call_owner(
        &self,
        view: &FleetView,
        vm: &VmId,
        call: ShardCall,
    ) -> Result<ShardReply, CallError> {
        if *vm == view.own.vm {
            return Ok(self.owner.call(call).await);
        }
        let connected = self.peers.client(view, vm).await;
        let client = connected.map_err(CallError::Peer)?;
        let mut context = context::current();
        context.deadline = Timer.now() + call.remaining.0;
        let called = peers::call_shard(&client, context, call).await;
        called.map_err(|error| {
            self.peers.on_call_failed(vm, &error, &self.metrics);
            CallError::Peer(error)
        })
    }
}

/// Where a shard call goes after a VM was asked.
enum NextStep {
    /// Nowhere: the result stands.
    Return,
    /// To another VM, as the call was proved not run for want of an owner; it may be named.
    Redirect(Option<VmId>),
}

fn next_step(result: &Result<ShardReply, CallError>) -> NextStep {
    match result {
        Ok(reply) => match &reply.result {
            CallResult::NotRun(CallRefusal::NotOwner { owner }) => {
                NextStep::Redirect(owner.clone())
            }
            CallResult::Done { .. } | CallResult::NotRun(_) | CallResult::Unknown(_) => {
                NextStep::Return
            }
        },
        Err(CallError::Peer(error)) if error.is_unsent() => NextStep::Redirect(None),
        Err(CallError::NoOwner) => NextStep::Redirect(None),
        Err(CallError::Peer(_)) => NextStep::Return,
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
