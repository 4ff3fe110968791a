//! The owner role, which serves shard calls on the backend servers that this process owns.

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
    policy::outcome::{CallOutcome, UnknownCause},
    presets::QueuePolicy,
    view::{ConfigView, FleetView, OwnerView},
};
use cassialift_wire::peer::{CallFailure, CallRefusal, CallResult, ShardCall, ShardReply};
use tokio::runtime::Handle;

use super::{
    cancel::cancel,
    counters::OwnerCounter,
    decision::SendDecision,
    grant::{Admission, Grant},
    pool::Share,
    run::Run,
    server::{LoadReport, Server},
    settings::OwnerSettings,
};
use crate::metrics::Metrics;

/// The longest time to its deadline that a call is allowed; longer ones are shortened.
const MAX_REMAINING: Duration = Duration::from_hours(1);

type Servers = HashMap<ServerId, Arc<Server>>;

/// Serves shard calls on the backend servers that this process owns.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    metrics: Arc<Metrics>,
    handle: Handle,
    servers: ArcSwap<Servers>,
    entries: Mutex<ServerEntries>,
}

impl Owner {
    /// Creates an owner without backend servers, whose connections run on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new(settings: OwnerSettings, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            metrics,
            handle: Handle::current(),
            servers: ArcSwap::default(),
            entries: Mutex::default(),
        }
    }

    /// Applies the shares of a newly published view, and replaces broken connections that were
    /// opened in advance.
    pub fn apply(&self, view: &FleetView) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.update(view.config.as_ref());
        let mut shares = self.shares(view, &entries);
        let mut servers = Servers::clone(&self.servers.load());
        let owned = |id: &ServerId| shares.get(id).is_some_and(Share::is_granted);
        servers.retain(|id, server| owned(id) || !server.is_unused());
        for (id, server) in &servers {
            let share = shares.remove(id);
            server.apply(share.unwrap_or_else(|| removed_share(server.address(), view, id)));
        }
        shares.retain(|_, share| share.is_granted());
        for (id, share) in shares {
            let server = Arc::new(self.server(share.clone()));
            server.apply(share);
            servers.insert(id, server);
        }
        self.servers.store(Arc::new(servers));
    }

    /// Returns the number of slots in use and the number of connections that are open, opening or
    /// closing; `None` if this process has no pool for the server.
    #[must_use]
    pub fn usage(&self, server: &str) -> Option<(u32, u32)> {
        self.servers.load().get(server).map(|server| server.usage())
    }

    /// Runs a call. Dropping the future cancels the call.
    ///
    /// If the future is dropped before the request was sent, the request is never sent. If it was
    /// sent, the attempt is cancelled at the backend server, and its slot and connection stay in
    /// use until the reply arrives or the deadline and the grace period have passed.
    pub async fn call(&self, call: ShardCall) -> ShardReply {
        let now = Instant::now();
        let deadline = now + call.remaining.0.min(MAX_REMAINING);
        let call = Arc::new(call);
        let server = self.servers.load().get(&call.server).map(Arc::clone);
        let Some(server) = server else {
            let refusal = CallRefusal::NotOwner { owner: None };
            return reply(&call, CallResult::NotRun(refusal), LoadReport::default());
        };
        let result = match self.admit(&server, &call, now, deadline).await {
            Ok(grant) => execute(grant, &call, deadline).await,
            Err(refusal) => CallResult::NotRun(refusal),
        };
        reply(&call, result, server.report())
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
        let wait = tokio::time::timeout_at(deadline.into(), place.wait()).await;
        let result = wait.unwrap_or(Err(CallRefusal::Expired));
        if matches!(result, Err(CallRefusal::Expired)) {
            OwnerCounter::Expired.add(&self.metrics);
        }
        result
    }

    /// Collects the shares of the backend servers that this process may connect to or has a pool
    /// for.
    fn shares(&self, view: &FleetView, entries: &ServerEntries) -> HashMap<ServerId, Share> {
        let servers = self.servers.load();
        let overrides = view.owners.overrides.iter();
        let connectable = overrides.filter(|(_, owner)| owner.connections > 0);
        let ids = connectable.map(|(id, _)| id).chain(servers.keys());
        let policy = view
            .config
            .as_ref()
            .map(|config| config.policy.queue)
            .unwrap_or_default();
        ids.filter_map(|id| {
            let (entry, owner) = (entries.servers.get(id)?, view.owners.get(id)?);
            let valid_until = owner.valid_until.or(view.owners.valid_until);
            Some((Arc::clone(id), share(policy, entry, owner, valid_until)))
        })
        .collect()
    }

    fn server(&self, share: Share) -> Server {
        let metrics = Arc::clone(&self.metrics);
        Server::new(self.settings, metrics, self.handle.clone(), share)
    }
}

/// Runs a granted call until it ends or its deadline passes.
async fn execute(grant: Grant, call: &Arc<ShardCall>, deadline: Instant) -> CallResult {
    let decision = Arc::new(SendDecision::default());
    let server = Arc::clone(grant.server());
    let run = Run {
        grant,
        call: Arc::clone(call),
        deadline,
        decision: Arc::clone(&decision),
    };
    let mut guarded = CancelOnDrop {
        run: Some(Box::pin(run.execute())),
        server,
        call: Arc::clone(call),
        deadline,
        decision,
    };
    let Some(run) = guarded.run.as_mut() else {
        return CallResult::NotRun(CallRefusal::Cancelled);
    };
    if let Ok(result) = tokio::time::timeout_at(deadline.into(), run).await {
        guarded.run = None;
        return result;
    }
    if guarded.decision.cancel() {
        OwnerCounter::Expired.add(&guarded.server.metrics);
        return CallResult::NotRun(CallRefusal::Expired);
    }
    OwnerCounter::Timeout.add(&guarded.server.metrics);
    CallResult::Unknown(CallFailure::Timeout)
}

type RunFuture = Pin<Box<dyn Future<Output = CallResult> + Send>>;

/// A run that is cancelled when this is dropped.
struct CancelOnDrop {
    run: Option<RunFuture>,
    server: Arc<Server>,
    call: Arc<ShardCall>,
    deadline: Instant,
    decision: Arc<SendDecision>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        if self.decision.cancel() {
            return;
        }
        let server = Arc::clone(&self.server);
        let (request, attempt) = (self.call.request, self.call.attempt);
        let sent = Instant::now();
        let reply_deadline = self.deadline.max(Instant::now()) + server.settings.grace.0;
        self.server.handle.spawn(async move {
            let completion = tokio::time::timeout_at(reply_deadline.into(), run);
            let (completion, ()) = tokio::join!(completion, cancel(&server, request, attempt));
            if completion.is_err() {
                let took = sent.elapsed();
                server.record_outcome(CallOutcome::Unknown(UnknownCause::Timeout), took);
            } else {
                OwnerCounter::Late.add(&server.metrics);
            }
        });
    }
}

fn reply(call: &ShardCall, result: CallResult, report: LoadReport) -> ShardReply {
    ShardReply {
        request: call.request,
        attempt: call.attempt,
        shard: call.shard,
        server: Arc::clone(&call.server),
        result,
        queue_len: report.queue_len,
        queue_wait: report.queue_wait.into(),
        load: report.load,
    }
}

/// The published entries of all backend servers, cached until the configuration changes.
#[derive(Debug, Default)]
struct ServerEntries {
    config: Option<Arc<ConfigView>>,
    servers: HashMap<ServerId, ServerEntry>,
}

impl ServerEntries {
    fn update(&mut self, config: Option<&Arc<ConfigView>>) {
        let Some(config) = config else {
            return;
        };
        let known = self.config.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, config)) {
            return;
        }
        let indexes = config.indexes.values();
        let entries = indexes.flat_map(|index| &index.servers);
        self.servers = entries
            .map(|entry| (Arc::clone(&entry.id), entry.clone()))
            .collect();
        self.config = Some(Arc::clone(config));
    }
}

fn share(
    policy: QueuePolicy,
    entry: &ServerEntry,
    owner: &OwnerView,
    valid_until: Option<Instant>,
) -> Share {
    Share {
        address: entry.address,
        slots: owner.slots.min(entry.slots),
        connections: owner.connections.min(entry.connections),
        warm: if owner.slots > 0 {
            owner.slots
        } else {
            // A standby may use this many slots once its promise to the owner has expired.
            entry.slots.div_ceil(2)
        },
        valid_until,
        leaving: entry.state == ServerState::Leaving,
        owner: owner.owner.clone(),
        policy,
    }
}

/// Returns the empty share of a backend server that this process may no longer use.
fn removed_share(address: std::net::SocketAddr, view: &FleetView, id: &str) -> Share {
    let owner = view.owners.get(id).and_then(|owner| owner.owner.clone());
    Share {
        address,
        slots: 0,
        connections: 0,
        warm: 0,
        valid_until: None,
        leaving: true,
        owner,
        policy: QueuePolicy::default(),
    }
}
