//! Tests of how evenly many VMs load the replicas of a shard, played without a network.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use yare::parameterized;

use super::{CallReport, Listing, ReplicaTable};
use crate::{
    ids::ServerId,
    policy::outcome::{CallOutcome, NotRunCause},
};

const VMS: usize = 105;
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.3];
const SLOTS: usize = 2;
const QUEUE: usize = 12;
/// The time that a server of speed 1 works on a call, in milliseconds.
const WORK: f64 = 28.0;
/// How long a slow spell of a server lasts, in milliseconds, and how much longer work takes.
const SPELL: u64 = 600;
const SPELL_FACTOR: f64 = 2.5;
/// The time between the starts of two slow spells, in milliseconds.
const SPELL_PERIOD: u64 = 2_000;
/// The shortest and the longest time that a reply takes to reach what a VM knows, in milliseconds.
const AGE: (u64, u64) = (50, 500);
/// The time of a run, in milliseconds; the first two seconds are not counted.
const RUN: u64 = 60_000;
const WARM_UP: u64 = 2_000;

/// How the replica of a call is chosen.
#[derive(Clone, Copy, Debug)]
enum Rule {
    /// By what the VM has learned from its own calls.
    Learned,
    Random,
    /// By the true queues and speeds at this moment.
    Perfect,
}

/// What a run showed.
#[derive(Clone, Copy, Debug)]
struct Figures {
    p99: u64,
    refused: u32,
    /// The mean difference of the longest and the shortest queue.
    spread: f64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    vm: usize,
    sent: u64,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Call)>,
    queue: VecDeque<Call>,
}

impl Server {
    fn len(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

struct Simulation {
    rule: Rule,
    tables: Vec<ReplicaTable>,
    ids: Vec<ServerId>,
    servers: Vec<Server>,
    /// The server in a slow spell, and its end.
    spell: (usize, u64),
    /// The reports that VMs get later, each with its time.
    reports: Vec<(u64, usize, usize, CallReport)>,
    start: Instant,
    now: u64,
    rng: StdRng,
    latencies: Vec<u64>,
    refused: u32,
    spread: f64,
}

impl Simulation {
    fn run(rule: Rule, rate: f64) -> Figures {
        let start = Instant::now();
        let ids: Vec<ServerId> = ["a", "b", "c"].map(ServerId::from).to_vec();
        let mut table = ReplicaTable::default();
        let listings = ids.iter().map(|id| Listing {
            server: ServerId::clone(id),
            slots: 2,
            leaving: false,
            evacuated: false,
            born: 1,
            warmup: None,
            cold: Duration::ZERO,
            penalty: Duration::ZERO,
            may_pause: true,
        });
        table.set_servers(&"shard".into(), listings.collect(), start);
        let mut simulation = Self {
            rule,
            tables: vec![table; VMS],
            ids,
            servers: (0..SPEEDS.len()).map(|_| Server::default()).collect(),
            spell: (0, 0),
            reports: Vec::new(),
            start,
            now: 0,
            rng: StdRng::seed_from_u64(41),
            latencies: Vec::new(),
            refused: 0,
            spread: 0.0,
        };
        while simulation.now < RUN {
            simulation.now += 1;
            simulation.step(rate);
        }
        simulation.figures()
    }

    fn step(&mut self, rate: f64) {
        if self.now.is_multiple_of(SPELL_PERIOD) {
            self.spell = (self.rng.random_range(0..SPEEDS.len()), self.now + SPELL);
        }
        self.complete();
        self.report();
        if self.rng.random::<f64>() < rate / 1_000.0 {
            let vm = self.rng.random_range(0..VMS);
            let server = self.choose(vm);
            self.call(vm, server);
        }
        if self.now >= WARM_UP {
            let lengths = self.servers.iter().map(Server::len);
            let (least, most) =
                lengths.fold((usize::MAX, 0), |(a, b), len| (a.min(len), b.max(len)));
            self.spread += f64::from(u32::try_from(most - least).unwrap());
        }
    }

    fn work(&self, server: usize) -> f64 {
        let is_slow = self.spell.0 == server && self.now < self.spell.1;
        let factor = if is_slow { SPELL_FACTOR } else { 1.0 };
        WORK / SPEEDS[server] * factor
    }

    fn choose(&mut self, vm: usize) -> usize {
        let now = self.start + Duration::from_millis(self.now);
        match self.rule {
            Rule::Random => self.rng.random_range(0..SPEEDS.len()),
            Rule::Perfect => {
                let wait = |server: usize| {
                    let len = u32::try_from(self.servers[server].len()).unwrap();
                    self.work(server) * (1.0 + f64::from(len) / 2.0)
                };
                let servers = 0..SPEEDS.len();
                servers
                    .min_by(|a, b| wait(*a).total_cmp(&wait(*b)))
                    .unwrap()
            }
            Rule::Learned => {
                let table = &mut self.tables[vm];
                let pick = table.choose(&self.ids, &[], now, &mut self.rng).unwrap();
                table.on_send(&pick.server);
                self.ids.iter().position(|id| *id == pick.server).unwrap()
            }
        }
    }

    fn call(&mut self, vm: usize, index: usize) {
        let call = Call { vm, sent: self.now };
        let work = self.work(index);
        let server = &mut self.servers[index];
        if server.running.len() < SLOTS {
            server.running.push((end(self.now, work), call));
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(call);
        } else {
            self.refused += u32::from(self.now >= WARM_UP);
            self.tell(call, index, CallOutcome::NotRun(NotRunCause::Busy));
        }
    }

    fn complete(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            let work = self.work(index);
            let server = &mut self.servers[index];
            let done: Vec<_> = server
                .running
                .extract_if(.., |(end, _)| *end <= now)
                .collect();
            while server.running.len() < SLOTS
                && let Some(call) = server.queue.pop_front()
            {
                server.running.push((end(now, work), call));
            }
            for (_, call) in done {
                if now >= WARM_UP {
                    self.latencies.push(now - call.sent);
                }
                self.tell(call, index, CallOutcome::Done(0));
            }
        }
    }

    /// Lets a VM learn the end of its call some time later.
    fn tell(&mut self, call: Call, server: usize, outcome: CallOutcome) {
        let report = CallReport {
            outcome,
            latency: Duration::from_millis(self.now - call.sent),
            queue_len: Some(0),
            queue_wait: Duration::ZERO,
        };
        let at = self.now + self.rng.random_range(AGE.0..AGE.1);
        self.reports.push((at, call.vm, server, report));
    }

    fn report(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, vm, server, report) in due {
            let at = self.start + Duration::from_millis(now);
            self.tables[vm].on_report(&self.ids[server], &report, at);
        }
    }

    fn figures(mut self) -> Figures {
        self.latencies.sort_unstable();
        let index = self.latencies.len() * 99 / 100;
        let steps = f64::from(u32::try_from(RUN - WARM_UP).unwrap());
        Figures {
            p99: self.latencies[index],
            refused: self.refused,
            spread: self.spread / steps,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few hundred milliseconds"
)]
fn end(now: u64, work: f64) -> u64 {
    now + work.round() as u64
}

/// A load of 0.7 of what the servers can run, and one of 0.8. What VMs learn from their own calls loads the
/// replicas more evenly than chance, and far less than knowledge without age would.
#[parameterized(
    usual = { 150.0 },
    heavy = { 170.0 },
)]
fn test_replica_choice_from_old_knowledge_beats_chance(rate: f64) {
    let learned = Simulation::run(Rule::Learned, rate);
    let random = Simulation::run(Rule::Random, rate);
    let perfect = Simulation::run(Rule::Perfect, rate);
    println!("{rate} calls a second: {learned:?}, random {random:?}, perfect {perfect:?}");
    assert!(learned.spread < random.spread, "{learned:?}, {random:?}");
    assert!(learned.p99 < random.p99, "{learned:?}, {random:?}");
    assert!(learned.refused < random.refused, "{learned:?}, {random:?}");
    assert!(perfect.spread < learned.spread && perfect.p99 < learned.p99);
}
