//! The stand-in for the platform's VM list.

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

/// Sets the list with a [`VmChange`].
pub const CHANGE_PATH: &str = "/admin/vms";

/// A change of the list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmChange {
    /// The new list; none leaves it as it is.
    pub list: Option<VmList>,
    /// How long the new list takes to show.
    pub lag: Millis,
    /// Whether reads fail from now on.
    pub down: bool,
}

/// The service; dropping it stops new connections.
#[derive(Debug)]
pub struct VmService {
    /// The address it listens on.
    pub address: SocketAddr,
    table: Arc<Mutex<Table>>,
    _server: ServerHandle,
}

#[derive(Debug, Default)]
struct Table {
    shown: VmList,
    coming: Vec<(Instant, VmList)>,
    down: bool,
}

impl VmService {
    /// Starts the service on `address`.
    ///
    /// # Errors
    /// Returns why the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let table = Arc::<Mutex<Table>>::default();
        let limiter = Arc::new(ConnectionLimiter::new(usize::MAX, Duration::ZERO));
        let server = serve(routes(&table), address, limiter).await?;
        Ok(Self {
            address: server.address(),
            table,
            _server: server,
        })
    }

    /// Changes the list.
    pub fn change(&self, change: VmChange) {
        apply(&self.table, change);
    }
}

fn apply(table: &Mutex<Table>, change: VmChange) {
    let mut table = table.lock().unwrap_or_else(PoisonError::into_inner);
    table.down = change.down;
    if let Some(list) = change.list {
        let shows = Instant::now() + Duration::from(change.lag);
        table.coming.push((shows, list));
    }
}

impl Table {
    fn read(&mut self, now: Instant) -> Result<VmList, StatusCode> {
        if self.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let due = |(shows, _): &mut (Instant, VmList)| *shows <= now;
        if let Some((_, list)) = self.coming.extract_if(.., due).last() {
            self.shown = list;
        }
        Ok(self.shown.clone())
    }
}

fn routes(table: &Arc<Mutex<Table>>) -> Router {
    let (read, change) = (Arc::clone(table), Arc::clone(table));
    let list = async move || {
        let mut table = read.lock().unwrap_or_else(PoisonError::into_inner);
        table.read(Instant::now()).map(Json)
    };
    Router::new()
        .route(READY_PATH, get(async || "ready"))
        .route(VMS_PATH, get(list))
        .route(
            CHANGE_PATH,
            post(async move |Json(new): Json<VmChange>| apply(&change, new)),
        )
}
