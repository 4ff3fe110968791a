//! Tests of retry reasons, hedges, admission, limits, delegation and estimates.

mod budget;

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{
    EntryTables,
    admission::{Admission, AdmissionRequest},
    delegate::{
        Delegate, ShardGroup, centre_limits, direct_limit, group_remote_shards, limit_replicas,
        may_share_out, share_out,
    },
    hedge::Hedger,
    limit::ConcurrencyLimit,
    outcome::{CallOutcome, NotRunCause, UnknownCause},
    replica::{CallReport, Listing, WaitEstimate},
    retry::RetryReason,
    shutdown::ends_in_time,
};
use crate::{
    ids::{DataCentre, ServerId, VmId},
    presets::{HedgePolicy, KindPolicy, QueuePolicy},
    request::{RefusalReason, RequestKind},
};

const SHED: CallOutcome = CallOutcome::NotRun(NotRunCause::Busy);

/// Times are in milliseconds: the expected wait and service, and the time until the process ends.
#[parameterized(
    fetch = { RequestKind::Fetch, 100, 900, 1_000, true },
    late_fetch = { RequestKind::Fetch, 100, 901, 1_000, false },
    search = { RequestKind::WideSearch, 0, 1_001, 1_000, false },
    job = { RequestKind::Job, 100, 400, 1_000, true },
    late_job = { RequestKind::Job, 100, 401, 1_000, false },
    unknown_latency = { RequestKind::Job, 0, 0, 0, true },
    endless_wait = { RequestKind::Job, u64::MAX, 1, 1_000, false },
)]
fn test_request_ends_before_its_process(
    kind: RequestKind,
    wait: u64,
    service: u64,
    remaining: u64,
    expected: bool,
) {
    let estimate = WaitEstimate {
        queue_wait: Duration::from_millis(wait),
        service: Duration::from_millis(service),
        queue_len: 0.0,
    };
    let ends = ends_in_time(kind, estimate, Duration::from_millis(remaining));
    assert_eq!(ends, expected);
}

#[test]
fn test_retry_counters_differ() {
    let names: HashSet<_> = RetryReason::ALL.map(RetryReason::counter).into();
    assert_eq!(names.len(), RetryReason::ALL.len());
}

#[parameterized(
    done = { CallOutcome::Done(1), RequestKind::Fetch, None },
    expired = { CallOutcome::NotRun(NotRunCause::Expired), RequestKind::Fetch, None },
    job_not_run = { SHED, RequestKind::Job, Some(RetryReason::Busy) },
    job_unknown = { CallOutcome::Unknown(UnknownCause::Timeout), RequestKind::Job, None },
    fetch_unknown = {
        CallOutcome::Unknown(UnknownCause::Timeout), RequestKind::Fetch, Some(RetryReason::Timeout)
    },
    fetch_no_memory = { CallOutcome::Unknown(UnknownCause::NoMemory), RequestKind::Fetch, None },
)]
fn test_retry_reason(outcome: CallOutcome, kind: RequestKind, expected: Option<RetryReason>) {
    assert_eq!(RetryReason::from_outcome(outcome, kind), expected);
}

#[parameterized(
    search = { RequestKind::WideSearch, 0.05, true },
    job = { RequestKind::Job, 0.05, false },
    no_budget = { RequestKind::WideSearch, 0.0, false },
)]
fn test_hedge_delay(kind: RequestKind, budget: f64, hedges: bool) {
    let mut hedger = Hedger::default();
    let service = "counter".into();
    let policy = HedgePolicy {
        quantile: 0.9,
        budget,
    };
    assert_eq!(hedger.delay(&service, kind, &policy), None);
    for millis in 1..=100 {
        hedger.record_latency(&service, kind, Duration::from_millis(millis));
    }
    let delay = hedger.delay(&service, kind, &policy);
    assert_eq!(delay.is_some(), hedges);
    let usual = Duration::from_millis(90)..Duration::from_millis(102);
    assert!(
        delay.is_none_or(|delay| usual.contains(&delay)),
        "{delay:?}"
    );
}

fn request(caller: &str, kind: RequestKind, wait_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        caller: caller.into(),
        kind,
        remaining: Duration::from_millis(200),
        estimate: WaitEstimate {
            queue_wait: Duration::from_millis(wait_ms),
            service: Duration::from_millis(5),
            queue_len: 1.0,
        },
    }
}

fn admit(admission: &mut Admission, request: &AdmissionRequest) -> Option<RefusalReason> {
    let (policy, queue) = (KindPolicy::default(), QueuePolicy::default());
    let refused = admission.admit(request, &policy, &queue, Instant::now());
    refused.err().map(|refusal| refusal.reason)
}

#[parameterized(
    idle = { RequestKind::WideSearch, 0, None },
    urgent_waits = { RequestKind::WideSearch, 70, None },
    ordinary_shed_first = { RequestKind::Fetch, 70, Some(RefusalReason::Overloaded) },
    urgent_waits_through_a_burst = { RequestKind::WideSearch, 90, None },
    urgent_shed = { RequestKind::WideSearch, 170, Some(RefusalReason::Overloaded) },
    infeasible = { RequestKind::WideSearch, 300, Some(RefusalReason::Infeasible) },
)]
fn test_admission_sheds_by_urgency(
    kind: RequestKind,
    wait_ms: u64,
    expected: Option<RefusalReason>,
) {
    let mut admission = Admission::default();
    // The first ordinary request during overload is admitted by the initial token.
    let warmup = request("dealer", RequestKind::Fetch, 70);
    assert_eq!(admit(&mut admission, &warmup), None);
    assert_eq!(
        admit(&mut admission, &request("dealer", kind, wait_ms)),
        expected
    );
}

#[test]
fn test_admission_absorbs_a_burst_only() {
    let mut admission = Admission::default();
    let (policy, queue) = (KindPolicy::default(), QueuePolicy::default());
    let urgent = request("dealer", RequestKind::WideSearch, 90);
    let start = Instant::now();
    let mut is_refused = |millis| {
        let now = start + Duration::from_millis(millis);
        admission.admit(&urgent, &policy, &queue, now).is_err()
    };
    // A wait above the usual limit counts as a burst for two seconds, then as overload.
    let during: Vec<_> = (0..4_000).step_by(100).map(&mut is_refused).collect();
    assert_eq!(during.iter().position(|refused| *refused), Some(20));
    assert!(during[20..].iter().all(|refused| *refused));
    // The overload ends after one second without load, and the next one starts as a burst again.
    assert!(!is_refused(5_000));
}

#[test]
fn test_admission_burst_leaves_room_in_the_queue() {
    let mut admission = Admission::default();
    let (policy, queue) = (KindPolicy::default(), QueuePolicy::default());
    for (share, expected) in [(0.8, true), (0.95, false)] {
        let mut urgent = request("dealer", RequestKind::WideSearch, 10);
        urgent.estimate.queue_len = f64::from(queue.length) * share;
        let result = admission.admit(&urgent, &policy, &queue, Instant::now());
        assert_eq!(result.is_ok(), expected, "{share}");
    }
}

#[test]
fn test_limit_outlasts_a_few_calls_that_were_held_up() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(2, now);
    let mut reply = |service| {
        now += Duration::from_millis(5);
        limit.on_reply(CallOutcome::Done(1), Duration::from_millis(service), now);
        limit.get()
    };
    for _ in 0..200 {
        reply(5);
    }
    // The backend server was frozen with calls in flight, and then is as fast as before.
    for _ in 0..4 {
        reply(1_000);
    }
    assert!((0..200).all(|_| reply(5) == 2));
}

#[test]
fn test_admission_hints_when_to_come_back() {
    let mut admission = Admission::default();
    let (policy, queue) = (KindPolicy::default(), QueuePolicy::default());
    let refused = request("dealer", RequestKind::WideSearch, 300);
    let refusal = admission.admit(&refused, &policy, &queue, Instant::now());
    assert_eq!(
        refusal.unwrap_err().retry_after,
        Some(Duration::from_millis(105))
    );
    assert_eq!(admission.in_flight(), 0);
}

#[test]
fn test_admission_does_not_starve_ordinary() {
    let mut admission = Admission::default();
    let mut ordinary = 0;
    for _ in 0..400 {
        let urgent = request("dealer", RequestKind::WideSearch, 70);
        assert_eq!(admit(&mut admission, &urgent), None);
        admission.on_end(&urgent.caller);
        let other = request("invoices", RequestKind::Fetch, 70);
        if admit(&mut admission, &other).is_none() {
            admission.on_end(&other.caller);
            ordinary += 1;
        }
    }
    assert!((20..=24).contains(&ordinary), "{ordinary}");
}

#[test]
fn test_admission_limits_a_caller_in_overload() {
    let mut admission = Admission::default();
    for _ in 0..60 {
        assert_eq!(
            admit(&mut admission, &request("big", RequestKind::WideSearch, 0)),
            None
        );
    }
    for _ in 0..20 {
        assert_eq!(
            admit(
                &mut admission,
                &request("small", RequestKind::WideSearch, 0)
            ),
            None
        );
    }
    let more = request("big", RequestKind::WideSearch, 0);
    assert_eq!(admit(&mut admission, &more), None);
    let shed = request("big", RequestKind::WideSearch, 170);
    assert_eq!(
        admit(&mut admission, &shed),
        Some(RefusalReason::Overloaded)
    );
    assert_eq!(
        admit(&mut admission, &more),
        Some(RefusalReason::CallerShare)
    );
    assert_eq!(
        admit(
            &mut admission,
            &request("small", RequestKind::WideSearch, 0)
        ),
        None
    );
    for _ in 0..61 {
        admission.on_end(&"big".into());
    }
    assert_eq!(admit(&mut admission, &more), None);
}

#[test]
fn test_limit_falls_and_returns_between_one_and_slots() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(6, start);
    assert_eq!(limit.get(), 6);
    for step in 1..=100 {
        limit.on_reply(
            SHED,
            Duration::ZERO,
            start + Duration::from_millis(step * 300),
        );
    }
    assert_eq!(limit.get(), 1);
    limit.grow(start + Duration::from_secs(31));
    assert_eq!(limit.get(), 1);
    limit.grow(start + Duration::from_secs(90));
    assert_eq!(limit.get(), 6);
}

#[test]
fn test_limit_does_not_oscillate() {
    // A backend server that sheds all calls beyond three at once.
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(6, start);
    let mut changes = 0;
    let mut last = limit.get();
    for step in 0..6_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let outcome = if limit.get() > 3 {
            SHED
        } else {
            CallOutcome::Done(1)
        };
        limit.on_reply(outcome, Duration::from_millis(5), now);
        changes += u32::from(limit.get() != last && step > 1_000);
        last = limit.get();
    }
    // Within fifty seconds the limit may probe for more at most every eight seconds.
    assert!(changes <= 20, "{changes}");
}

#[test]
fn test_limit_keeps_all_slots_with_noisy_latency() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(2, start);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for step in 0..50_000_u64 {
        // One call in fifty takes ten times as long as the others, which take 2 ms to 8 ms. The
        // first call is the fastest.
        let pause = if step % 50 == 49 { 10 } else { 1 };
        let millis = if step == 0 {
            1
        } else {
            rng.random_range(2..=8) * pause
        };
        let now = start + Duration::from_millis(step * 5);
        limit.on_reply(CallOutcome::Done(1), Duration::from_millis(millis), now);
        assert_eq!(limit.get(), 2, "call {step}");
    }
}

#[test]
fn test_limit_falls_with_latency() {
    let start = Instant::now();
    let mut limit = ConcurrencyLimit::new(2, start);
    let reply = CallOutcome::Done(1);
    for step in 0..200_u64 {
        let now = start + Duration::from_millis(step * 5);
        limit.on_reply(reply, Duration::from_millis(5), now);
    }
    assert_eq!(limit.get(), 2);
    for step in 200..250_u64 {
        let now = start + Duration::from_millis(step * 5);
        limit.on_reply(reply, Duration::from_millis(50), now);
    }
    assert_eq!(limit.get(), 1);
}

fn centres(names: &[&str]) -> Vec<DataCentre> {
    names.iter().map(|&name| name.into()).collect()
}

#[parameterized(
    ring = { "a", &["ab", "bc", "cd", "da", "ab", "bc", "cd", "da"], "abcd", &[("c", &[1, 2, 5, 6])] },
    from_another = { "c", &["ab", "bc", "cd", "da", "ab", "bc", "cd", "da"], "abcd", &[("a", &[0, 3, 4, 7])] },
    one_remote_centre = { "a", &["b", "b", "b", "b"], "ab", &[("b", &[0, 1, 2, 3])] },
    two_remote_centres = { "a", &["b", "b", "b", "c", "c", "c"], "abc", &[("b", &[0, 1, 2]), ("c", &[3, 4, 5])] },
    too_few_to_be_worth_it = { "a", &["ab", "b", "b"], "ab", &[] },
    no_vm_there = { "a", &["b", "b", "b", "bc"], "ac", &[] },
    all_near = { "a", &["ab", "ac", "ad"], "abcd", &[] },
)]
fn test_delegate_remote_shards(
    own: &str,
    shards: &[&str],
    vms: &str,
    expected: &[(&str, &[usize])],
) {
    let replicas: Vec<Vec<DataCentre>> = shards
        .iter()
        .map(|shard| {
            shard
                .chars()
                .map(|c| c.to_string().as_str().into())
                .collect()
        })
        .collect();
    let can_delegate = |centre: &DataCentre| vms.contains(&**centre);
    let groups = group_remote_shards(&own.into(), &replicas, can_delegate, |_| usize::MAX);
    let expected: Vec<ShardGroup> = expected
        .iter()
        .map(|(centre, shards)| ShardGroup {
            centre: centres(&[centre]).remove(0),
            shards: shards.to_vec(),
        })
        .collect();
    assert_eq!(groups, expected);
}

/// Two data centres hold every shard. Beyond its limit the own one hands shards over, and the other
/// gets no more than its own limit.
#[parameterized(
    no_limit = { usize::MAX, usize::MAX, &[] },
    own_limit = { 4, usize::MAX, &[4, 5, 6, 7, 8, 9] },
    both_limits = { 4, 5, &[4, 5, 6, 7, 8] },
    too_few_to_be_worth_it = { 8, usize::MAX, &[] },
)]
fn test_delegate_limits_of_centres(own: usize, other: usize, expected: &[usize]) {
    let replicas = vec![centres(&["a", "b"]); 10];
    let limit = |centre: &DataCentre| if &**centre == "a" { own } else { other };
    let groups = group_remote_shards(&"a".into(), &replicas, |_| true, limit);
    let shards: Vec<usize> = groups.into_iter().flat_map(|group| group.shards).collect();
    assert_eq!(shards, expected);
}

#[test]
fn test_delegate_centres_share_shards_by_processor_time() {
    let capacities = BTreeMap::from([("a".into(), 360), ("b".into(), 720)]);
    let limits = centre_limits(180, &capacities, Duration::from_millis(20));
    assert_eq!((limits["a"], limits["b"]), (60, 120));
    // A data centre that can do all in time keeps what is near.
    let capacities = BTreeMap::from([("a".into(), 10_000), ("b".into(), 10_000)]);
    let limits = centre_limits(180, &capacities, Duration::from_millis(100));
    assert!(limits["a"] >= 180);
}

#[parameterized(
    unknown = { 0, 20, usize::MAX },
    small = { 120, 20, 4 },
    small_with_time = { 120, 100, 20 },
    large = { 500, 100, 83 },
)]
fn test_delegate_direct_limit(capacity: u32, millis: u64, expected: usize) {
    let limit = direct_limit(capacity, Duration::from_millis(millis));
    assert_eq!(limit, expected);
}

fn delegates(count: u32) -> Vec<Delegate> {
    let delegate = |vm| Delegate {
        vm: format!("vm-{vm}").as_str().into(),
        capacity: 120,
    };
    (0..count).map(delegate).collect()
}

#[parameterized(
    alone = { 90, 0, 1 },
    one_other = { 90, 1, 2 },
    two_others = { 30, 2, 3 },
    many_others = { 90, 48, 12 },
    few_shards = { 30, 48, 7 },
    too_few_shards = { 15, 48, 1 },
    one_shard = { 1, 48, 1 },
)]
fn test_delegate_parts_cover_all_shards(shards: usize, others: u32, parts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let shared = share_out(shards, 120, &delegates(others), &mut rng);
    assert_eq!(shared.len(), parts);
    assert_eq!(shared.iter().map(|(size, _)| size).sum::<usize>(), shards);
    assert!(parts == 1 || may_share_out(shards, 120));
    let (least, most) = (
        shared.iter().map(|part| part.0).min(),
        shared.iter().map(|part| part.0).max(),
    );
    assert!(most.unwrap() - least.unwrap() <= 1);
    let vms: HashSet<_> = shared.iter().filter_map(|(_, vm)| vm.as_ref()).collect();
    let own = shared.iter().filter(|(_, vm)| vm.is_none()).count();
    assert_eq!(vms.len() + own, parts, "no VM gets two parts");
}

/// A VM that is faster than the others calls the shards itself where that is no slower.
#[parameterized(
    unknown = { 0, 1 },
    small = { 120, 9 },
    large = { 500, 1 },
)]
fn test_delegate_parts_only_if_faster(capacity: u32, parts: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let shared = share_out(60, capacity, &delegates(20), &mut rng);
    assert_eq!(shared.len(), parts);
}

/// A part goes to the same few VMs each time, so that their connections stay in use.
#[test]
fn test_delegate_part_stays_with_few_vms() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let all = delegates(48);
    let mut vms: HashSet<VmId> = HashSet::new();
    for _ in 0..100 {
        let shared = share_out(90, 120, &all, &mut rng);
        vms.extend(shared[0].1.clone());
    }
    assert!((2..=4).contains(&vms.len()), "{vms:?}");
}

/// Two VMs that list the same replicas in different orders keep the same ones, the near one first.
#[test]
fn test_delegate_limits_replicas_alike() {
    let names = ["a", "b", "c", "d"].map(ServerId::from);
    let near = |server: &ServerId| &**server == "c";
    for attempt in 0_u8..50 {
        let mut one = names.to_vec();
        let mut other: Vec<ServerId> = names.iter().rev().cloned().collect();
        limit_replicas(&mut one, near, &[attempt], 2);
        limit_replicas(&mut other, near, &[attempt], 2);
        assert_eq!(one, other);
        assert_eq!((one.len(), &*one[0]), (2, "c"));
    }
}

/// Both VMs may call the replicas of a shard: the one that delegates it, once the other is overdue.
#[test]
fn test_delegate_limits_replicas_of_vms_that_know_different_ones() {
    let servers = |names: [&str; 3]| names.map(ServerId::from).to_vec();
    for attempt in 0_u8..50 {
        // "a" has ended and "d" has taken its place; one VM has not learned of it yet.
        let mut behind = servers(["a", "b", "c"]);
        let mut current = servers(["b", "c", "d"]);
        limit_replicas(&mut behind, |_| true, &[attempt], 2);
        limit_replicas(&mut current, |_| true, &[attempt], 2);
        let called: HashSet<ServerId> = behind.into_iter().chain(current).collect();
        let live = called.iter().filter(|server| &***server != "a").count();
        assert!(live <= 2, "{called:?}");
    }
}

#[parameterized(
    all = { 1.0, 40 },
    nine_tenths_of_four_is_all = { 0.9, 40 },
    three_quarters = { 0.75, 30 },
    half = { 0.5, 20 },
    none = { 0.0, 10 },
)]
fn test_estimate_counts_the_shards_that_are_needed(share: f64, millis: u64) {
    let mut tables = EntryTables::default();
    let now = Instant::now();
    let service = "s".into();
    let names = ["a", "b", "c", "d"].map(ServerId::from);
    let listings = names.iter().map(|server| Listing {
        server: ServerId::clone(server),
        slots: 2,
        leaving: false,
        evacuated: false,
        born: 0,
        warmup: None,
        cold: Duration::ZERO,
        penalty: Duration::ZERO,
        may_pause: false,
    });
    tables
        .replicas
        .set_servers(&service, listings.collect(), now);
    for (server, millis) in names.iter().zip([40, 10, 30, 20]) {
        tables.replicas.on_send(server);
        let report = CallReport {
            outcome: CallOutcome::Done(1),
            latency: Duration::from_millis(millis),
            queue_len: None,
            queue_wait: Duration::ZERO,
        };
        tables.replicas.on_report(server, &report, now);
    }
    let sets = names.iter().map(std::slice::from_ref);
    let estimate = tables.estimate(sets, share, now);
    assert_eq!(estimate.service.as_millis(), u128::from(millis));
}
