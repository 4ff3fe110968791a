//! Tests of scatter-gather.

mod answers;
mod calls;
mod delegation;
mod ejected;
mod versions;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Action, AttemptCause, Context, Gather, GatherEnd, GatherSpec, ShardTarget};
use crate::{
    ids::{AttemptId, IndexVersion, ServerId, ShardId},
    index::{IndexDocument, ServerEntry, ServerState},
    policy::{EntryTables, outcome::CallOutcome},
    presets::{AnswerPolicy, HedgePolicy, KindPolicy, RetryPolicy},
    request::RequestKind,
    time::Millis,
};

const DEADLINE: Duration = Duration::from_millis(400);

struct Harness {
    gather: Gather,
    tables: EntryTables,
    rng: ChaCha8Rng,
    now: Instant,
    start: Instant,
}

fn targets(shards: u32) -> Vec<ShardTarget> {
    let replica = |shard, copy| ServerId::from(format!("s{shard}{copy}"));
    (0..shards)
        .map(|shard| ShardTarget {
            shard,
            service: None,
            replicas: vec![replica(shard, 'a'), replica(shard, 'b')],
        })
        .collect()
}

impl Harness {
    fn new(shards: u32, kind: RequestKind, policy: KindPolicy) -> Self {
        let start = Instant::now();
        let spec = GatherSpec {
            service: "counter".into(),
            kind,
            version: 1,
            shards: targets(shards),
            started_at: start,
            deadline: start + DEADLINE,
            policy,
            hedge: HedgePolicy::default(),
            initial_hedge: None,
            retry: RetryPolicy {
                budget: 1.0,
                ..RetryPolicy::default()
            },
            extra_calls: None,
        };
        let mut tables = EntryTables::default();
        for _ in 0..100 {
            let service = "counter".into();
            tables
                .hedger
                .record_latency(&service, kind, Duration::from_millis(10));
            tables.hedger.on_first_calls(1, &spec.hedge);
        }
        Self {
            gather: Gather::new(spec),
            tables,
            rng: ChaCha8Rng::seed_from_u64(3),
            now: start,
            start,
        }
    }

    /// Runs one step of the gather at the current time.
    fn step<R>(&mut self, run: impl FnOnce(&mut Gather, &mut Context<'_>) -> R) -> R {
        let mut context = Context {
            tables: &mut self.tables,
            now: self.now,
            rng: &mut self.rng,
        };
        run(&mut self.gather, &mut context)
    }

    fn start(&mut self) -> Vec<Action> {
        self.step(Gather::start)
    }

    fn reply(&mut self, attempt: AttemptId, outcome: CallOutcome) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        let included =
            self.step(|gather, context| gather.on_reply(attempt, outcome, context, &mut actions));
        (included, actions)
    }

    /// Advances the time to the next timer and runs it.
    fn timer(&mut self) -> Vec<Action> {
        self.now = self.gather.next_timer().unwrap();
        self.step(Gather::on_timer)
    }

    fn on_delegated(&mut self, included: &[ShardId]) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        let is_included =
            self.step(|gather, context| gather.on_delegated(included, context, &mut actions));
        (is_included, actions)
    }

    fn undelegate(&mut self, targets: Vec<ShardTarget>, may_repeat: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        self.step(|gather, context| gather.undelegate(targets, may_repeat, context, &mut actions));
        actions
    }

    fn restart(&mut self, version: IndexVersion, shards: u32) -> Vec<Action> {
        self.step(|gather, context| gather.restart(version, targets(shards), context))
    }

    /// Runs timers until the request ends.
    fn run_to_end(&mut self) -> (Duration, GatherEnd) {
        loop {
            if let Some(end) = end(&self.timer()) {
                return (self.now - self.start, end);
            }
        }
    }
}

fn sends(actions: &[Action]) -> Vec<(AttemptId, ShardId, AttemptCause)> {
    let send = |action: &Action| match action {
        Action::Send {
            attempt,
            shard,
            cause,
            ..
        } => Some((*attempt, *shard, *cause)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn servers(actions: &[Action]) -> Vec<ServerId> {
    let send = |action: &Action| match action {
        Action::Send { server, .. } => Some(ServerId::clone(server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn end(actions: &[Action]) -> Option<GatherEnd> {
    actions.iter().find_map(|action| match action {
        Action::Finish(end) => Some(end.clone()),
        _ => None,
    })
}

fn document(targets: &[ShardTarget]) -> IndexDocument {
    let servers = targets.iter().flat_map(|target| &target.replicas);
    let entry = |(port, id): (u16, &ServerId)| ServerEntry {
        id: ServerId::clone(id),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        centre: "dc-0".into(),
        slots: 2,
        connections: 25,
        state: ServerState::Serving,
    };
    IndexDocument {
        service: "counter".into(),
        version: 1,
        servers: (1..).zip(servers).map(entry).collect(),
        shards: Vec::new(),
    }
}

/// Returns a policy that answers after 50 ms if three quarters of the shards are included.
fn within_policy() -> KindPolicy {
    KindPolicy {
        coverage: 0.75,
        answer: AnswerPolicy::Within {
            share: 0.75,
            time: Millis::new(50),
        },
        ..KindPolicy::default()
    }
}
