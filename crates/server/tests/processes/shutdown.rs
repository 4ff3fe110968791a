//! Graceful stops: nothing in flight is cut off.

use cassialift_core::{
    presets::KindPolicy,
    request::{RefusalReason, RequestKind},
    time::Millis,
};
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, JOB_SERVICE, Partition, Signal},
    history::CallEnd,
    standin::backend::{Faults, RunEnd, RunEvent, RunStep, ServiceTime, unix_micros},
};
use cassialift_wire::operator::{STATUS_PATH, Status};
use yare::parameterized;

use super::{
    job_support::{is_done, start_with_jobs, started, submit, ticket_at, tickets_of, wait_started},
    support::{
        assert_whole, cut_all, finish, load, run_for, set_all_faults, start, start_with,
        wait_all_covered, wait_covered,
    },
};

#[tokio::test]
async fn test_shutdown_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(500).await;
    fleet.set_vms(&[0], Millis::default()).await.unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    fleet.wait_exit(0).await.unwrap();
    wait_covered(&fleet, 1).await;
    finish(&fleet, traffic).await;
}

#[parameterized(
    at_the_stop = { 0 },
    before_the_stop = { 4_000 },
)]
#[test_macro(tokio::test)]
async fn test_shutdown_of_a_vm_that_is_cut_off(before: u64) {
    let mut fleet = start_with(FleetSettings {
        vms: vec![1, 1],
        relays: true,
        ..FleetSettings::default()
    })
    .await;
    wait_all_covered(&fleet).await;
    let traffic = load(&fleet);
    run_for(300).await;
    cut_all(&fleet, Partition::Both);
    run_for(before).await;
    fleet.signal(1, Signal::Terminate).unwrap();
    fleet.wait_exit(1).await.unwrap();
    // Longer than callers keep an address.
    run_for(2_500).await;
    traffic.stop().await.unwrap();
    let history = fleet.history().unwrap();
    let refused = history
        .calls
        .iter()
        .filter(|record| is_cut_off(&record.end));
    let refused: Vec<_> = refused.collect();
    assert!(refused.is_empty(), "{} calls: {refused:#?}", refused.len());
    assert_whole(&fleet).await;
}

/// Returns whether a caller was turned away from an address that it may still use.
fn is_cut_off(end: &CallEnd) -> bool {
    match end {
        CallEnd::NoConnection | CallEnd::Broken(_) | CallEnd::Unreadable(_) => true,
        CallEnd::Refused(refusal) => refusal.reason == RefusalReason::Leaving,
        CallEnd::Answer(_) | CallEnd::Job(_) => false,
    }
}

#[tokio::test]
async fn test_shutdown_finishes_a_job() {
    let mut fleet = start_with_jobs(3_000, tickets_of(60_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_at(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let submission = submit(&fleet, 0, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = submission.await.unwrap();
    assert!(is_done(&end), "{end:?}");
    fleet.wait_exit(0).await.unwrap();
    assert_eq!(started(&fleet, &body), 1);
    assert_whole(&fleet).await;
}

/// What a VM that stops does for a job that came in through another VM.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// It issued the ticket.
    Holder,
    /// It owns the backend servers that run jobs.
    Owner,
}

/// No connection of a caller keeps the stopping process: only its count of peers' calls does.
#[parameterized(
    holder = { Part::Holder },
    owner = { Part::Owner },
)]
#[test_macro(tokio::test)]
async fn test_shutdown_finishes_a_peers_job(part: Part) {
    let mut settings = FleetSettings {
        job_servers: 1,
        ..FleetSettings::default()
    };
    let kinds = &mut settings.preset.kinds;
    kinds.insert(RequestKind::Job, long_deadline());
    let mut fleet = start_with(settings).await;
    fleet.wait_slots_owned().await.unwrap();
    let owner = owner_of(&fleet, &format!("{JOB_SERVICE}-0")).await;
    let [holder, other] = [(owner + 1) % 3, (owner + 2) % 3];
    let (entry, stopped) = match part {
        Part::Holder => (other, holder),
        Part::Owner => (holder, owner),
    };
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_at(&fleet, &mut caller, holder).await;
    let body = caller.next_body();
    hang(&fleet, true).await;
    let submission = submit(&fleet, entry, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    let signalled = unix_micros();
    fleet.signal(stopped, Signal::Terminate).unwrap();
    wait_closed(&fleet, stopped).await;
    // A process that does not wait for the call is gone by now.
    run_for(500).await;
    hang(&fleet, false).await;
    let end = submission.await.unwrap();
    assert!(is_done(&end), "{end:?}");
    fleet.wait_exit(stopped).await.unwrap();
    let runs = fleet.history().unwrap().runs;
    let steps = runs.iter().filter(|run| run.body == body);
    let before = |run: &RunEvent| (run.step, run.at < signalled);
    let steps: Vec<_> = steps.map(before).collect();
    let ended = RunStep::Ended(RunEnd::Done);
    assert_eq!(steps, [(RunStep::Started, true), (ended, false)]);
    assert_whole(&fleet).await;
}

/// Makes a policy whose deadline outlasts every test.
fn long_deadline() -> KindPolicy {
    KindPolicy {
        deadline: Millis::new(50_000),
        ..KindPolicy::default()
    }
}

/// Returns the VM that owns a backend server, as the first VM knows it.
async fn owner_of(fleet: &Fleet, server: &str) -> usize {
    let reply = fleet.get(0, STATUS_PATH).await.unwrap();
    let status: Status = reply.parse().unwrap();
    let mut servers = status.servers.into_iter();
    let owner = servers.find(|known| known.server == server).unwrap().owner;
    let number = owner.as_deref().and_then(|vm| vm.strip_prefix("vm-"));
    number.unwrap().parse().unwrap()
}

/// Lets all backend servers hang, or finish what they run.
async fn hang(fleet: &Fleet, hang: bool) {
    let faults = Faults {
        hang,
        ..Faults::default()
    };
    set_all_faults(fleet, faults).await;
}

/// Waits until a VM that stops takes no new requests.
async fn wait_closed(fleet: &Fleet, vm: usize) {
    let mut caller = fleet.caller("late").unwrap();
    let closed = async || {
        caller.pin_address(fleet.vm_address(vm));
        match caller.search(RequestKind::Fetch, Some(vec![0])).await {
            CallEnd::Refused(refusal) => refusal.reason == RefusalReason::Leaving,
            end => end == CallEnd::NoConnection,
        }
    };
    fleet.wait_for("a VM to close", closed).await.unwrap();
}

#[tokio::test]
async fn test_shutdown_finishes_a_search_longer_than_the_librarys_patience() {
    let mut settings = FleetSettings {
        search_time: ServiceTime {
            median: 2_000,
            sigma: 0.0,
        },
        ..FleetSettings::default()
    };
    let kinds = &mut settings.preset.kinds;
    kinds.insert(RequestKind::Fetch, long_deadline());
    let mut fleet = start_with(settings).await;
    wait_covered(&fleet, 0).await;
    let slow = Faults {
        // Two milliseconds become 33 seconds.
        slowdown: 16_500.0,
        ..Faults::default()
    };
    set_all_faults(&fleet, slow).await;
    let before = fleet.history().unwrap().runs.len();
    let mut caller = fleet.caller("counter").unwrap();
    caller.pin_address(fleet.vm_address(0));
    let search =
        tokio::spawn(async move { caller.search(RequestKind::Fetch, Some(vec![1])).await });
    let runs = async || fleet.history().unwrap().runs.len() > before;
    fleet.wait_for("the search to run", runs).await.unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = search.await.unwrap();
    let CallEnd::Answer(answer) = end else {
        panic!("{end:?}");
    };
    assert_eq!(answer.coverage.included, [1], "{answer:?}");
    fleet.wait_exit(0).await.unwrap();
    assert_whole(&fleet).await;
}
