//! Calls to backend servers that this process owns.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cassialift_core::{ids::ServerId, view::FleetView};
use cassialift_wire::{
    backend::{RUN_PATH, RunOutcome, RunRefusal, RunReply, RunRequest, ServerLoad},
    peer::{CallFailure, CallRefusal, CallResult, ShardCall, ShardReply},
};
use tokio::{sync::Semaphore, time::timeout};
use volo_http::{
    body::BodyConversion,
    client::{Client, ClientBuilder},
};

use crate::{control::ControlHandle, metrics::Metrics, timer::Timer};

/// Calls backend servers that this process owns.
#[derive(Debug)]
pub struct Owner {
    control: ControlHandle,
    metrics: Arc<Metrics>,
    gates: Mutex<HashMap<ServerId, Arc<Gate>>>,
}

struct Gate {
    slots: Semaphore,
    http: Client,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate")
            .field("slots", &self.slots)
            .finish_non_exhaustive()
    }
}

impl Owner {
    /// Makes the edge; connections are opened on first use.
    #[must_use]
    pub fn new(control: ControlHandle, metrics: Arc<Metrics>) -> Self {
        let gates = Mutex::default();
        Self {
            control,
            metrics,
            gates,
        }
    }

    /// Runs one shard's part of a request on a backend server.
    pub async fn call(&self, call: ShardCall) -> ShardReply {
        let view = self.control.pin();
        let deadline = Timer.now() + call.remaining.0;
        let (result, load) = match self.gate(&view, &call) {
            Ok((gate, address)) => {
                let limit = deadline.saturating_duration_since(Timer.now());
                let run = self.run(&gate, address, &call, limit);
                timeout(limit, run).await.unwrap_or((
                    CallResult::Unknown(CallFailure::Timeout),
                    ServerLoad::default(),
                ))
            }
            Err(refusal) => (CallResult::NotRun(refusal), ServerLoad::default()),
        };
        ShardReply {
            request: call.request,
            attempt: call.attempt,
            shard: call.shard,
            server: call.server,
            result,
            queued: 0,
            load,
        }
    }

    fn gate(
        &self,
        view: &FleetView,
        call: &ShardCall,
    ) -> Result<(Arc<Gate>, SocketAddr), CallRefusal> {
        let ownership = view.owners.get(&call.server);
        let slots = ownership.map_or(0, |found| found.slots);
        if slots == 0 {
            let owner = ownership.and_then(|found| found.owner.clone());
            return Err(CallRefusal::NotOwner { owner });
        }
        let config = view.config.as_ref();
        let index = config.and_then(|config| config.indexes.get(&call.service));
        let Some(entry) = index.and_then(|index| index.server(&call.server)) else {
            return Err(CallRefusal::NotOwner { owner: None });
        };
        let mut gates = self
            .gates
            .lock()
            .expect("no thread panics holding the lock");
        if let Some(gate) = gates.get(&call.server) {
            return Ok((Arc::clone(gate), entry.address));
        }
        let Ok(http) = ClientBuilder::new().build() else {
            return Err(CallRefusal::Connect);
        };
        let slots = Semaphore::new(slots as usize);
        let gate = Arc::new(Gate { slots, http });
        gates.insert(ServerId::clone(&call.server), Arc::clone(&gate));
        Ok((gate, entry.address))
    }

    async fn run(
        &self,
        gate: &Gate,
        address: SocketAddr,
        call: &ShardCall,
        limit: Duration,
    ) -> (CallResult, ServerLoad) {
        let deadline = Timer.now() + limit;
        let Ok(_slot) = gate.slots.acquire().await else {
            return (
                CallResult::NotRun(CallRefusal::Cancelled),
                ServerLoad::default(),
            );
        };
        let remaining = deadline.saturating_duration_since(Timer.now());
        if remaining.is_zero() {
            return (
                CallResult::NotRun(CallRefusal::Expired),
                ServerLoad::default(),
            );
        }
        let request = run_request(call, remaining);
        let uri = format!("http://{address}{RUN_PATH}");
        let sent = gate.http.post(uri).json(&request).send().await;
        let Ok(response) = sent else {
            self.metrics.count("owner.broken");
            return (
                CallResult::Unknown(CallFailure::Broken),
                ServerLoad::default(),
            );
        };
        match response.into_json::<RunReply>().await {
            Ok(reply) if echoes(&reply, call) => (result(reply.outcome), reply.load),
            _ => {
                self.metrics.count("owner.bad_reply");
                (
                    CallResult::Unknown(CallFailure::BadReply),
                    ServerLoad::default(),
                )
            }
        }
    }
}

fn run_request(call: &ShardCall, remaining: Duration) -> RunRequest {
    RunRequest {
        request: call.request,
        attempt: call.attempt,
        service: Arc::clone(&call.service),
        shard: call.shard,
        version: call.version,
        kind: call.kind,
        urgency: call.urgency,
        remaining: remaining.into(),
        body: call.body.clone(),
    }
}

fn echoes(reply: &RunReply, call: &ShardCall) -> bool {
    reply.request == call.request
        && reply.attempt == call.attempt
        && reply.shard == call.shard
        && reply.server == call.server
}

fn result(outcome: RunOutcome) -> CallResult {
    match outcome {
        RunOutcome::Done { version, rows } => CallResult::Done { version, rows },
        RunOutcome::Refused(refusal) => CallResult::NotRun(match refusal {
            RunRefusal::Busy => CallRefusal::Busy,
            RunRefusal::Leaving => CallRefusal::Leaving,
            RunRefusal::Expired => CallRefusal::Expired,
            RunRefusal::Cancelled => CallRefusal::Cancelled,
            RunRefusal::VersionGone { held } => CallRefusal::VersionGone { held },
            RunRefusal::UnknownShard => CallRefusal::UnknownShard,
        }),
    }
}
