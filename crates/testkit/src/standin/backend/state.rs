//! The state of one backend server stand-in.

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

/// The counters of one backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendStats {
    /// Requests that arrived, whether or not they were run.
    pub received: u64,
    /// Runs that were started.
    pub started: u64,
    /// Requests refused as busy, because no slot was free.
    pub busy: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// The highest number of requests that ran at once.
    pub most_running: u32,
    /// The highest number of connections that were open at once.
    pub most_connections: u64,
    /// Connections that were closed because of the limit.
    pub refused_connections: u64,
}

/// The decision on a request at its arrival.
pub(super) enum Admission {
    /// The request is not run.
    Refuse(RunRefusal),
    /// The request runs for `time` unless it is cancelled first.
    Run {
        time: Duration,
        cancelled: oneshot::Receiver<()>,
    },
}

/// The state of one backend server stand-in.
pub(super) struct ServerState {
    pub(super) settings: BackendSettings,
    pub(super) faults: Faults,
    pub(super) versions: Vec<IndexVersion>,
    pub(super) stats: BackendStats,
    /// The last reply, which is sent in place of the next crossed one.
    pub(super) last_reply: Option<RunReply>,
    /// The running requests, each with the sender that cancels it if it can still be cancelled.
    running: HashMap<(RequestKey, AttemptId), Option<oneshot::Sender<()>>>,
    /// The start of the warm-up.
    warmup_start: Instant,
    rng: ChaCha8Rng,
}

impl ServerState {
    pub(super) fn new(settings: BackendSettings) -> Self {
        Self {
            faults: Faults::default(),
            versions: settings.versions.clone(),
            stats: BackendStats::default(),
            last_reply: None,
            running: HashMap::new(),
            warmup_start: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Starts the warm-up again.
    pub(super) fn reset_warmup(&mut self) {
        self.warmup_start = Instant::now();
    }

    /// Returns the configured fault if it affects the next request, which is decided at random.
    pub(super) fn sample_fault(&mut self) -> Option<Fault> {
        let fault = self.faults.fault?;
        let is_affected = self.rng.random::<f64>() < self.faults.share;
        is_affected.then_some(fault)
    }

    /// Refuses a request or starts its run.
    pub(super) fn admit(&mut self, request: &RunRequest) -> Admission {
        self.stats.received += 1;
        if let Some(refusal) = self.refusal(request) {
            if refusal == RunRefusal::Busy {
                self.stats.busy += 1;
            }
            return Admission::Refuse(refusal);
        }
        let (cancel, cancelled) = oneshot::channel();
        // A job that has started cannot be cancelled.
        let cancel = (request.kind != RequestKind::Job).then_some(cancel);
        self.running
            .insert((request.request, request.attempt), cancel);
        self.stats.started += 1;
        self.stats.most_running = self.stats.most_running.max(self.load().running);
        Admission::Run {
            time: self.sample_time(),
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

    /// Returns a random time for a run, with the warm-up and the slowdown applied.
    fn sample_time(&mut self) -> Duration {
        let time = self.settings.time.sample(&mut self.rng);
        let warmup = Duration::from(self.settings.warmup);
        let coldness = if warmup.is_zero() {
            0.0
        } else {
            1.0 - (self.warmup_start.elapsed().as_secs_f64() / warmup.as_secs_f64()).min(1.0)
        };
        let factor = 1.0 + coldness * (self.settings.cold - 1.0).max(0.0);
        time.mul_f64(factor * self.faults.slowdown.max(0.0))
    }

    /// Cancels a run; returns whether the run was found and could be stopped.
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
        let actual = if self.faults.leaving {
            HealthState::Leaving
        } else {
            HealthState::Ready
        };
        HealthReply {
            state: self.faults.health.unwrap_or(actual),
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
