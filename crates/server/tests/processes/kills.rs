//! Processes that are killed.

use cassialift_testkit::harness::Signal;

use super::{
    job_support::{
        claims_not_run, is_done, preset_with_ticket_ttl, start_count, start_with_jobs, submit,
        ticket_from, wait_started,
    },
    support::{assert_invariants, finish, load, run_for, start, wait_covered},
};

#[tokio::test]
async fn test_kill_of_a_vm_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(500).await;
    fleet.signal(0, Signal::Kill).unwrap();
    run_for(1_000).await;
    wait_covered(&fleet, 1).await;
    wait_covered(&fleet, 2).await;
    fleet.start_vm(0).unwrap();
    fleet.wait_vm(0).await.unwrap();
    wait_covered(&fleet, 0).await;
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_kill_of_a_ticket_holder_never_runs_twice() {
    let mut fleet = start_with_jobs(1_000, preset_with_ticket_ttl(60_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let (holder_address, other_address) = (fleet.vm_address(0), fleet.vm_address(1));
    let submission = submit(&fleet, 0, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    fleet.signal(0, Signal::Kill).unwrap();
    submission.await.unwrap();
    let end = caller.submit_at(other_address, &ticket, &body).await;
    assert!(!claims_not_run(&end) && !is_done(&end), "{end:?}");
    fleet.start_vm(0).unwrap();
    fleet.wait_vm(0).await.unwrap();
    let end = caller.submit_at(holder_address, &ticket, &body).await;
    assert!(!claims_not_run(&end) && !is_done(&end), "{end:?}");
    assert_eq!(start_count(&fleet, &body), 1);
    assert_invariants(&fleet).await;
}

#[tokio::test]
async fn test_kill_of_the_vm_that_sends_a_job_never_runs_it_twice() {
    let mut fleet = start_with_jobs(1_000, preset_with_ticket_ttl(60_000)).await;
    let mut caller = fleet.caller("press").unwrap();
    let ticket = ticket_from(&fleet, &mut caller, 0).await;
    let body = caller.next_body();
    let submission = submit(&fleet, 0, &ticket, &body);
    wait_started(&fleet, &body, 1).await;
    for vm in [1, 2] {
        fleet.signal(vm, Signal::Kill).unwrap();
    }
    let end = submission.await.unwrap();
    assert!(!claims_not_run(&end), "{end:?}");
    let again = caller.submit_at(fleet.vm_address(0), &ticket, &body).await;
    assert!(!claims_not_run(&again), "{again:?}");
    assert_eq!(start_count(&fleet, &body), 1);
    assert_invariants(&fleet).await;
}
