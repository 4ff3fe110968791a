//! Tests of the calls to cold backend servers.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{FleetSight, WarmupPolicy};
use crate::{
    ids::ServerId,
    policy::{
        outcome::{CallOutcome, NotRunCause},
        replica::{CallReport, Listing, ReplicaState, ReplicaTable, ServerNotice},
        server_limit::{Allotment, CallRate, PermitAllocator, PermitClaim, PermitGrant, Permits},
    },
    time::Millis,
};

const TICK: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);
const RUN: Duration = Duration::from_secs(12);
/// A time after which all VMs have known the same fleet for long.
const LONG: Duration = Duration::from_mins(1);
/// The bound on the calls in one second, as a multiple of the rate and beyond that.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The requests a second of all VMs together, as a multiple of the rate.
const DEMAND: f64 = 4.0;

fn rate(calls: f64) -> CallRate {
    CallRate::per_second(calls).unwrap()
}

/// One VM, and what it believes about the fleet.
struct Vm {
    permits: Permits,
    /// The index of the VM that it takes for the allocator.
    allocator: usize,
    sight: FleetSight,
    /// Whether the VM reaches only VMs of its half of the fleet.
    is_cut: bool,
    /// Until when a request waits for a permit.
    waiting: Option<Instant>,
    pools: PermitAllocator,
    fallback: PermitAllocator,
}

/// A fleet whose VMs claim permits for one cold server.
struct Fleet {
    vms: Vec<Vm>,
    limit: CallRate,
    begin: Instant,
    now: Instant,
    calls: Vec<Instant>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(count: u32, limit: f64) -> Self {
        let now = Instant::now();
        let limit = rate(limit);
        let vm = |_| Vm {
            permits: Permits::for_cold_server(limit, now),
            allocator: 0,
            sight: FleetSight {
                answering: count,
                peak: count,
                stable_for: LONG,
                uptime: LONG,
                has_unmet_seed: false,
            },
            is_cut: false,
            waiting: None,
            pools: PermitAllocator::default(),
            fallback: PermitAllocator::default(),
        };
        Self {
            vms: (0..count).map(vm).collect(),
            limit,
            begin: now,
            now,
            calls: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(41),
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for vm in &mut self.vms {
                vm.sight.stable_for += TICK;
                vm.sight.uptime += TICK;
            }
            self.request();
            for vm in 0..self.vms.len() {
                self.claim(vm);
            }
        }
    }

    /// Sends the requests of one tick, each to a random VM.
    fn request(&mut self) {
        for vm in &mut self.vms {
            if vm.waiting.take().is_some_and(|until| self.now <= until)
                && vm.permits.has_one(self.now)
            {
                vm.permits.spend(self.now);
                self.calls.push(self.now);
            }
        }
        let mut requests = self.limit.calls_in(TICK) * DEMAND;
        while requests > self.rng.random::<f64>() {
            requests -= 1.0;
            let index = self.rng.random_range(0..self.vms.len());
            let vm = &mut self.vms[index];
            if vm.permits.has_one(self.now) {
                vm.permits.spend(self.now);
                self.calls.push(self.now);
            } else {
                vm.permits.want();
                let waits = !vm.permits.is_short(self.now);
                vm.waiting = waits.then_some(self.now + 3 * TICK);
            }
        }
    }

    fn claim(&mut self, index: usize) {
        let now = self.now;
        let Some(calls) = self.vms[index].permits.take_claim() else {
            return;
        };
        let claim = |limit: CallRate| PermitClaim {
            server: "cold".into(),
            limit: Some(limit),
            age: Millis::new(500),
            calls,
        };
        let allocator = self.vms[index].allocator;
        let grant = if self.vms[index].is_cut != self.vms[allocator].is_cut {
            let vm = &mut self.vms[index];
            let claim = claim(self.limit.share(0.5 / f64::from(vm.sight.peak)));
            let allotment = Allotment::Cold(vm.sight);
            vm.fallback.grant(&claim, allotment, now)
        } else if self.vms[allocator].allocator == allocator {
            let vm = &mut self.vms[allocator];
            let allotment = Allotment::Cold(vm.sight);
            vm.pools.grant(&claim(self.limit), allotment, now)
        } else {
            PermitGrant::Calls(0)
        };
        let PermitGrant::Calls(granted) = grant else {
            panic!("nobody said that the server has no limit");
        };
        self.vms[index].permits.grant(calls, granted, now);
    }

    /// Makes the VMs that `is_concerned` selects take another VM for the allocator, as a change of the
    /// fleet does.
    fn change(&mut self, allocator: usize, is_concerned: impl Fn(usize) -> bool) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if is_concerned(index) {
                vm.allocator = allocator;
                vm.sight.stable_for = Duration::ZERO;
            }
        }
    }

    /// Checks the bound on the calls in each second, and that a share of the rate was used.
    fn check(&self, share: f64) {
        let most = self.calls.iter().map(|start| {
            let span = *start..*start + SECOND;
            self.calls.iter().filter(|at| span.contains(at)).count()
        });
        let most = f64::from(u32::try_from(most.max().unwrap_or_default()).unwrap());
        let bound = self.limit.calls_in(SECOND) * OVERSHOOT + SLACK;
        assert!(most <= bound, "{most} calls in one second, {bound} allowed");
        let calls = f64::from(u32::try_from(self.calls.len()).unwrap());
        let wanted = self.limit.calls_in(self.now - self.begin) * share;
        assert!(calls >= wanted, "{calls} calls, {wanted} wanted");
    }
}

#[parameterized(
    few_vms = { 3, 10.0 },
    fleet = { 86, 10.0 },
    large_fleet = { 295, 40.0 },
    low_rate = { 86, 2.0 },
    high_rate = { 12, 200.0 },
)]
fn test_cold_rate_is_kept_and_used(vms: u32, limit: f64) {
    let mut fleet = Fleet::new(vms, limit);
    fleet.run(RUN);
    fleet.check(0.6);
}

/// VMs that have just started know too little to hand out permits.
#[parameterized(
    fleet = { 86, 10.0 },
    high_rate = { 12, 40.0 },
)]
fn test_cold_rate_is_kept_while_all_vms_start(vms: u32, limit: f64) {
    let mut fleet = Fleet::new(vms, limit);
    for (index, vm) in fleet.vms.iter_mut().enumerate() {
        vm.allocator = index;
        vm.sight.answering = 1;
        vm.sight.peak = 1;
        vm.sight.uptime = Duration::ZERO;
        vm.sight.stable_for = Duration::ZERO;
        vm.sight.has_unmet_seed = true;
    }
    fleet.run(SECOND);
    for vm in &mut fleet.vms {
        vm.sight.has_unmet_seed = false;
        vm.sight.answering = vms;
        vm.sight.peak = vms;
    }
    fleet.change(0, |_| true);
    fleet.run(RUN);
    fleet.check(0.4);
}

/// VMs that are cut off from all others since their start hand out little.
#[parameterized(one = { 1, 20.0 }, three = { 3, 20.0 }, three_high_rate = { 3, 100.0 })]
fn test_cold_rate_is_kept_beside_vms_that_meet_nobody(lonely: usize, limit: f64) {
    let mut fleet = Fleet::new(8, limit);
    for (index, vm) in fleet.vms.iter_mut().enumerate().take(lonely + 1).skip(1) {
        vm.allocator = index;
        vm.sight.answering = 1;
        vm.sight.peak = 1;
        vm.sight.has_unmet_seed = true;
    }
    fleet.run(RUN);
    fleet.check(0.6);
}

/// A VM that has met no other since its start still sends servers a call now and then.
#[parameterized(low_rate = { 2.0 }, usual = { 20.0 }, high_rate = { 100.0 })]
fn test_cold_server_is_tried_by_a_vm_that_meets_nobody(limit: f64) {
    let mut fleet = Fleet::new(1, limit);
    fleet.vms[0].sight.has_unmet_seed = true;
    fleet.run(LONG);
    fleet.check(0.04);
}

/// The fleet was cut in parts and restarted since, so that each part knows only itself.
#[parameterized(
    halves = { &[6, 6], 20.0 },
    halves_high_rate = { &[6, 6], 100.0 },
    uneven = { &[9, 3], 100.0 },
    three_parts = { &[4, 4, 4], 100.0 },
)]
fn test_cold_rate_is_kept_by_parts_that_have_not_met(sizes: &[usize], limit: f64) {
    let mut parts: Vec<Fleet> = sizes
        .iter()
        .map(|size| Fleet::new(u32::try_from(*size).unwrap(), limit))
        .collect();
    for part in &mut parts {
        for vm in &mut part.vms {
            vm.sight.has_unmet_seed = true;
        }
        part.run(RUN);
    }
    let mut fleet = parts.pop().unwrap();
    for part in parts {
        let shift = |at: &Instant| fleet.begin + (*at - part.begin);
        let calls: Vec<Instant> = part.calls.iter().map(shift).collect();
        fleet.calls.extend(calls);
    }
    fleet.check(0.5);
}

/// Both halves hand out permits in proportion to their size.
#[parameterized(low_rate = { 2.0 }, usual = { 10.0 }, high_rate = { 100.0 })]
fn test_cold_rate_is_kept_in_a_partition(limit: f64) {
    let mut fleet = Fleet::new(12, limit);
    fleet.run(2 * SECOND);
    for vm in &mut fleet.vms[6..] {
        vm.is_cut = true;
    }
    fleet.run(SECOND / 2);
    for vm in &mut fleet.vms {
        vm.sight.answering = 6;
    }
    fleet.change(6, |index| index >= 6);
    fleet.run(RUN);
    for vm in &mut fleet.vms {
        vm.is_cut = false;
        vm.sight.answering = 12;
    }
    fleet.change(0, |index| index >= 6);
    fleet.run(RUN);
    fleet.check(0.5);
}

/// Half of the VMs learn seconds later than the others that another VM hands out the permits.
#[parameterized(low_rate = { 2.0 }, usual = { 10.0 }, high_rate = { 40.0 })]
fn test_cold_rate_is_kept_with_an_old_view(limit: f64) {
    let mut fleet = Fleet::new(12, limit);
    fleet.run(2 * SECOND);
    fleet.change(1, |index| index % 2 == 1);
    fleet.run(2 * SECOND);
    fleet.change(1, |index| index % 2 == 0);
    fleet.run(RUN);
    fleet.check(0.5);
}

fn table(now: Instant) -> (ReplicaTable, Vec<ServerId>) {
    let mut table = ReplicaTable::default();
    list(&mut table, Duration::ZERO, 1, now);
    (table, vec!["a".into(), "b".into()])
}

/// Lists two servers, of which the first stays cold for a time.
fn list(table: &mut ReplicaTable, cold: Duration, born: u64, now: Instant) {
    let policy = WarmupPolicy {
        time: Millis::new(3_000),
        rate: rate(10.0),
    };
    let listings = ["a", "b"].map(|server| Listing {
        server: server.into(),
        slots: 2,
        leaving: false,
        evacuated: false,
        born: if server == "a" { born } else { 1 },
        warmup: Some(policy),
        cold: if server == "a" { cold } else { Duration::ZERO },
        penalty: Duration::ZERO,
        may_pause: true,
    });
    table.set_servers(&"ledger".into(), listings.to_vec(), now);
}

fn grant(table: &mut ReplicaTable, now: Instant) {
    for claim in table.take_claims(now) {
        table.on_grant(&claim, PermitGrant::Calls(claim.calls), now, now);
    }
}

/// A cold server gets calls against permits only; the others go to the warm one.
#[test]
fn test_cold_server_needs_permits() {
    let now = Instant::now();
    let (mut table, servers) = table(now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    list(&mut table, 3 * SECOND, 1, now);
    assert!(table.is_cold(&servers[0], now) && table.has_limit(&servers[0]));
    for _ in 0..50 {
        let pick = table.choose(&servers, &[], now, &mut rng).unwrap();
        assert_eq!(&*pick.server, "b");
    }
    assert_eq!(table.choose(&servers, &servers[1..], now, &mut rng), None);
    assert!(table.permitted_in(&servers[..1], now).unwrap() > Duration::ZERO);
    grant(&mut table, now);
    let pick = table
        .choose(&servers, &servers[1..], now, &mut rng)
        .unwrap();
    assert_eq!(&*pick.server, "a");
    // The document did not change, so that the time goes on.
    let later = now + 3 * SECOND;
    list(&mut table, 3 * SECOND, 1, later);
    assert!(!table.is_cold(&servers[0], later));
    let pick = table
        .choose(&servers, &servers[1..], later, &mut rng)
        .unwrap();
    assert_eq!(&*pick.server, "a");
    assert_eq!(table.take_claims(later), []);
    assert!(!table.has_limits());
}

#[parameterized(
    stated_in_a_reply = { 0 },
    another_run = { 1 },
    evacuation_ended = { 2 },
    failed_and_returned = { 3 },
)]
fn test_cold_server_is_noticed(way: u8) {
    let now = Instant::now();
    let (mut table, servers) = table(now);
    let server = &servers[0];
    let report = |outcome| CallReport {
        outcome,
        latency: Duration::from_millis(5),
        queue_len: Some(0),
        queue_wait: Duration::ZERO,
    };
    match way {
        0 => {
            let notice = ServerNotice {
                cold: Some(3 * SECOND),
                ..ServerNotice::default()
            };
            table.on_notice(server, notice, now, now);
        }
        1 => list(&mut table, Duration::ZERO, 2, now),
        2 => {
            let evacuated = |evacuated| Listing {
                server: ServerId::clone(server),
                slots: 2,
                leaving: false,
                evacuated,
                born: 1,
                warmup: Some(WarmupPolicy {
                    time: Millis::new(3_000),
                    rate: rate(10.0),
                }),
                cold: Duration::ZERO,
                penalty: Duration::ZERO,
                may_pause: true,
            };
            table.set_servers(&"ledger".into(), vec![evacuated(true)], now);
            table.set_servers(&"ledger".into(), vec![evacuated(false)], now);
        }
        _ => {
            let failure = report(CallOutcome::NotRun(NotRunCause::Connect));
            for _ in 0..3 {
                table.on_report(server, &failure, now);
            }
            assert!(matches!(
                table.state(server),
                Some(ReplicaState::Ejected(_))
            ));
            let later = now + LONG;
            assert!(table.is_cold(server, later), "it may return cold");
            assert_eq!(table.take_probe(&servers[..1], later), None, "no permit");
            grant(&mut table, later);
            assert!(table.take_probe(&servers[..1], later).is_some());
            table.on_report(server, &report(CallOutcome::Done(0)), now);
        }
    }
    assert!(table.is_cold(server, now) && table.has_limit(server));
    let warm = now + 3 * SECOND;
    assert!(!table.is_cold(server, warm));
}

/// A service that states no rate is not limited, however cold its servers are.
#[test]
fn test_cold_server_without_a_policy_is_not_limited() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let listing = Listing {
        server: "a".into(),
        slots: 2,
        leaving: false,
        evacuated: false,
        born: 1,
        warmup: None,
        cold: 3 * SECOND,
        penalty: Duration::ZERO,
        may_pause: true,
    };
    table.set_servers(&"ledger".into(), vec![listing], now);
    assert!(!table.is_cold(&"a".into(), now) && !table.has_limits());
}
