//! One sample of each call and each reply of version 1.

use std::net::SocketAddr;

use cassialift_core::{
    config::{ConfigSummary, Document, RetainedDocuments},
    fleet::{
        Heartbeat, HeartbeatReply,
        members::{Attachment, Contact, MemberState, MemberStatus, MemberUpdate},
        ownership::{OwnershipReply, OwnershipRequest},
    },
    ids::{Position, RequestKey},
    policy::{
        poison::{Fingerprint, PoisonReport},
        server_limit::{CallRate, PermitClaim, PermitGrant},
    },
    request::{ExecutionStatus, RefusalReason, RequestKind, Urgency},
    routes::{Route, RouteTarget, ShardSet},
    time::Millis,
};
use cassialift_wire::{
    backend::{Row, ServerLoad},
    caller::{JobAnswer, JobState},
    peer::{
        CallRefusal, CallResult, ConfigPull, ConfigPullReply, JobForward, JobReply, PartialGather,
        PartialReply, PeerRequest, PeerResponse, Ping, PingReply, ProbeReply, RelayOutcome,
        RelayReply, RelayRequest, RestRequest, ShardCall, ShardReply,
    },
};

pub(crate) fn requests() -> Vec<PeerRequest> {
    vec![
        PeerRequest::CallShard { call: shard_call() },
        PeerRequest::ForwardJob {
            holder: u64::MAX - 1,
            job: JobForward {
                id: "job-1".to_owned(),
                caller: "press".into(),
                ticket: "t".to_owned(),
                remaining: Some(Millis::new(900)),
                body: None,
            },
        },
        PeerRequest::Gather {
            partial: partial_gather(),
        },
        PeerRequest::Rest {
            request: RestRequest {
                attempt: b"a1".to_vec(),
                search: 300,
            },
        },
        PeerRequest::Ping {
            ping: Ping {
                heartbeat: heartbeat(),
                config: summary(),
            },
        },
        PeerRequest::Probe {
            target: "vm-2".into(),
        },
        PeerRequest::PullConfig {
            pull: ConfigPull {
                after: position(),
                skip: 7,
            },
        },
        PeerRequest::ClaimPermits {
            claims: vec![PermitClaim {
                server: "i-1".into(),
                limit: CallRate::per_second(2.5),
                age: Millis::new(40),
                calls: 3,
            }],
        },
        PeerRequest::ExchangePoison {
            reports: poison_reports(),
        },
        PeerRequest::Relay {
            request: RelayRequest {
                attempt: b"a2".to_vec(),
                method: "PUT".to_owned(),
                target: "/find/x?q=1".to_owned(),
                headers: headers(),
                body: vec![0, 250, 251, 252, 253, 254, 255],
                route: route(),
                remaining: Millis::new(1_000),
            },
        },
    ]
}

pub(crate) fn responses() -> Vec<PeerResponse> {
    vec![
        PeerResponse::CallShard(ShardReply {
            request: key(),
            attempt: 2,
            shard: 3,
            server: "i-1".into(),
            result: CallResult::Done {
                version: 4,
                rows: Vec::<Row>::new(),
            },
            queue_len: 5,
            queue_wait: Millis::new(6),
            load: ServerLoad {
                running: 1,
                slots: 2,
            },
        }),
        PeerResponse::CallShard(ShardReply {
            request: key(),
            attempt: 2,
            shard: 3,
            server: "i-1".into(),
            result: CallResult::NotRun(CallRefusal::NotOwner {
                owner: Some("vm-2".into()),
            }),
            queue_len: 0,
            queue_wait: Millis::default(),
            load: ServerLoad::default(),
        }),
        PeerResponse::ForwardJob(JobReply::Answer(JobAnswer {
            id: "job-1".to_owned(),
            state: JobState::Unknown(RefusalReason::NoReply),
            preset: Some("peak".into()),
            revision: Some(12),
        })),
        PeerResponse::ForwardJob(JobReply::Refused {
            reason: RefusalReason::HolderGone,
            ran: ExecutionStatus::Unknown,
            retry: Some(Millis::new(20)),
        }),
        PeerResponse::Gather(partial_reply()),
        PeerResponse::Rest(PartialReply::empty(b"a1".to_vec())),
        PeerResponse::Ping(PingReply {
            reply: HeartbeatReply {
                from: contact(),
                status: status(),
                updates: vec![update()],
                ownership: Some(OwnershipReply::default()),
            },
            config: summary(),
        }),
        PeerResponse::Probe(ProbeReply { answered: true }),
        PeerResponse::PullConfig(ConfigPullReply {
            summary: summary(),
            after: 9,
            documents: vec![Document {
                key: "servers/i-1".to_owned(),
                revision: 10,
                text: None,
            }],
            retained: RetainedDocuments::default(),
            more: true,
        }),
        PeerResponse::ClaimPermits(vec![PermitGrant::Calls(3), PermitGrant::Unlimited]),
        PeerResponse::ExchangePoison(poison_reports()),
        PeerResponse::Relay(RelayReply {
            attempt: b"a2".to_vec(),
            outcome: RelayOutcome::Answered {
                status: 200,
                headers: headers(),
                body: b"bytes".to_vec(),
            },
        }),
        PeerResponse::Relay(RelayReply {
            attempt: b"a2".to_vec(),
            outcome: RelayOutcome::Refused {
                reason: RefusalReason::Poison,
                ran: ExecutionStatus::NotRun,
                retry: None,
            },
        }),
        PeerResponse::Relay(RelayReply {
            attempt: b"a2".to_vec(),
            outcome: RelayOutcome::Unavailable,
        }),
    ]
}

pub(crate) fn partial_gather() -> PartialGather {
    PartialGather {
        attempt: b"a1".to_vec(),
        method: "POST".to_owned(),
        target: "/find/x?q=%20".to_owned(),
        headers: headers(),
        route: "find".into(),
        shards: vec![(0, "s0".into()), (300, "s1".into())],
        top: 5,
        max_servers: 2,
        remaining: Millis::new(1_200),
        reply_after: Millis::new(80),
        spread: true,
        min_coverage: 0.75,
    }
}

pub(crate) fn partial_reply() -> PartialReply {
    PartialReply {
        included: vec![(300, b"i-1.a1".to_vec())],
        records: vec![7; 32],
        leaving: vec!["i-2".into()],
        pending: true,
        search: 70_000,
        ..PartialReply::empty(b"a1".to_vec())
    }
}

fn shard_call() -> ShardCall {
    ShardCall {
        request: key(),
        attempt: 1,
        caller: "counter".into(),
        service: "listings".into(),
        shard: 3,
        server: "listings-0".into(),
        version: 8,
        kind: RequestKind::WideSearch,
        urgency: Urgency::Urgent,
        remaining: Millis::new(1_000),
        body: "q".to_owned(),
    }
}

fn key() -> RequestKey {
    RequestKey {
        incarnation: 1 << 40,
        sequence: 9,
    }
}

fn headers() -> Vec<(String, Vec<u8>)> {
    vec![("content-type".to_owned(), b"text/plain".to_vec())]
}

fn route() -> Route {
    Route {
        name: "find".into(),
        host: "shop.example".to_owned(),
        prefix: "/find/".to_owned(),
        kind: RequestKind::WideSearch,
        target: RouteTarget::Shards(ShardSet {
            services: vec!["s0".into(), "s1".into()],
            top: 5,
            coverage: 0.5,
        }),
        timeout: Millis::new(2_000),
        objective: Millis::new(400),
        servers: 2,
        priority: 1,
    }
}

fn position() -> Position {
    Position {
        epoch: 1,
        revision: 2_000,
    }
}

fn summary() -> ConfigSummary {
    ConfigSummary {
        position: position(),
        digest: u64::MAX,
        age: Some(Millis::new(12)),
        reader: Some("vm-2".into()),
        ..ConfigSummary::default()
    }
}

fn contact() -> Contact {
    let address = SocketAddr::from(([10, 1, 0, 9], 8_104));
    Contact {
        vm: "vm-1".into(),
        incarnation: 77,
        centre: "dc-a".into(),
        peers: address,
        callers: address,
        capacity: 250,
    }
}

fn status() -> MemberStatus {
    MemberStatus {
        leaving: false,
        serving: true,
        load: 4,
        attachment: Attachment {
            version: 3,
            detached: true,
        },
    }
}

fn update() -> MemberUpdate {
    MemberUpdate {
        contact: contact(),
        state: MemberState::Suspect,
        version: 5,
        attachment: Attachment::default(),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        from: contact(),
        status: status(),
        updates: vec![update()],
        ownership: OwnershipRequest {
            to: 78,
            sequence: 6,
            ..OwnershipRequest::default()
        },
    }
}

fn poison_reports() -> Vec<PoisonReport> {
    vec![PoisonReport {
        fingerprint: Fingerprint::new(&[b"GET", b"shop.example", b"/find/x", b""]),
        strikes: Vec::new(),
        harmless: false,
        age: Millis::new(33),
    }]
}
