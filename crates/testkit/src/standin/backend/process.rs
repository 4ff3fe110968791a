//! A process of backend server stand-ins, with an address through which tests control it.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cassialift_core::ids::{IndexVersion, ServerId};
use cassialift_wire::backend::{
    CANCEL_PATH, CancelReply, CancelRequest, HEALTH_PATH, RUN_PATH, RunRequest,
};
use serde::{Deserialize, Serialize};
use volo::net::Address;
use volo_http::{
    http::StatusCode,
    server::{
        extract::Json,
        route::{Router, get, post},
    },
};

use super::{BackendStats, Faults, HistoryFile, ProcessSettings, run::BackendServer};
use crate::standin::{ConnectionLimiter, READY_PATH, ServerHandle, serve::serve};

/// The path that changes backend servers; takes a [`BackendChange`].
pub const CHANGE_PATH: &str = "/admin/change";
/// The path that returns the [`BackendStats`] of each backend server.
pub const STATS_PATH: &str = "/admin/stats";

/// A change to the faults, index versions or warm-up of running backend server stand-ins.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendChange {
    /// The server to change; `None` for all.
    pub server: Option<ServerId>,
    /// The new faults; `None` keeps the current ones.
    pub faults: Option<Faults>,
    /// The index versions held from now on; `None` keeps the current ones.
    pub versions: Option<Vec<IndexVersion>>,
    /// Whether the warm-up starts again, as after a start of the server.
    pub cold: bool,
}

/// A set of running backend servers; dropping it stops them from accepting connections.
#[derive(Debug)]
pub struct BackendProcess {
    /// The address of each backend server.
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    servers: Arc<ServerTable>,
    _handles: Vec<ServerHandle>,
}

struct ServerTable(HashMap<ServerId, Arc<BackendServer>>);

impl std::fmt::Debug for ServerTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries(self.0.keys()).finish()
    }
}

impl BackendProcess {
    /// Starts backend servers.
    ///
    /// # Errors
    /// Returns an error if the history cannot be opened or an address cannot be listened on.
    pub async fn start(settings: ProcessSettings) -> io::Result<Self> {
        let history = settings.history.as_deref().map(HistoryFile::open);
        let history = history.transpose()?.map(Arc::new);
        let (mut servers, mut addresses) = (HashMap::new(), BTreeMap::new());
        let mut handles = Vec::new();
        for entry in settings.servers {
            let (id, address) = (ServerId::clone(&entry.server), entry.address);
            let backend = Arc::new(BackendServer::new(entry, history.clone()));
            let limiter = Arc::clone(&backend.limiter);
            let handle = serve(backend_routes(&backend), address, limiter).await?;
            addresses.insert(ServerId::clone(&id), handle.address());
            servers.insert(id, backend);
            handles.push(handle);
        }
        let servers = Arc::new(ServerTable(servers));
        if let Some(admin) = settings.admin {
            let limiter = Arc::new(ConnectionLimiter::new(usize::MAX, Duration::ZERO));
            handles.push(serve(admin_routes(&servers), admin, limiter).await?);
        }
        Ok(Self {
            addresses,
            servers,
            _handles: handles,
        })
    }

    /// Applies a change; returns `false` if the named server does not exist.
    #[must_use]
    pub fn change(&self, change: &BackendChange) -> bool {
        self.servers.change(change)
    }

    /// Returns the counters of each backend server.
    #[must_use]
    pub fn stats(&self) -> BTreeMap<ServerId, BackendStats> {
        self.servers.stats()
    }
}

impl ServerTable {
    fn change(&self, change: &BackendChange) -> bool {
        let Some(id) = &change.server else {
            self.0
                .values()
                .for_each(|server| apply_change(server, change));
            return true;
        };
        let Some(server) = self.0.get(id) else {
            return false;
        };
        apply_change(server, change);
        true
    }

    fn stats(&self) -> BTreeMap<ServerId, BackendStats> {
        let stats = |(id, server): (&ServerId, &Arc<BackendServer>)| {
            let stats = BackendStats {
                most_connections: server.limiter.max_open() as u64,
                refused_connections: server.limiter.refused_count(),
                ..server.lock().stats
            };
            (ServerId::clone(id), stats)
        };
        self.0.iter().map(stats).collect()
    }
}

fn apply_change(server: &BackendServer, change: &BackendChange) {
    if let Some(faults) = &change.faults {
        server.set_faults(faults.clone());
    }
    let mut state = server.lock();
    if let Some(versions) = &change.versions {
        state.versions.clone_from(versions);
    }
    if change.cold {
        state.reset_warmup();
    }
}

fn backend_routes(backend: &Arc<BackendServer>) -> Router {
    let (run, cancel, health) = (
        Arc::clone(backend),
        Arc::clone(backend),
        Arc::clone(backend),
    );
    Router::new()
        .route(
            RUN_PATH,
            post(
                async move |peer: Address, Json(request): Json<RunRequest>| {
                    let Address::Ip(peer) = peer else {
                        return Err(StatusCode::BAD_REQUEST);
                    };
                    Ok(run.run(peer, request).await)
                },
            ),
        )
        .route(
            CANCEL_PATH,
            post(async move |Json(request): Json<CancelRequest>| {
                let stopped = cancel.lock().cancel(request.request, request.attempt);
                Json(CancelReply { stopped })
            }),
        )
        .route(HEALTH_PATH, get(async move || Json(health.lock().health())))
}

fn admin_routes(servers: &Arc<ServerTable>) -> Router {
    let (change, stats) = (Arc::clone(servers), Arc::clone(servers));
    Router::new()
        .route(READY_PATH, get(async || "ready"))
        .route(
            CHANGE_PATH,
            post(async move |Json(request): Json<BackendChange>| {
                if change.change(&request) {
                    StatusCode::OK
                } else {
                    StatusCode::NOT_FOUND
                }
            }),
        )
        .route(STATS_PATH, get(async move || Json(stats.stats())))
}
