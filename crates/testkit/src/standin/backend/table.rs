//! The state of one backend server.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{AttemptId, IndexVersion, RequestKey, ServerId},
    request::RequestKind,
};
use cassialift_wire::backend::{
    HealthReply, HealthState, RunOutcome, RunRefusal, RunReply, RunRequest, ServerLoad,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::{BackendSettings, Fault, Faults};

/// What one backend server counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendStats {
    /// Requests that came, run or not.
    pub received: u64,
    /// Runs that were started.
    pub started: u64,
    /// Requests refused for want of a slot.
    pub busy: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// The most requests that ran at once.
    pub most_running: u32,
    /// The most connections that were open at once.
    pub most_connections: u64,
    /// Connections that were closed for the limit.
    pub refused_connections: u64,
}

/// What became of a request on its arrival.
pub(super) enum Admission {
    /// It is not run.
    Refuse(RunRefusal),
    /// It runs for `time` unless it is cancelled.
    Run {
        time: Duration,
        cancelled: oneshot::Receiver<()>,
    },
}

pub(super) struct Table {
    pub(super) settings: BackendSettings,
    pub(super) faults: Faults,
    pub(super) versions: Vec<IndexVersion>,
    pub(super) stats: BackendStats,
    /// The last reply, to be sent in place of another.
    pub(super) last: Option<RunReply>,
    running: HashMap<(RequestKey, AttemptId), Option<oneshot::Sender<()>>>,
    started: Instant,
    rng: ChaCha8Rng,
}

impl Table {
    pub(super) fn new(settings: BackendSettings) -> Self {
        Self {
            faults: Faults::default(),
            versions: settings.versions.clone(),
            stats: BackendStats::default(),
            last: None,
            running: HashMap::new(),
            started: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Forgets how long the server has run, so that it is cold again.
    pub(super) fn cool(&mut self) {
        self.started = Instant::now();
    }

    /// Draws whether the set fault strikes the next request.
    pub(super) fn draw_fault(&mut self) -> Option<Fault> {
        let fault = self.faults.fault?;
        let strikes = self.rng.random::<f64>() < self.faults.share;
        strikes.then_some(fault)
    }

    pub(super) fn admit(&mut self, request: &RunRequest) -> Admission {
        self.stats.received += 1;
        if let Some(refusal) = self.refusal(request) {
            if refusal == RunRefusal::Busy {
                self.stats.busy += 1;
            }
            return Admission::Refuse(refusal);
        }
        let (cancel, cancelled) = oneshot::channel();
        // A job that has begun runs to its end.
        let cancel = (request.kind != RequestKind::Job).then_some(cancel);
        self.running
            .insert((request.request, request.attempt), cancel);
        self.stats.started += 1;
        self.stats.most_running = self.stats.most_running.max(self.load().running);
        Admission::Run {
            time: self.draw_time(),
            cancelled,
        }
    }

    fn refusal(&self, request: &RunRequest) -> Option<RunRefusal> {
        if self.faults.leaving {
            return Some(RunRefusal::Leaving);
        }
        if Duration::from(request.remaining).is_zero() {
            return Some(RunRefusal::Expired);
        }
        if request.kind != RequestKind::Job && !self.versions.contains(&request.version) {
            let held = self.versions.iter().max().copied().unwrap_or_default();
            return Some(RunRefusal::VersionGone { held });
        }
        let shards = self.settings.shards.as_ref();
        if shards.is_some_and(|shards| !shards.contains(&request.shard)) {
            return Some(RunRefusal::UnknownShard);
        }
        let full = self.faults.full || self.load().running >= self.settings.slots;
        full.then_some(RunRefusal::Busy)
    }

    fn draw_time(&mut self) -> Duration {
        let time = self.settings.time.draw(&mut self.rng);
        let warmup = Duration::from(self.settings.warmup);
        let cold = if warmup.is_zero() {
            0.0
        } else {
            1.0 - (self.started.elapsed().as_secs_f64() / warmup.as_secs_f64()).min(1.0)
        };
        let factor = 1.0 + cold * (self.settings.cold - 1.0).max(0.0);
        time.mul_f64(factor * self.faults.slowdown.max(0.0))
    }

    /// Cancels a run; returns whether it was found and stopped.
    pub(super) fn cancel(&mut self, request: RequestKey, attempt: AttemptId) -> bool {
        let run = self.running.get_mut(&(request, attempt));
        let Some(cancel) = run.and_then(Option::take) else {
            return false;
        };
        self.stats.cancelled += 1;
        cancel.send(()).is_ok()
    }

    /// Ends a run and returns its reply.
    pub(super) fn finish(&mut self, request: &RunRequest, outcome: RunOutcome) -> RunReply {
        self.running.remove(&(request.request, request.attempt));
        self.reply(request, outcome)
    }

    pub(super) fn reply(&self, request: &RunRequest, outcome: RunOutcome) -> RunReply {
        RunReply {
            request: request.request,
            attempt: request.attempt,
            shard: request.shard,
            server: ServerId::clone(&self.settings.server),
            outcome,
            load: self.load(),
        }
    }

    pub(super) fn health(&self) -> HealthReply {
        let fact = if self.faults.leaving {
            HealthState::Leaving
        } else {
            HealthState::Ready
        };
        HealthReply {
            state: self.faults.health.unwrap_or(fact),
            load: self.load(),
        }
    }

    fn load(&self) -> ServerLoad {
        ServerLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            slots: self.settings.slots,
        }
    }
}
