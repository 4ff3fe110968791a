//! The owner: serves shard calls on the backend servers that this process owns.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use cassialift_core::{
    ids::ServerId,
    index::{ServerEntry, ServerState},
    view::{ConfigView, FleetView, OwnerView},
};
use cassialift_wire::{
    backend::ServerLoad,
    peer::{CallFailure, CallRefusal, CallResult, ShardCall, ShardReply},
};
use tokio::runtime::Handle;

use super::{
    cancel::cancel,
    counters::OwnerCounter,
    gate::Share,
    mark::SendMark,
    run::Run,
    server::{Admission, Grant, Server},
    settings::OwnerSettings,
};
use crate::{control::ControlHandle, metrics::Metrics, timer::Timer};

/// The longest deadline that a call may name.
const LONGEST: Duration = Duration::from_hours(1);

/// How often new views are looked for.
const FOLLOW_PERIOD: Duration = Duration::from_millis(50);

type Servers = HashMap<ServerId, Arc<Server>>;

/// Serves shard calls on the backend servers that this process owns.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    metrics: Arc<Metrics>,
    handle: Handle,
    servers: ArcSwap<Servers>,
    applying: Mutex<()>,
}

impl Owner {
    /// Makes an owner without backend servers, whose connections live on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    #[must_use]
    pub fn new(settings: OwnerSettings, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            metrics,
            handle: Handle::current(),
            servers: ArcSwap::default(),
            applying: Mutex::new(()),
        }
    }

    /// Takes over the shares of a newly published view, and replaces warm connections that broke.
    pub fn apply(&self, view: &FleetView) {
        let _applying = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let mut shares = shares(view);
        let mut servers = Servers::clone(&self.servers.load());
        servers.retain(|id, server| shares.contains_key(id) || !server.is_unused());
        for (id, server) in &servers {
            let share = shares.remove(id);
            server.apply(share.unwrap_or_else(|| lost(server.address(), view, id)));
        }
        for (id, share) in shares {
            if share.slots == 0 {
                continue;
            }
            let server = Arc::new(self.server(share.clone()));
            server.apply(share);
            servers.insert(id, server);
        }
        self.servers.store(Arc::new(servers));
    }

    /// Returns the slots in use and the connections open, opening or closing, of a server.
    #[must_use]
    pub fn usage(&self, server: &str) -> Option<(u32, u32)> {
        self.servers.load().get(server).map(|server| server.usage())
    }

    /// Runs a call; dropping the future cancels it.
    ///
    /// A call that is dropped before its request was sent is never sent. One that was sent is
    /// cancelled at the backend server, and its slot and connection stay taken until the reply
    /// came or its time ran out.
    pub async fn call(&self, call: ShardCall) -> ShardReply {
        let now = Instant::now();
        let deadline = now + call.remaining.0.min(LONGEST);
        let call = Arc::new(call);
        let server = self.servers.load().get(&call.server).map(Arc::clone);
        let Some(server) = server else {
            let refusal = CallRefusal::NotOwner { owner: None };
            let load = ServerLoad::default();
            return reply(&call, CallResult::NotRun(refusal), 0, load);
        };
        let result = match self.admit(&server, &call, now, deadline).await {
            Ok(grant) => execute(grant, &call, deadline).await,
            Err(refusal) => CallResult::NotRun(refusal),
        };
        let (queued, load) = server.report();
        reply(&call, result, queued, load)
    }

    async fn admit(
        &self,
        server: &Arc<Server>,
        call: &ShardCall,
        now: Instant,
        deadline: Instant,
    ) -> Result<Grant, CallRefusal> {
        let mut place = match server.admit(call, now, deadline)? {
            Admission::Granted(grant) => return Ok(grant),
            Admission::Waiting(place) => place,
        };
        let waited = tokio::time::timeout_at(deadline.into(), place.wait()).await;
        let result = waited.unwrap_or(Err(CallRefusal::Expired));
        if matches!(result, Err(CallRefusal::Expired)) {
            OwnerCounter::Expired.add(&self.metrics);
        }
        result
    }

    fn server(&self, share: Share) -> Server {
        let metrics = Arc::clone(&self.metrics);
        Server::new(self.settings, metrics, self.handle.clone(), share)
    }
}

/// Applies each newly published view, until the process ends.
pub async fn follow(owner: &Owner, control: &ControlHandle) {
    let mut ticks = Timer.subscribe(FOLLOW_PERIOD);
    loop {
        ticks.next().await;
        owner.apply(&control.pin());
    }
}

/// Runs a granted call until its deadline.
async fn execute(grant: Grant, call: &Arc<ShardCall>, deadline: Instant) -> CallResult {
    let mark = Arc::new(SendMark::default());
    let server = Arc::clone(grant.server());
    let run = Run {
        grant,
        call: Arc::clone(call),
        deadline,
        mark: Arc::clone(&mark),
    };
    let mut attached = Attached {
        run: Some(Box::pin(run.execute())),
        server,
        call: Arc::clone(call),
        deadline,
        mark,
    };
    let Some(run) = attached.run.as_mut() else {
        return CallResult::NotRun(CallRefusal::Cancelled);
    };
    if let Ok(result) = tokio::time::timeout_at(deadline.into(), run).await {
        attached.run = None;
        return result;
    }
    if attached.mark.cancel() {
        OwnerCounter::Expired.add(&attached.server.metrics);
        return CallResult::NotRun(CallRefusal::Expired);
    }
    OwnerCounter::Timeout.add(&attached.server.metrics);
    CallResult::Unknown(CallFailure::Timeout)
}

type RunFuture = Pin<Box<dyn Future<Output = CallResult> + Send>>;

/// A run that somebody waits for; cancelled when dropped.
struct Attached {
    run: Option<RunFuture>,
    server: Arc<Server>,
    call: Arc<ShardCall>,
    deadline: Instant,
    mark: Arc<SendMark>,
}

impl Drop for Attached {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        if self.mark.cancel() {
            return;
        }
        let server = Arc::clone(&self.server);
        let (request, attempt) = (self.call.request, self.call.attempt);
        let give_up = self.deadline.max(Instant::now()) + server.settings.grace.0;
        self.server.handle.spawn(async move {
            let drained = tokio::time::timeout_at(give_up.into(), run);
            let (drained, ()) = tokio::join!(drained, cancel(&server, request, attempt));
            if drained.is_ok() {
                OwnerCounter::Late.add(&server.metrics);
            }
        });
    }
}

fn reply(call: &ShardCall, result: CallResult, queued: u32, load: ServerLoad) -> ShardReply {
    ShardReply {
        request: call.request,
        attempt: call.attempt,
        shard: call.shard,
        server: Arc::clone(&call.server),
        result,
        queued,
        load,
    }
}

/// Collects the shares of all backend servers that a view knows.
fn shares(view: &FleetView) -> HashMap<ServerId, Share> {
    let Some(config) = &view.config else {
        return HashMap::new();
    };
    let entries = config.indexes.values().flat_map(|index| &index.servers);
    entries
        .map(|entry| {
            let owner = view.owners.get(&entry.id);
            (Arc::clone(&entry.id), share(config, entry, owner))
        })
        .collect()
}

fn share(config: &ConfigView, entry: &ServerEntry, owner: Option<&OwnerView>) -> Share {
    Share {
        address: entry.address,
        slots: owner.map_or(0, |owner| owner.slots.min(entry.slots)),
        connections: owner.map_or(0, |owner| owner.connections.min(entry.connections)),
        until: owner.and_then(|owner| owner.until),
        leaving: entry.state == ServerState::Leaving,
        owner: owner.and_then(|owner| owner.owner.clone()),
        policy: config.policy.queue,
    }
}

/// The share of a backend server that no document names any more.
fn lost(address: std::net::SocketAddr, view: &FleetView, id: &str) -> Share {
    let owner = view.owners.get(id).and_then(|owner| owner.owner.clone());
    Share {
        address,
        slots: 0,
        connections: 0,
        until: None,
        leaving: true,
        owner,
        policy: cassialift_core::presets::QueuePolicy::default(),
    }
}
