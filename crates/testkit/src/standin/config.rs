//! A stand-in for the platform's configuration service.

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

/// The path that publishes documents: takes a list of [`Edit`]s and returns the new revision.
pub const PUBLISH_PATH: &str = "/admin/publish";
/// The path that sets the [`ConfigMode`].
pub const MODE_PATH: &str = "/admin/mode";
/// The path that returns the [`ConfigStats`].
pub const STATS_PATH: &str = "/admin/stats";

/// A change of one document.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Edit {
    /// The document's key.
    pub key: String,
    /// The new text; `None` deletes the document.
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
    /// Accepts reads but never answers them.
    Hanging,
    /// Answers as of an older revision, as a lagging replica does.
    Stale(Revision),
    /// Answers every read with all documents as of an older revision, whatever revision the reader
    /// has, as a replica does that replays its log.
    Replaying(Revision),
}

/// The counters of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStats {
    /// The number of reads so far; a long poll counts as one.
    pub reads: u64,
    /// The latest revision.
    pub revision: Revision,
}

/// A running service; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct ConfigService {
    /// The address that the service listens on.
    pub address: SocketAddr,
    store: Arc<ConfigStore>,
    _server: ServerHandle,
}

#[derive(Debug)]
struct ConfigStore {
    state: Mutex<StoreState>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct StoreState {
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
    /// Returns an error if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Arc::new(ConfigStore {
            state: Mutex::default(),
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

    /// Publishes all edits at one new revision and returns it.
    #[must_use]
    pub fn publish(&self, edits: Vec<Edit>) -> Revision {
        self.store.publish(edits)
    }

    /// Sets how the service answers.
    pub fn set_mode(&self, mode: ConfigMode) {
        self.store.set_mode(mode);
    }

    /// Returns the counters of the service.
    #[must_use]
    pub fn stats(&self) -> ConfigStats {
        self.store.lock().stats()
    }
}

impl ConfigStore {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, edits: Vec<Edit>) -> Revision {
        let mut state = self.lock();
        let revision = state.latest_revision() + 1;
        let documents = edits.into_iter().map(|edit| Document {
            key: edit.key,
            revision,
            text: edit.text,
        });
        state.log.extend(documents);
        drop(state);
        self.changed.send_replace(());
        revision
    }

    fn set_mode(&self, mode: ConfigMode) {
        self.lock().mode = mode;
        self.changed.send_replace(());
    }

    /// Returns the changes after a revision; waits for one up to the query's limit.
    async fn changes(&self, query: ChangesQuery) -> Result<Changes, StatusCode> {
        let deadline = Instant::now() + Duration::from_millis(query.wait);
        let mut updates = self.changed.subscribe();
        self.lock().reads += 1;
        loop {
            updates.mark_unchanged();
            let result = self.lock().changes(query.after);
            match result {
                ReadResult::Down => return Err(StatusCode::SERVICE_UNAVAILABLE),
                ReadResult::Changes(changes)
                    if !changes.documents.is_empty() || Instant::now() >= deadline =>
                {
                    return Ok(changes);
                }
                ReadResult::Changes(_) => {
                    let wait = tokio::time::sleep_until(deadline.into());
                    tokio::select! {
                        _ = updates.changed() => {}
                        () = wait => {}
                    }
                }
                ReadResult::Hanging => {
                    let _changed = updates.changed().await;
                }
            }
        }
    }
}

/// The immediate result of a read.
enum ReadResult {
    Changes(Changes),
    Down,
    Hanging,
}

impl StoreState {
    fn latest_revision(&self) -> Revision {
        self.log.last().map_or(0, |document| document.revision)
    }

    fn stats(&self) -> ConfigStats {
        ConfigStats {
            reads: self.reads,
            revision: self.latest_revision(),
        }
    }

    fn changes(&self, after: Revision) -> ReadResult {
        let latest = self.latest_revision();
        let (revision, after) = match self.mode {
            ConfigMode::Serving => (latest, after),
            ConfigMode::Stale(revision) => (revision.min(latest), after),
            ConfigMode::Replaying(revision) => (revision.min(latest), 0),
            ConfigMode::Down => return ReadResult::Down,
            ConfigMode::Hanging => return ReadResult::Hanging,
        };
        let mut documents = BTreeMap::new();
        for document in &self.log {
            if document.revision <= revision {
                documents.insert(&document.key, document);
            }
        }
        let changed = documents
            .into_values()
            .filter(|document| document.revision > after);
        ReadResult::Changes(Changes {
            epoch: 0,
            revision,
            complete: false,
            more: false,
            documents: changed.cloned().collect(),
        })
    }
}

fn routes(store: &Arc<ConfigStore>) -> Router {
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
