//! Tests of the admission of routes of several priorities, played without a network.

use std::{
    cmp::Ordering,
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use yare::parameterized;

use super::{Admittance, PriorityTable, RequestClass, RouteRanks};
use crate::{
    ids::ServiceId,
    policy::{
        outcome::{CallOutcome, NotRunCause},
        poison::Fingerprint,
    },
    request::RequestKind,
    routes::{Route, RouteTarget, ShardSet},
    time::Millis,
};

/// The step of the simulated time, in milliseconds.
const STEP: u64 = 1;
const SERVERS: usize = 2;
const SLOTS: usize = 4;
const QUEUE: usize = 12;
/// The shortest and the longest time that a server works on a call, in milliseconds.
const WORK: (u64, u64) = (30, 70);
/// The most calls of a request.
const ATTEMPTS: u32 = 4;
/// The pause after both servers have refused a call, in milliseconds.
const ROUND_PAUSE: u64 = 25;
/// The time that calls and replies are on their way together, in milliseconds.
const NETWORK: u64 = 2;
/// The calls a second that all servers can run.
const ROOM: f64 = 160.0;
/// The time of a run, in milliseconds.
const RUN: u64 = 20_000;
/// The time from which requests count: the first two seconds are calm, the third is that in which the VMs
/// notice the load.
const WARM_UP: u64 = 3_000;

fn route(name: &str, priority: u32, target: RouteTarget) -> Route {
    Route {
        name: name.into(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: RequestKind::Fetch,
        target,
        timeout: Millis::new(2_000),
        objective: Millis::new(500),
        servers: 2,
        priority,
    }
}

fn ranks(priorities: &[u32]) -> Arc<RouteRanks> {
    let routes = (0..).zip(priorities).map(|(index, priority)| {
        let target = RouteTarget::Service("ledger".into());
        route(&format!("r{index}"), *priority, target)
    });
    Arc::new(RouteRanks::new(&routes.collect::<Vec<_>>()))
}

/// A kind of callers.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// The index of the route.
    route: usize,
    /// The requests a second.
    rate: f64,
    /// The deadline, in milliseconds.
    deadline: u64,
    /// How often a refused request is repeated at once.
    repeats: u32,
    /// The VMs that get the requests.
    vms: (usize, usize),
    /// From when to when requests come, in milliseconds.
    active: (u64, u64),
}

const ALL_VMS: (usize, usize) = (0, 3);
const ALWAYS: (u64, u64) = (0, u64::MAX);

const URGENT: Load = Load {
    route: 0,
    rate: 100.0,
    deadline: 500,
    repeats: 0,
    vms: ALL_VMS,
    active: ALWAYS,
};
const OTHERS: Load = Load {
    route: 1,
    rate: 200.0,
    deadline: 1_500,
    repeats: 0,
    vms: ALL_VMS,
    active: (2_000, u64::MAX),
};

/// What became of the requests of one load.
#[derive(Clone, Debug, Default)]
struct Outcome {
    asked: u32,
    served: u32,
    latencies: Vec<u64>,
}

impl Outcome {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    fn median(&self) -> u64 {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        latencies.get(latencies.len() / 2).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct Call {
    load: usize,
    vm: usize,
    began: u64,
    sent: u64,
    /// The number of servers that refused the call.
    tried: u32,
    counted: bool,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, Call)>,
    queue: VecDeque<Call>,
}

struct Simulation {
    loads: Vec<Load>,
    outcomes: Vec<Outcome>,
    tables: Vec<PriorityTable>,
    servers: Vec<Server>,
    /// The calls that are sent again, each with the time and the server.
    again: Vec<(u64, usize, Call)>,
    /// Whether the VMs admit by priority.
    enabled: bool,
    start: Instant,
    now: u64,
    rng: StdRng,
    /// The number of requests so far, which makes each one different.
    requests: u64,
}

impl Simulation {
    fn run(loads: &[Load], priorities: &[u32], enabled: bool) -> Vec<Outcome> {
        let mut table = PriorityTable::default();
        table.set_ranks(&ranks(priorities));
        let mut simulation = Self {
            loads: loads.to_vec(),
            outcomes: vec![Outcome::default(); loads.len()],
            tables: vec![table; ALL_VMS.1],
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            again: Vec::new(),
            enabled,
            start: Instant::now(),
            now: 0,
            rng: StdRng::seed_from_u64(41),
            requests: 0,
        };
        while simulation.now < RUN {
            simulation.now += STEP;
            simulation.step();
        }
        simulation.outcomes
    }

    fn step(&mut self) {
        self.complete();
        let now = self.now;
        let due: Vec<_> = self.again.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, server, call) in due {
            self.call(server, call);
        }
        for load in 0..self.loads.len() {
            let Load {
                rate, vms, active, ..
            } = self.loads[load];
            let is_active = (active.0..active.1).contains(&self.now);
            if is_active && self.rng.random::<f64>() < rate / 1_000.0 {
                let vm = self.rng.random_range(vms.0..vms.1);
                self.request(load, vm);
            }
        }
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn request(&mut self, load: usize, vm: usize) {
        self.requests += 1;
        let counted = self.now >= WARM_UP;
        self.outcomes[load].asked += u32::from(counted);
        for _ in 0..=self.loads[load].repeats {
            if self.is_admitted(load, vm) {
                let call = Call {
                    load,
                    vm,
                    began: self.now,
                    sent: self.now,
                    tried: 0,
                    counted,
                };
                let server = self.choose(vm);
                self.call(server, call);
                return;
            }
        }
    }

    fn is_admitted(&mut self, load: usize, vm: usize) -> bool {
        let service: ServiceId = "ledger".into();
        let route = format!("r{}", self.loads[load].route).into();
        let request = RequestClass {
            route: &route,
            service: &service,
            caller: None,
            fingerprint: Fingerprint::new(&[&self.requests.to_le_bytes()]),
        };
        let now = self.instant();
        let admittance = self.tables[vm].admit(&request, now, &mut self.rng);
        !self.enabled || admittance == Admittance::Admitted
    }

    /// Chooses the server that has the fewest calls of a VM.
    fn choose(&mut self, vm: usize) -> usize {
        let calls = |server: &Server| {
            let running = server.running.iter().map(|(_, call)| call);
            let all = running.chain(&server.queue);
            all.filter(|call| call.vm == vm).count()
        };
        let [a, b] = [0, 1].map(|index: usize| calls(&self.servers[index]));
        match a.cmp(&b) {
            Ordering::Less => 0,
            Ordering::Greater => 1,
            Ordering::Equal => self.rng.random_range(0..SERVERS),
        }
    }

    fn call(&mut self, index: usize, call: Call) {
        let work = self.rng.random_range(WORK.0..=WORK.1);
        let server = &mut self.servers[index];
        if server.running.len() < SLOTS {
            server.running.push((self.now + work, call));
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(call);
        } else {
            self.report(&call, CallOutcome::NotRun(NotRunCause::Busy));
            let tried = call.tried + 1;
            if tried < ATTEMPTS {
                // Both servers are tried before a pause.
                let is_round = tried.is_multiple_of(2);
                let sent = self.now + if is_round { ROUND_PAUSE } else { 0 };
                let call = Call {
                    sent,
                    tried,
                    ..call
                };
                self.again.push((sent, 1 - index, call));
            }
        }
    }

    fn complete(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for server in &mut self.servers {
            done.extend(server.running.extract_if(.., |(end, _)| *end <= now));
            while server.running.len() < SLOTS
                && let Some(call) = server.queue.pop_front()
            {
                let work = self.rng.random_range(WORK.0..=WORK.1);
                server.running.push((now + work, call));
            }
        }
        for (_, call) in done {
            self.report(&call, CallOutcome::Done(0));
            let took = now - call.began + NETWORK;
            if took <= self.loads[call.load].deadline && call.counted {
                let outcome = &mut self.outcomes[call.load];
                outcome.served += 1;
                outcome.latencies.push(took);
            }
        }
    }

    fn report(&mut self, call: &Call, outcome: CallOutcome) {
        let latency = Duration::from_millis(self.now - call.sent + NETWORK);
        let now = self.instant();
        let route = format!("r{}", self.loads[call.load].route).into();
        let table = &mut self.tables[call.vm];
        table.on_report(&"ledger".into(), &route, outcome, latency, now);
    }
}

/// Callers of both priorities want almost twice the room. The urgent are served, and soon; the others get
/// what is left.
///
/// VMs that get no urgent requests keep some room that is not used: they learn from waits alone.
#[parameterized(
    all_vms_get_both = { ALL_VMS, ALL_VMS, 0.25 },
    urgent_at_one_vm = { (0, 1), ALL_VMS, 0.25 },
    apart = { (0, 1), (1, 3), 0.2 },
)]
fn test_priority_urgent_callers_are_served_first(
    urgent: (usize, usize),
    others: (usize, usize),
    least: f64,
) {
    let loads = [
        Load {
            vms: urgent,
            ..URGENT
        },
        Load {
            vms: others,
            ..OTHERS
        },
        Load {
            rate: 30.0,
            vms: others,
            active: (0, 2_000),
            ..OTHERS
        },
    ];
    let before = Simulation::run(&loads, &[0, 1], false);
    assert!(before[0].share() < 0.8, "{}", before[0].share());
    let outcomes = Simulation::run(&loads, &[0, 1], true);
    let (urgent, others) = (&outcomes[0], &outcomes[1]);
    assert!(urgent.share() >= 0.98, "{}", urgent.share());
    assert!(urgent.median() < 100, "{} ms", urgent.median());
    assert!(others.share() >= least, "{}", others.share());
}

/// Three priorities: the lowest gives way first, and each has its assured share.
#[test]
fn test_priority_lowest_gives_way_first() {
    let middle = Load {
        rate: 50.0,
        ..OTHERS
    };
    let lowest = Load { route: 2, ..OTHERS };
    let outcomes = Simulation::run(&[URGENT, middle, lowest], &[0, 1, 2], true);
    let shares: Vec<f64> = outcomes.iter().map(Outcome::share).collect();
    assert!(shares[0] >= 0.98, "{shares:?}");
    assert!(
        shares[0] >= shares[1] && shares[1] >= shares[2],
        "{shares:?}"
    );
    let all: u32 = outcomes.iter().map(|outcome| outcome.served).sum();
    let asked: u32 = outcomes.iter().map(|outcome| outcome.asked).sum();
    let quarter = f64::from(all) / f64::from(asked) / 4.0;
    assert!(shares[2] >= quarter, "{shares:?}, {quarter}");
}

/// The urgent callers alone want more than the room: the others are not starved.
#[test]
fn test_priority_assures_a_share_to_each() {
    let more = Load {
        rate: 140.0,
        active: (2_000, u64::MAX),
        ..URGENT
    };
    let outcomes = Simulation::run(&[URGENT, OTHERS, more], &[0, 1, 0], true);
    let served: u32 = outcomes.iter().map(|outcome| outcome.served).sum();
    let asked: u32 = outcomes.iter().map(|outcome| outcome.asked).sum();
    let quarter = f64::from(served) / f64::from(asked) / 4.0;
    assert!(
        outcomes[1].share() >= quarter,
        "{} of {quarter}",
        outcomes[1].share()
    );
    assert!(outcomes[0].share() > outcomes[1].share());
}

/// The urgent leave: the others use the room.
#[test]
fn test_priority_room_that_is_left_is_used() {
    let urgent = Load {
        active: (0, 10_000),
        ..URGENT
    };
    let later = Load {
        active: (13_000, RUN),
        ..OTHERS
    };
    let before = Load {
        active: (2_000, 13_000),
        ..OTHERS
    };
    let outcomes = Simulation::run(&[urgent, before, later], &[0, 1, 1], true);
    let seconds = f64::from(u32::try_from((RUN - 13_000) / 1_000).unwrap());
    let used = f64::from(outcomes[2].served) / (ROOM * seconds);
    assert!(used >= 0.85, "{used}");
}

/// Load that finds room is not limited.
#[test]
fn test_priority_costs_nothing_while_there_is_room() {
    let others = Load {
        rate: 15.0,
        ..OTHERS
    };
    let outcomes = Simulation::run(&[URGENT, others], &[0, 1], true);
    for outcome in &outcomes {
        assert!(outcome.share() >= 0.99, "{}", outcome.share());
    }
}

/// Half of the lower callers repeat three times at once when they are refused. They get no more than those
/// who do not.
#[test]
fn test_priority_repeats_at_once_gain_nothing() {
    let half = Load {
        rate: 100.0,
        ..OTHERS
    };
    let repeating = Load { repeats: 3, ..half };
    let outcomes = Simulation::run(&[URGENT, half, repeating], &[0, 1, 1], true);
    let (waiting, repeating) = (outcomes[1].share(), outcomes[2].share());
    assert!(repeating <= waiting * 1.1, "{repeating} and {waiting}");
    assert!(outcomes[0].share() >= 0.98);
}

/// Servers in trouble refuse calls although nothing waits there: less load would not help.
#[test]
fn test_priority_refusals_without_waits_are_no_congestion() {
    let mut table = PriorityTable::default();
    table.set_ranks(&ranks(&[0, 1]));
    let mut now = Instant::now();
    for call in 0..500 {
        now += Duration::from_millis(10);
        let outcome = if call % 5 < 3 {
            CallOutcome::NotRun(NotRunCause::Busy)
        } else {
            CallOutcome::Done(0)
        };
        let latency = Duration::from_millis(11);
        table.on_report(&"ledger".into(), &"r1".into(), outcome, latency, now);
    }
    assert!(!table.is_congested(&"ledger".into()));
}

/// Calls take longer for a while although none is refused: servers are slow, and less load would not help.
#[test]
fn test_priority_waits_without_refusals_are_no_congestion() {
    let mut table = PriorityTable::default();
    table.set_ranks(&ranks(&[0, 1]));
    let mut now = Instant::now();
    for call in 0..500 {
        now += Duration::from_millis(10);
        let latency = Duration::from_millis(if call < 100 { 11 } else { 60 });
        let done = CallOutcome::Done(0);
        table.on_report(&"ledger".into(), &"r1".into(), done, latency, now);
    }
    assert!(!table.is_congested(&"ledger".into()));
}

/// Searches are answered without the shards that lack room, so that none is kept out; their ranks order calls
/// that wait for connections.
#[test]
fn test_priority_searches_are_not_limited() {
    let services: Vec<ServiceId> = (0..10).map(|shard| format!("s{shard}").into()).collect();
    let set = ShardSet {
        services: services.clone(),
        top: 5,
        coverage: 0.8,
    };
    let routes = [
        route("quick", 0, RouteTarget::Shards(set.clone())),
        route("full", 1, RouteTarget::Shards(set)),
    ];
    let ranks = RouteRanks::new(&routes);
    assert_eq!(ranks.rank(&"full".into()), 1);
    let mut table = PriorityTable::default();
    table.set_ranks(&Arc::new(ranks));
    let mut now = Instant::now();
    for call in 0..400 {
        now += Duration::from_millis(20);
        for service in &services {
            let outcome = if call < 100 || call % 2 == 0 {
                CallOutcome::Done(0)
            } else {
                CallOutcome::NotRun(NotRunCause::Busy)
            };
            let latency = Duration::from_millis(if call < 100 { 10 } else { 90 });
            table.on_report(service, &"full".into(), outcome, latency, now);
        }
    }
    assert!(!services.iter().any(|service| table.is_congested(service)));
}

#[test]
fn test_ranks_count_higher_priorities_on_shared_services() {
    let service = |name: &str| RouteTarget::Service(name.into());
    let routes = [
        route("a", 0, service("ledger")),
        route("b", 4, service("ledger")),
        route("c", 7, service("ledger")),
        route("d", 7, service("desk")),
    ];
    let ranks = RouteRanks::new(&routes);
    let found = ["a", "b", "c", "d"].map(|name| ranks.rank(&name.into()));
    assert_eq!(found, [0, 1, 2, 0]);
}
