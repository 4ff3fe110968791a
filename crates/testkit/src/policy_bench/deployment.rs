//! The two simulated deployments: their services, request mixes and presets.

use std::time::Duration;

use cassialift_core::{
    presets::{AnswerPolicy, HedgePolicy, KindPolicy, Preset, QueuePolicy, RetryPolicy},
    request::RequestKind,
    time::Millis,
};

/// Number of entry VMs in a deployment.
pub const ENTRY_COUNT: usize = 8;

/// A deployment to simulate.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name used on the command line and in reports.
    pub name: &'static str,
    /// The one-way latency between an entry and the owner or backend server that it sends to.
    pub hop_latency: Duration,
    /// The services. Faults are injected into the first one.
    pub services: Vec<ServiceShape>,
    /// The preset for normal operation.
    pub preset: Preset,
    /// The timeout of a call under the naive strategy.
    pub naive_timeout: Duration,
}

/// The size and request mix of a service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// The name of the service.
    pub name: &'static str,
    /// The number of shards of the first index version.
    pub shards: u32,
    /// The number of replicas of each shard.
    pub replicas: u32,
    /// The number of slots of each backend server.
    pub slots: u32,
    /// The requests that callers send to the service.
    pub streams: Vec<RequestStream>,
}

/// A stream of similar requests to a service.
#[derive(Clone, Copy, Debug)]
pub struct RequestStream {
    /// The kind of the requests.
    pub kind: RequestKind,
    /// The number of shards that a request asks for.
    pub shards: u32,
    /// The relative share of the requests to the service.
    pub weight: f64,
}

impl ServiceShape {
    /// Returns the number of slots of all backend servers of the first index version.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.shards * self.replicas * self.slots
    }

    /// Returns the mean number of shards that a request asks for.
    #[must_use]
    pub fn mean_calls(&self) -> f64 {
        let weight: f64 = self.streams.iter().map(|stream| stream.weight).sum();
        let calls = |stream: &RequestStream| f64::from(stream.shards) * stream.weight;
        self.streams.iter().map(calls).sum::<f64>() / weight
    }
}

impl Deployment {
    /// Returns all deployments.
    #[must_use]
    pub fn all() -> [Self; 2] {
        [Self::adebayo(), Self::riddim()]
    }

    /// Returns the deployment of watch dealers, for stock and sales, where coverage matters most.
    #[must_use]
    pub fn adebayo() -> Self {
        Self {
            name: "adebayo",
            hop_latency: Duration::from_micros(1_500),
            services: vec![
                search_service("counter", 20, 0.6),
                search_service("intake", 30, 0.6),
                job_service("invoicing", 7, 3),
                catalogue(),
            ],
            preset: preset(1_000, AnswerPolicy::Wait, 256),
            naive_timeout: Duration::from_millis(250),
        }
    }

    /// Returns the deployment of a festival circuit, for wristbands, where tail latency matters
    /// most.
    #[must_use]
    pub fn riddim() -> Self {
        let answer = AnswerPolicy::Early {
            share: 0.9,
            after: 0.3,
        };
        Self {
            name: "riddim",
            hop_latency: Duration::from_millis(1),
            services: vec![
                search_service("gate", 20, 0.8),
                search_service("billing", 30, 0.5),
                job_service("press", 3, 6),
                job_service("stockroom", 3, 6),
            ],
            preset: preset(400, answer, 64),
            naive_timeout: Duration::from_millis(100),
        }
    }

    /// Removes all services but the first.
    #[must_use]
    pub fn keep_first_service(mut self) -> Self {
        self.services.truncate(1);
        self
    }
}

/// Returns a sharded index with two replicas of each shard and two slots for each replica.
fn search_service(name: &'static str, shards: u32, wide: f64) -> ServiceShape {
    let narrow = 0.9 - wide;
    ServiceShape {
        name,
        shards,
        replicas: 2,
        slots: 2,
        streams: vec![
            stream(RequestKind::WideSearch, shards, wide),
            stream(RequestKind::NarrowSearch, 3, narrow),
            stream(RequestKind::Fetch, 1, 0.1),
        ],
    }
}

/// Returns a service with one shard, whose backend servers run jobs and fetches.
fn job_service(name: &'static str, servers: u32, slots: u32) -> ServiceShape {
    ServiceShape {
        name,
        shards: 1,
        replicas: servers,
        slots,
        streams: vec![
            stream(RequestKind::Fetch, 1, 0.5),
            stream(RequestKind::Job, 1, 0.5),
        ],
    }
}

fn catalogue() -> ServiceShape {
    ServiceShape {
        name: "catalogue",
        shards: 2,
        replicas: 2,
        slots: 3,
        streams: vec![stream(RequestKind::NarrowSearch, 2, 1.0)],
    }
}

const fn stream(kind: RequestKind, shards: u32, weight: f64) -> RequestStream {
    RequestStream {
        kind,
        shards,
        weight,
    }
}

fn preset(deadline_ms: u64, wide: AnswerPolicy, length: u32) -> Preset {
    let kind = |answer| KindPolicy {
        deadline: Millis::new(deadline_ms),
        coverage: 0.5,
        answer,
        ..KindPolicy::default()
    };
    let kinds = RequestKind::ALL.into_iter().map(|request| match request {
        RequestKind::WideSearch => (request, kind(wide)),
        _ => (request, kind(AnswerPolicy::Wait)),
    });
    Preset {
        kinds: kinds.collect(),
        hedge: HedgePolicy {
            quantile: 0.97,
            budget: 0.03,
        },
        retry: RetryPolicy {
            attempts: 3,
            budget: 0.1,
        },
        queue: QueuePolicy {
            length,
            starvation: Millis::new(250),
            caller_share: 0.5,
        },
        ..Preset::default()
    }
}
