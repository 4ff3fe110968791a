//! Graceful shutdown: requests in flight are finished first.

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
    job_support::{
        is_done, preset_with_ticket_ttl, start_count, start_with_jobs, submit, ticket_from,
        wait_started,
    },
    support::{
        assert_invariants, finish, load, partition_all, run_for, set_all_faults, start, start_with,
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
async fn test_shutdown_of_a_vm_that_is_cut_off(partition_millis: u64) {
    let mut fleet = start_with(FleetSettings {
        vms: vec![1, 1],
        relays: true,
        ..FleetSettings::default()
    })
    .await;
    wait_all_covered(&fleet).await;
    let traffic = load(&fleet);
    run_for(300).await;
    partition_all(&fleet, Partition::Both);
    run_for(partition_millis).await;
    fleet.signal(1, Signal::Terminate).unwrap();
    fleet.wait_exit(1).await.unwrap();
    // This wait is longer than callers cache an address.
    run_for(2_500).await;
    traffic.stop().await.unwrap();
    let history = fleet.history().unwrap();
    let failed = history
        .calls
        .iter()
        .filter(|record| failed_at_address(&record.end));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{} calls: {failed:#?}", failed.len());
    assert_invariants(&fleet).await;
}

/// Returns whether a call failed at an address that its caller may still use: no connection, no
/// readable reply, or a refusal because the VM is leaving.
fn failed_at_address(end: &CallEnd) -> bool {
    match end {
        CallEnd::NoConnection | CallEnd::Broken(_) | CallEnd::Unreadable(_) => true,
        CallEnd::Refused(refusal) => refusal.reason == RefusalReason::Leaving,
        CallEnd::Answer(_) | CallEnd::Job(_) => false,
    }
}

#[tokio::test]
async fn test_shutdown_finishes_a_job() {
    let mut fleet = start_with_jobs(3_000, preset_with_ticket_ttl(60_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let submission = submit(&fleet, 0, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = submission.await.unwrap();
    assert!(is_done(&end), "{end:?}");
    fleet.wait_exit(0).await.unwrap();
    assert_eq!(start_count(&fleet, &body), 1);
    assert_invariants(&fleet).await;
}

/// The role of the VM that shuts down for a job that was submitted at another VM.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// The VM that issued the ticket.
    Holder,
    /// The VM that owns the backend server that runs the job.
    Owner,
}

/// A process that shuts down waits for the calls of peers as well as for those of callers. Here no
/// connection from a caller delays its end; only its count of peers' calls does.
#[parameterized(
    holder = { Role::Holder },
    owner = { Role::Owner },
)]
#[test_macro(tokio::test)]
async fn test_shutdown_finishes_a_peers_job(role: Role) {
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
    let (entry_vm, stopped_vm) = match role {
        Role::Holder => (other, holder),
        Role::Owner => (holder, owner),
    };
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, holder).await;
    let body = caller.next_body();
    set_hang(&fleet, true).await;
    let submission = submit(&fleet, entry_vm, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    let signalled_at = unix_micros();
    fleet.signal(stopped_vm, Signal::Terminate).unwrap();
    wait_closed(&fleet, stopped_vm).await;
    // A process that did not wait for the call would end within this time.
    run_for(500).await;
    set_hang(&fleet, false).await;
    let end = submission.await.unwrap();
    assert!(is_done(&end), "{end:?}");
    fleet.wait_exit(stopped_vm).await.unwrap();
    let runs = fleet.history().unwrap().runs;
    let steps = runs.iter().filter(|run| run.body == body);
    let step_and_order = |run: &RunEvent| (run.step, run.at < signalled_at);
    let steps: Vec<_> = steps.map(step_and_order).collect();
    let done = RunStep::Ended(RunEnd::Done);
    assert_eq!(steps, [(RunStep::Started, true), (done, false)]);
    assert_invariants(&fleet).await;
}

/// Returns a policy with a deadline of 50 s, longer than any request of these tests takes.
fn long_deadline() -> KindPolicy {
    KindPolicy {
        deadline: Millis::new(50_000),
        ..KindPolicy::default()
    }
}

/// Returns the number of the VM that owns a backend server, according to the first VM.
async fn owner_of(fleet: &Fleet, server: &str) -> usize {
    let reply = fleet.get(0, STATUS_PATH).await.unwrap();
    let status: Status = reply.parse().unwrap();
    let mut servers = status.servers.into_iter();
    let owner = servers
        .find(|status| status.server == server)
        .unwrap()
        .owner;
    let number = owner.as_deref().and_then(|vm| vm.strip_prefix("vm-"));
    number.unwrap().parse().unwrap()
}

/// Makes all backend servers hang, or lets them finish their runs.
async fn set_hang(fleet: &Fleet, hang: bool) {
    let faults = Faults {
        hang,
        ..Faults::default()
    };
    set_all_faults(fleet, faults).await;
}

/// Waits until a VM that shuts down accepts no new requests.
async fn wait_closed(fleet: &Fleet, vm: usize) {
    let mut caller = fleet.caller("late").unwrap();
    let closed = async || {
        caller.pin_address(fleet.vm_address(vm));
        match caller.search(RequestKind::Fetch, Some(vec![0])).await {
            CallEnd::Refused(refusal) => refusal.reason == RefusalReason::Leaving,
            end => end == CallEnd::NoConnection,
        }
    };
    fleet
        .wait_for("a VM that accepts no requests", closed)
        .await
        .unwrap();
}

/// The accept loop of `volo-http` ends 30 s after a signal even if connections are still open. A
/// process that shuts down must still finish a search of 33 s.
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
        // A run of 2 ms takes 33 s.
        slowdown: 16_500.0,
        ..Faults::default()
    };
    set_all_faults(&fleet, slow).await;
    let before = fleet.history().unwrap().runs.len();
    let mut caller = fleet.caller("counter").unwrap();
    caller.pin_address(fleet.vm_address(0));
    let search =
        tokio::spawn(async move { caller.search(RequestKind::Fetch, Some(vec![1])).await });
    let has_started = async || fleet.history().unwrap().runs.len() > before;
    fleet
        .wait_for("a run of the search", has_started)
        .await
        .unwrap();
    fleet.signal(0, Signal::Terminate).unwrap();
    let end = search.await.unwrap();
    let CallEnd::Answer(answer) = end else {
        panic!("{end:?}");
    };
    assert_eq!(answer.coverage.included, [1], "{answer:?}");
    fleet.wait_exit(0).await.unwrap();
    assert_invariants(&fleet).await;
}
