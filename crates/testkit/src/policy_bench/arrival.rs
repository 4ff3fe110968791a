//! The requests of a run: generated at random from the load and admitted by the entries.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cassialift_core::{
    ids::CallerId,
    policy::{
        admission::AdmissionRequest,
        gather::{Gather, GatherSpec, ShardTarget},
    },
    request::RequestKind,
};
use rand::Rng;

use super::{
    record::RequestEnd,
    search::{GatherState, Search},
    simulation::{Simulation, Strategy},
};
use crate::naive::{NaiveGather, NaiveSettings, ReplicaOrder};

/// Number of callers in a run.
const CALLERS: u32 = 40;

impl Simulation {
    /// Handles the arrival of a request at a random entry.
    pub(super) fn on_arrival(&mut self, service: usize) {
        let chosen = self.load_rng.random_range(0..self.entries.len());
        let entry = self.next_present(chosen);
        let caller = format!("caller-{}", self.load_rng.random_range(0..CALLERS));
        let (kind, shards, all_shards) = self.random_request(service, entry);
        let id = self.new_id();
        self.record.offered_requests += 1;
        let time_limit = Duration::from(self.preset.kind(kind).deadline);
        let mut search = Search {
            gather: self.new_gather(service, entry, kind, shards.clone(), id),
            entry,
            service,
            kind,
            caller: caller.into(),
            started_at: self.now,
            deadline: self.now + time_limit,
            all_shards,
            shards: shards.iter().map(|target| target.shard).collect(),
            open_calls: HashMap::new(),
            row_versions: Vec::new(),
            started_calls: 0,
            timer_at: None,
            stalled: false,
        };
        if !self.admit(&search, &shards) {
            self.record_end(&search, RequestEnd::Shed, 0);
            return;
        }
        let actions = self.run_gather(&mut search, GatherState::start);
        self.searches.insert(id, search);
        self.apply_actions(id, actions);
    }

    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn random_request(
        &mut self,
        service: usize,
        entry: usize,
    ) -> (RequestKind, Vec<ShardTarget>, bool) {
        let streams = &self.settings.deployment.services[service].streams;
        let weight: f64 = streams.iter().map(|stream| stream.weight).sum();
        let mut remaining = self.load_rng.random::<f64>() * weight;
        let stream = streams.iter().find(|stream| {
            remaining -= stream.weight;
            remaining < 0.0
        });
        let stream = stream
            .or(streams.last())
            .expect("every service has a stream");
        let document = &self.entries[entry].documents[service];
        let all_shards = stream.kind == RequestKind::WideSearch;
        let total = document.shards.len();
        let count = if all_shards {
            total
        } else {
            (stream.shards as usize).min(total)
        };
        let first = self.load_rng.random_range(0..total);
        let chosen = (0..count).map(|step| &document.shards[(first + step) % total]);
        let mut targets: Vec<_> = chosen.map(target).collect();
        targets.sort_unstable_by_key(|target| target.shard);
        (stream.kind, targets, all_shards)
    }

    fn new_gather(
        &mut self,
        service: usize,
        entry: usize,
        kind: RequestKind,
        shards: Vec<ShardTarget>,
        id: u64,
    ) -> GatherState {
        let policy = self.preset.kind(kind);
        let deadline = self.now + Duration::from(policy.deadline);
        let document = &self.entries[entry].documents[service];
        let (timeout, order) = match self.settings.strategy {
            Strategy::Policy => {
                return GatherState::Policy(Box::new(Gather::new(GatherSpec {
                    service: Arc::clone(&document.service),
                    kind,
                    version: document.version,
                    shards,
                    started_at: self.now,
                    deadline,
                    policy,
                    hedge: self.preset.hedge,
                    initial_hedge: None,
                    retry: self.preset.retry,
                    extra_calls: None,
                })));
            }
            Strategy::Naive => (
                Some(self.settings.deployment.naive_timeout),
                ReplicaOrder::Random,
            ),
            Strategy::RoundRobin => (None, ReplicaOrder::RoundRobin(id)),
        };
        let settings = NaiveSettings {
            version: document.version,
            shards,
            deadline,
            coverage: policy.coverage,
            idempotent: kind.is_idempotent(),
            timeout,
            order,
        };
        GatherState::Naive(Box::new(NaiveGather::new(settings, &mut self.entry_rng)))
    }

    fn admit(&mut self, search: &Search, shards: &[ShardTarget]) -> bool {
        if self.settings.strategy != Strategy::Policy {
            return true;
        }
        let tables = &mut self.entries[search.entry].tables;
        let sets = shards.iter().map(|target| target.replicas.as_slice());
        let request = AdmissionRequest {
            caller: CallerId::clone(&search.caller),
            kind: search.kind,
            remaining: search.deadline - self.now,
            estimate: tables.estimate(sets, 1.0, self.now),
        };
        let policy = self.preset.kind(search.kind);
        let admitted = tables
            .admission
            .admit(&request, &policy, &self.preset.queue, self.now);
        admitted.is_ok()
    }
}

/// Returns the target of a shard for a gather.
pub(super) fn target(entry: &cassialift_core::index::ShardEntry) -> ShardTarget {
    ShardTarget {
        shard: entry.shard,
        service: None,
        replicas: entry.replicas.clone(),
    }
}
