//! Lanes: connections to backend servers that carry one request at a time.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cassialift_core::ids::ServerId;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{sync::oneshot, task::AbortHandle, time::timeout};

use crate::{sockets, timer::Timer};

/// How long opening a connection may take: many round trips between data centres. A server that
/// takes longer is asked elsewhere, which costs it nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a new connection waits for a reset by a server that has too many: two round trips
/// between data centres of one region.
const SETTLE_TIME: Duration = Duration::from_millis(8);

/// How long new connections are waited for after one broke at its first request, and after this
/// process has replaced another: a backend server may still count connections of processes that
/// were killed, and finds out within a few seconds.
const WARY_TIME: Duration = Duration::from_secs(3);

/// How long before a backend server's own idle timeout a lane counts as too old.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How long a lane may stay idle when the backend server named no timeout.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Why there is no lane.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum LaneError {
    /// all connections stayed in use
    Busy,
    /// no connection could be opened
    Connect,
}

/// An open connection to a backend server.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// The attempt that used it last; a late second reply to it may still arrive.
    pub(super) attempt: Option<Bytes>,
    /// How long it may stay idle.
    pub(super) idle: Duration,
    address: SocketAddr,
    used: Instant,
    driver: AbortHandle,
}

impl Drop for Lane {
    /// Closes the connection, so that the backend server drops a request without a reply.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Lane {
    async fn open(address: SocketAddr) -> Option<Self> {
        let opened = timeout(CONNECT_TIMEOUT, sockets::connect(address)).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("gateway: no connection to {address}: {error}.");
                return None;
            }
            Err(_) => {
                log::debug!("gateway: no connection to {address} in time.");
                return None;
            }
        };
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("gateway: a connection to {address} ended: {error}.");
            }
        });
        Some(Self {
            sender,
            attempt: None,
            idle: IDLE_DEFAULT,
            address,
            used: Timer.now(),
            driver: driver.abort_handle(),
        })
    }

    fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        let limit = self.idle.saturating_sub(IDLE_MARGIN);
        self.address == address
            && !self.sender.is_closed()
            && now.saturating_duration_since(self.used) < limit
    }
}

/// The lanes to all backend servers.
#[derive(Debug, Default)]
pub(super) struct LaneTable {
    servers: Mutex<HashMap<ServerId, Arc<Lanes>>>,
    /// Until when all new connections may be reset; none if that is not to be expected.
    wary: Option<Instant>,
}

/// The lanes to one backend server.
#[derive(Debug, Default)]
struct Lanes {
    state: Mutex<LaneState>,
}

#[derive(Debug, Default)]
struct LaneState {
    busy: u32,
    idle: Vec<Lane>,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Until when new connections may be reset; none if that is not to be expected.
    wary: Option<Instant>,
}

/// What a call asks of its lane.
#[derive(Clone, Debug)]
pub(super) struct LaneRequest {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// The connections that this VM may hold to the backend server.
    pub(super) most: u32,
    /// The attempt that it is for.
    pub(super) attempt: Bytes,
    /// Whether it must be a new connection, on which no earlier reply can arrive.
    pub(super) fresh: bool,
}

/// The right to use one connection to a backend server, until it is dropped.
#[derive(Debug)]
pub(super) struct LanePermit {
    lanes: Arc<Lanes>,
}

impl Drop for LanePermit {
    fn drop(&mut self) {
        let mut state = self.lanes.lock();
        while let Some(next) = state.waiting.pop_front() {
            if next.send(()).is_ok() {
                // The right goes over to the one who waited.
                return;
            }
        }
        state.busy -= 1;
    }
}

impl LanePermit {
    /// Gives a lane back after a whole reply.
    pub(super) fn give(&self, mut lane: Lane) {
        if lane.sender.is_closed() {
            return;
        }
        lane.used = Timer.now();
        self.lanes.lock().idle.push(lane);
    }
}

impl LaneTable {
    /// Makes a table of a process that may have replaced one that was killed.
    pub(super) fn of_replacement(now: Instant) -> Self {
        Self {
            wary: Some(now + WARY_TIME),
            ..Self::default()
        }
    }

    /// Notes that a new connection to a backend server broke at its first request.
    pub(super) fn on_new_broken(&self, server: &ServerId) {
        self.lanes(server).lock().wary = Some(Timer.now() + WARY_TIME);
    }

    /// Returns how many calls wait for a lane to a backend server.
    pub(super) fn waiting(&self, server: &ServerId) -> u32 {
        let servers = self.lock();
        let Some(lanes) = servers.get(server) else {
            return 0;
        };
        let waiting = lanes.lock().waiting.len();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Forgets the lanes to backend servers that are not in `kept`.
    pub(super) fn keep(&self, kept: impl Fn(&ServerId) -> bool) {
        self.lock().retain(|server, _| kept(server));
    }

    /// Takes a lane, waiting until `deadline` while all are in use.
    pub(super) async fn take(
        &self,
        request: &LaneRequest,
        deadline: Instant,
    ) -> Result<(Lane, LanePermit), LaneError> {
        let lanes = self.lanes(&request.server);
        let permit = Lanes::permit(&lanes, request.most, deadline).await?;
        if !request.fresh
            && let Some(lane) = lanes.pop(request)
        {
            return Ok((lane, permit));
        }
        lanes.make_room(request.most);
        let Some(lane) = Lane::open(request.address).await else {
            return Err(LaneError::Connect);
        };
        let wary = self.wary.max(lanes.lock().wary);
        if request.fresh || wary.is_some_and(|until| Timer.now() < until) {
            // A reset that came after the request was sent would leave open whether it ran.
            Timer.after(SETTLE_TIME).await;
            if lane.sender.is_closed() {
                return Err(LaneError::Connect);
            }
        }
        Ok((lane, permit))
    }

    /// Closes the idle lanes to a backend server that were last used before `time`: a call that
    /// got no reply may have met a network that dropped all of them.
    pub(super) fn close_older(&self, server: &ServerId, time: Instant) {
        let servers = self.lock();
        if let Some(lanes) = servers.get(server) {
            lanes.lock().idle.retain(|lane| lane.used >= time);
        }
    }

    fn lanes(&self, server: &ServerId) -> Arc<Lanes> {
        let mut servers = self.lock();
        let lanes = servers.entry(ServerId::clone(server)).or_default();
        Arc::clone(lanes)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServerId, Arc<Lanes>>> {
        // The table is whole between any two steps.
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lanes {
    async fn permit(
        lanes: &Arc<Self>,
        most: u32,
        deadline: Instant,
    ) -> Result<LanePermit, LaneError> {
        let turn = {
            let mut state = lanes.lock();
            if state.busy < most {
                state.busy += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.waiting.push_back(sender);
                Some(receiver)
            }
        };
        let permit = || LanePermit {
            lanes: Arc::clone(lanes),
        };
        let Some(turn) = turn else {
            return Ok(permit());
        };
        let mut turn = Turn {
            receiver: turn,
            lanes,
        };
        tokio::select! {
            given = &mut turn.receiver => match given {
                Ok(()) => Ok(permit()),
                Err(_) => Err(LaneError::Busy),
            },
            () = Timer.at(deadline) => Err(LaneError::Busy),
        }
    }

    /// Takes the idle lane that was used last; older ones that are no longer usable are closed.
    fn pop(&self, request: &LaneRequest) -> Option<Lane> {
        let now = Timer.now();
        let mut state = self.lock();
        state
            .idle
            .retain(|lane| lane.is_usable(request.address, now));
        let idle = &state.idle;
        let other = |lane: &Lane| lane.attempt.as_ref() != Some(&request.attempt);
        let found = idle.iter().rposition(other)?;
        Some(state.idle.remove(found))
    }

    /// Closes idle lanes until one more connection can be opened.
    fn make_room(&self, most: u32) {
        let mut state = self.lock();
        let free = most.saturating_sub(state.busy) as usize;
        let surplus = state.idle.len().saturating_sub(free);
        state.idle.drain(..surplus);
    }

    fn lock(&self) -> MutexGuard<'_, LaneState> {
        // The counts are whole between any two steps.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue for a lane; a right that was given but not taken goes to the next.
struct Turn<'a> {
    receiver: oneshot::Receiver<()>,
    lanes: &'a Arc<Lanes>,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        if self.receiver.try_recv().is_ok() {
            drop(LanePermit {
                lanes: Arc::clone(self.lanes),
            });
        }
    }
}
