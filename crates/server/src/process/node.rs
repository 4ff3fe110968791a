//! The state that the parts of one process share, and the routing of shard calls to owners.

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

/// The pause before the search for the owner of a backend server is repeated, during which a
/// handover may complete.
const HANDOVER_PAUSE: Duration = Duration::from_millis(60);

/// The largest number of VMs to which one shard call is sent in search of the owner.
const MAX_HOPS: usize = 3;

/// The state that the parts of one process share.
#[derive(Debug)]
pub struct Node {
    /// The settings with which the process was started.
    pub settings: Settings,
    /// The handle to the control thread.
    pub control: ControlHandle,
    /// The counters and latency histograms.
    pub metrics: Arc<Metrics>,
    /// The journal of recent decisions.
    pub journal: Arc<Journal>,
    /// The owner role, which calls the backend servers that this process owns.
    pub owner: Arc<Owner>,
    /// The policy tables of the entry role.
    pub policy: PolicyTables,
    /// The connections to peers.
    pub peers: PeerTable,
    /// The requests in flight and the address answers that a leaving process waits for.
    pub drain: Arc<Drain>,
    /// The jobs submitted under tickets that this run of the process issued.
    pub jobs: JobStore,
    sequence: AtomicU64,
    /// The gateway, once it was created. The reference is weak because the gateway holds this node.
    gateway: OnceLock<Weak<Gateway>>,
}

impl Node {
    /// Creates a node from its parts.
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

    /// Sets the gateway, for the server of peers' requests. Only the first call has an effect.
    pub(crate) fn set_gateway(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Returns the gateway, or `None` if this process has none.
    pub(crate) fn gateway(&self) -> Option<Arc<Gateway>> {
        self.gateway.get()?.upgrade()
    }

    /// Returns the key for a new request.
    #[must_use]
    pub fn next_key(&self) -> RequestKey {
        RequestKey {
            incarnation: self.control.view().own.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Sends a shard call to the owner of its backend server, in this process or another.
    ///
    /// A VM did not run the call if it replies that it does not own the server, or if the call
    /// could not be sent to it. The call is then sent to the owner that the VM named, or else to
    /// the standby. While a server is being handed over it has no owner for a moment, so if no
    /// owner was found, the owner is looked up once more after a pause, in the newest view.
    ///
    /// # Errors
    /// Returns an error if no VM gave a reply.
    pub async fn call_shard(
        &self,
        view: &FleetView,
        call: ShardCall,
    ) -> Result<ShardReply, CallError> {
        let deadline = Timer.now() + call.remaining.0;
        let result = self.search_owner(view, &call, deadline).await;
        let retry_at = Timer.now() + HANDOVER_PAUSE;
        if matches!(next_step(&result), NextStep::Return) || retry_at >= deadline {
            return result;
        }
        Timer.at(retry_at).await;
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
        let Some(ownership) = view.owners.get(&call.server) else {
            return Err(CallError::NoOwner);
        };
        let mut next = ownership
            .owner
            .clone()
            .or_else(|| ownership.standby.clone());
        let mut tried: Vec<VmId> = Vec::new();
        let mut result = Err(CallError::NoOwner);
        while let Some(vm) = next.filter(|vm| tried.len() < MAX_HOPS && !tried.contains(vm)) {
            let call = ShardCall {
                remaining: deadline.saturating_duration_since(Timer.now()).into(),
                ..call.clone()
            };
            result = self.call_owner(view, &vm, call).await;
            let NextStep::Redirect(named) = next_step(&result) else {
                return result;
            };
            self.metrics.count("entry.redirected");
            tried.push(vm);
            next = named
                .filter(|vm| !tried.contains(vm))
                .or_else(|| ownership.standby.clone());
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
        let context = peers::context_until(Timer.now() + call.remaining.0);
        let result = peers::call_shard(&client, context, call).await;
        result.map_err(|error| {
            self.peers.on_call_failed(vm, &error, &self.metrics);
            CallError::Peer(error)
        })
    }
}

/// The next step for a shard call after it was sent to a VM.
enum NextStep {
    /// The result is final.
    Return,
    /// No owner was reached and the call provably did not run, so the call goes to another VM: to
    /// the named owner if there is one.
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

/// The reason why a shard call has no reply.
#[derive(Debug)]
pub enum CallError {
    /// No VM is known to own the backend server.
    NoOwner,
    /// The VM to which the call was sent gave no reply.
    Peer(PeerError),
}
