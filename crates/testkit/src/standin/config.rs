//! The stand-in for the platform's configuration service.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::ids::Revision;
use cassialift_wire::platform::{CHANGES_PATH, Changes, Document};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use volo_http::{
    http::StatusCode,
    server::{
        extract::{Json, Query},
        route::{Router, get, post},
    },
};

use super::{ConnectionLimiter, READY_PATH, ServerHandle, serve::serve};

/// Publishes documents: posts a list of [`Edit`]s, gives the new revision.
pub const PUBLISH_PATH: &str = "/admin/publish";
/// Sets the [`ConfigMode`].
pub const MODE_PATH: &str = "/admin/mode";
/// Gives [`ConfigStats`].
pub const STATS_PATH: &str = "/admin/stats";

/// A change of one document.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Edit {
    /// The document's key.
    pub key: String,
    /// Its new text; none deletes it.
    pub text: Option<String>,
}

/// How the service answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigMode {
    /// Answers from the newest revision.
    #[default]
    Serving,
    /// Answers every read with an error.
    Down,
    /// Takes reads and never answers.
    Hanging,
    /// Answers as of an older revision, as a lagging replica does.
    Stale(Revision),
    /// Answers every read with all documents as of an older revision, whatever the reader holds, as
    /// a replica does that replays its log.
    Replaying(Revision),
}

/// What the service counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStats {
    /// The reads so far; a waiting watch counts as one.
    pub reads: u64,
    /// The newest revision.
    pub revision: Revision,
}

/// The service; dropping it stops new connections.
#[derive(Debug)]
pub struct ConfigService {
    /// The address it listens on.
    pub address: SocketAddr,
    store: Arc<Store>,
    _server: ServerHandle,
}

#[derive(Debug)]
struct Store {
    table: Mutex<Table>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Table {
    log: Vec<Document>,
    mode: ConfigMode,
    reads: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct ChangesQuery {
    #[serde(default)]
    after: Revision,
    #[serde(default)]
    wait: u64,
}

impl ConfigService {
    /// Starts the service on `address`.
    ///
    /// # Errors
    /// Returns why the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Arc::new(Store {
            table: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        let limiter = Arc::new(ConnectionLimiter::new(usize::MAX, Duration::ZERO));
        let server = serve(routes(&store), address, limiter).await?;
        Ok(Self {
            address: server.address(),
            store,
            _server: server,
        })
    }

    /// Publishes documents at one new revision.
    #[must_use]
    pub fn publish(&self, edits: Vec<Edit>) -> Revision {
        self.store.publish(edits)
    }

    /// Sets how the service answers.
    pub fn set_mode(&self, mode: ConfigMode) {
        self.store.set_mode(mode);
    }

    /// Returns what the service counted.
    #[must_use]
    pub fn stats(&self) -> ConfigStats {
        self.store.lock().stats()
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, edits: Vec<Edit>) -> Revision {
        let mut table = self.lock();
        let revision = table.newest() + 1;
        let documents = edits.into_iter().map(|edit| Document {
            key: edit.key,
            revision,
            text: edit.text,
        });
        table.log.extend(documents);
        drop(table);
        self.changed.send_replace(());
        revision
    }

    fn set_mode(&self, mode: ConfigMode) {
        self.lock().mode = mode;
        self.changed.send_replace(());
    }

    async fn changes(&self, query: ChangesQuery) -> Result<Changes, StatusCode> {
        let deadline = Instant::now() + Duration::from_millis(query.wait);
        let mut news = self.changed.subscribe();
        self.lock().reads += 1;
        loop {
            news.mark_unchanged();
            let found = self.lock().changes(query.after);
            match found {
                Found::Down => return Err(StatusCode::SERVICE_UNAVAILABLE),
                Found::Changes(changes)
                    if !changes.documents.is_empty() || Instant::now() >= deadline =>
                {
                    return Ok(changes);
                }
                Found::Changes(_) => {
                    let wait = tokio::time::sleep_until(deadline.into());
                    tokio::select! {
                        _ = news.changed() => {}
                        () = wait => {}
                    }
                }
                Found::Hanging => {
                    let _open = news.changed().await;
                }
            }
        }
    }
}

enum Found {
    Changes(Changes),
    Down,
    Hanging,
}

impl Table {
    fn newest(&self) -> Revision {
        self.log.last().map_or(0, |document| document.revision)
    }

    fn stats(&self) -> ConfigStats {
        ConfigStats {
            reads: self.reads,
            revision: self.newest(),
        }
    }

    fn changes(&self, after: Revision) -> Found {
        let newest = self.newest();
        let (revision, after) = match self.mode {
            ConfigMode::Serving => (newest, after),
            ConfigMode::Stale(revision) => (revision.min(newest), after),
            ConfigMode::Replaying(revision) => (revision.min(newest), 0),
            ConfigMode::Down => return Found::Down,
            ConfigMode::Hanging => return Found::Hanging,
        };
        let mut newest = BTreeMap::new();
        for document in &self.log {
            if document.revision <= revision {
                newest.insert(&document.key, document);
            }
        }
        let changed = newest.into_values().filter(|found| found.revision > after);
        Found::Changes(Changes {
            revision,
            complete: false,
            documents: changed.cloned().collect(),
        })
    }
}

fn routes(store: &Arc<Store>) -> Router {
    let (read, publish) = (Arc::clone(store), Arc::clone(store));
    let (mode, stats) = (Arc::clone(store), Arc::clone(store));
    Router::new()
        .route(READY_PATH, get(async || "ready"))
        .route(
            CHANGES_PATH,
            get(async move |Query(query): Query<ChangesQuery>| read.changes(query).await.map(Json)),
        )
        .route(
            PUBLISH_PATH,
            post(async move |Json(edits): Json<Vec<Edit>>| Json(publish.publish(edits))),
        )
        .route(
            MODE_PATH,
            post(async move |Json(new): Json<ConfigMode>| mode.set_mode(new)),
        )
        .route(STATS_PATH, get(async move || Json(stats.lock().stats())))
}
