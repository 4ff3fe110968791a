//! A stand-in for the platform's VM list.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use cassialift_core::time::Millis;
use cassialift_wire::platform::{VMS_PATH, VmList};
use serde::{Deserialize, Serialize};
use volo_http::{
    http::StatusCode,
    server::{
        extract::Json,
        route::{Router, get, post},
    },
};

use super::{ConnectionLimiter, READY_PATH, ServerHandle, serve::serve};

/// The path that changes the list; takes a [`VmChange`].
pub const CHANGE_PATH: &str = "/admin/vms";

/// A change of the VM list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmChange {
    /// The new list; `None` keeps the current one.
    pub list: Option<VmList>,
    /// The delay before reads return the new list.
    pub lag: Millis,
    /// Whether all reads fail from now on.
    pub down: bool,
}

/// A running service; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct VmService {
    /// The address that the service listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    _server: ServerHandle,
}

#[derive(Debug, Default)]
struct ListState {
    visible: VmList,
    pending: Vec<(Instant, VmList)>,
    down: bool,
}

impl VmService {
    /// Starts the service on `address`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::<Mutex<ListState>>::default();
        let limiter = Arc::new(ConnectionLimiter::new(usize::MAX, Duration::ZERO));
        let server = serve(routes(&state), address, limiter).await?;
        Ok(Self {
            address: server.address(),
            state,
            _server: server,
        })
    }

    /// Applies a change of the list.
    pub fn change(&self, change: VmChange) {
        apply_change(&self.state, change);
    }
}

fn apply_change(state: &Mutex<ListState>, change: VmChange) {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    state.down = change.down;
    if let Some(list) = change.list {
        let visible_at = Instant::now() + Duration::from(change.lag);
        state.pending.push((visible_at, list));
    }
}

impl ListState {
    fn read(&mut self, now: Instant) -> Result<VmList, StatusCode> {
        if self.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_due = |(visible_at, _): &mut (Instant, VmList)| *visible_at <= now;
        if let Some((_, list)) = self.pending.extract_if(.., is_due).last() {
            self.visible = list;
        }
        Ok(self.visible.clone())
    }
}

fn routes(state: &Arc<Mutex<ListState>>) -> Router {
    let (read, change) = (Arc::clone(state), Arc::clone(state));
    let list = async move || {
        let mut state = read.lock().unwrap_or_else(PoisonError::into_inner);
        state.read(Instant::now()).map(Json)
    };
    Router::new()
        .route(READY_PATH, get(async || "ready"))
        .route(VMS_PATH, get(list))
        .route(
            CHANGE_PATH,
            post(async move |Json(new): Json<VmChange>| apply_change(&change, new)),
        )
}
