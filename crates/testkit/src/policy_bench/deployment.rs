//! The two deployments of the users: services, load shape and presets.

use std::time::Duration;

use cassialift_core::{
    presets::{AnswerPolicy, HedgePolicy, KindPolicy, Preset, QueuePolicy, RetryPolicy},
    request::RequestKind,
    time::Millis,
};

/// The entry VMs of a deployment.
pub const ENTRY_COUNT: usize = 8;

/// One deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// The one-way latency between an entry and an owner.
    pub hop_latency: Duration,
    /// Its services; faults are brought about in the first.
    pub services: Vec<ServiceShape>,
    /// Its preset for ordinary days.
    pub preset: Preset,
    /// The timeout that its naive version is given.
    pub naive_timeout: Duration,
}

/// One service.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name.
    pub name: &'static str,
    /// The shards of its first index version.
    pub shards: u32,
    /// The replicas of each shard.
    pub replicas: u32,
    /// The slots of each backend server.
    pub slots: u32,
    /// What is asked of it.
    pub streams: Vec<RequestStream>,
}

/// One stream of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestStream {
    /// The kind.
    pub kind: RequestKind,
    /// The shards asked for.
    pub shards: u32,
    /// Its weight among the streams of its service.
    pub weight: f64,
}

impl ServiceShape {
    /// Returns the slots of all its backend servers.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.shards * self.replicas * self.slots
    }

    /// Returns how many shard calls a request makes on average.
    #[must_use]
    pub fn mean_calls(&self) -> f64 {
        let weight: f64 = self.streams.iter().map(|stream| stream.weight).sum();
        let calls = |stream: &RequestStream| f64::from(stream.shards) * stream.weight;
        self.streams.iter().map(calls).sum::<f64>() / weight
    }
}

impl Deployment {
    /// Returns both deployments.
    #[must_use]
    pub fn all() -> [Self; 2] {
        [Self::adebayo(), Self::riddim()]
    }

    /// Stock and sales of watch dealers; coverage weighs most.
    #[must_use]
    pub fn adebayo() -> Self {
        Self {
            name: "adebayo",
            hop_latency: Duration::from_micros(1_500),
            services: vec![
                search("counter", 20, 0.6),
                search("intake", 30, 0.6),
                pool("invoicing", 7, 3),
                catalogue(),
            ],
            preset: preset(1_000, AnswerPolicy::Wait, 256),
            naive_timeout: Duration::from_millis(250),
        }
    }

    /// Wristbands of a festival circuit; tail latency weighs most.
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
                search("gate", 20, 0.8),
                search("billing", 30, 0.5),
                pool("press", 3, 6),
                pool("stockroom", 3, 6),
            ],
            preset: preset(400, answer, 64),
            naive_timeout: Duration::from_millis(100),
        }
    }

    /// Keeps the first service only.
    #[must_use]
    pub fn keep_first_service(mut self) -> Self {
        self.services.truncate(1);
        self
    }
}

/// A sharded index with two replicas a shard and two slots a replica.
fn search(name: &'static str, shards: u32, wide: f64) -> ServiceShape {
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

/// A pool of backend servers that run jobs.
fn pool(name: &'static str, servers: u32, slots: u32) -> ServiceShape {
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
