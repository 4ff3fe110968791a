//! Tests of jobs on a small fleet of processes: each job runs at most once, and the reported
//! outcome is correct. One test covers the cancellation of a search whose caller disconnects.

use std::net::SocketAddr;

use cassialift_core::{
    presets::Preset,
    request::{ExecutionStatus, RefusalReason, RequestKind},
    time::Millis,
};
use cassialift_testkit::{
    harness::{Caller, Fleet, FleetSettings, Signal},
    history::CallEnd,
    standin::backend::ServiceTime,
};
use cassialift_wire::caller::{
    JOBS_PATH, JobAnswer, JobRequest, JobState, OUTCOME_PATH, OutcomeRequest, SEARCH_PATH,
    SearchRequest,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// The duration of a slow job, in microseconds.
const SLOW_MICROS: u64 = 300_000;

async fn start_fleet(job_micros: u64, preset: Preset) -> Fleet {
    Fleet::start(FleetSettings {
        vms: vec![2],
        servers: 1,
        shards: 1,
        replicas: 1,
        job_servers: 1,
        backend_processes: 1,
        job_time: ServiceTime {
            median: job_micros,
            sigma: 0.0,
        },
        preset,
        ..FleetSettings::default()
    })
    .await
    .unwrap()
}

fn caller_at(fleet: &Fleet, name: &str, vm: usize) -> Caller {
    let mut caller = fleet.caller(name).unwrap();
    caller.pin_address(fleet.vm_address(vm));
    caller
}

async fn issued_ticket(caller: &mut Caller) -> String {
    for _ in 0..1_000 {
        if let Some(ticket) = caller.ticket().await {
            return ticket;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("no ticket was issued in 1000 attempts");
}

async fn start_count(fleet: &Fleet) -> u64 {
    let stats = fleet.backend_stats().await.unwrap();
    let runners = stats.iter().filter(|(id, _)| id.starts_with("press"));
    runners.map(|(_, stats)| stats.started).sum()
}

fn expect_refusal(end: CallEnd) -> (RefusalReason, ExecutionStatus) {
    match end {
        CallEnd::Refused(refusal) => (refusal.reason, refusal.ran),
        end => panic!("not a refusal: {end:?}"),
    }
}

fn is_done(end: &CallEnd) -> bool {
    matches!(
        end,
        CallEnd::Job(JobAnswer {
            state: JobState::Done(_),
            ..
        })
    )
}

/// Submits a job once and asserts that its outcome is returned.
async fn submit_done(caller: &mut Caller, ticket: &str, body: &str) {
    let end = caller.submit(ticket, body).await;
    assert!(is_done(&end), "{end:?}");
}

/// Waits until a job has run through each VM, because a fleet that has just started may refuse jobs
/// while a backend server has no owner. Returns the number of job runs started so far.
async fn warm_up(fleet: &Fleet) -> u64 {
    for vm in 0..2 {
        let mut caller = caller_at(fleet, "warm-up", vm);
        fleet
            .wait_for("a job that runs", async || {
                let ticket = issued_ticket(&mut caller).await;
                is_done(&caller.submit(&ticket, "warm-up").await)
            })
            .await
            .unwrap();
    }
    start_count(fleet).await
}

#[tokio::test]
async fn test_job_submitted_again_runs_once() {
    let fleet = start_fleet(1_000, Preset::default()).await;
    let before = warm_up(&fleet).await;
    let mut holder_caller = caller_at(&fleet, "promoter", 0);
    let mut other_caller = caller_at(&fleet, "promoter", 1);
    let ticket = issued_ticket(&mut holder_caller).await;
    let unused = holder_caller.outcome(&ticket).await;
    assert!(matches!(
        unused,
        CallEnd::Job(JobAnswer {
            state: JobState::Unused,
            ..
        })
    ));
    submit_done(&mut other_caller, &ticket, "print 500 bands").await;
    submit_done(&mut holder_caller, &ticket, "print 500 bands").await;
    assert!(is_done(&other_caller.outcome(&ticket).await));
    assert_eq!(start_count(&fleet).await, before + 1);
    let reused = other_caller.submit(&ticket, "print 900 bands").await;
    assert_eq!(
        expect_refusal(reused),
        (RefusalReason::TicketReused, ExecutionStatus::NotRun)
    );
    let mut stranger = caller_at(&fleet, "stranger", 1);
    let foreign = stranger.submit(&ticket, "print 500 bands").await;
    assert_eq!(
        expect_refusal(foreign),
        (RefusalReason::ForeignTicket, ExecutionStatus::NotRun)
    );
    assert_eq!(start_count(&fleet).await, before + 1);
}

#[tokio::test]
async fn test_job_concurrent_duplicates_run_once() {
    let fleet = start_fleet(SLOW_MICROS, Preset::default()).await;
    let before = warm_up(&fleet).await;
    let ticket = issued_ticket(&mut caller_at(&fleet, "promoter", 0)).await;
    let submissions = (0..12).map(|number| {
        let (ticket, mut caller) = (ticket.clone(), caller_at(&fleet, "promoter", number % 2));
        async move { caller.submit(&ticket, "print 500 bands").await }
    });
    for end in futures::future::join_all(submissions).await {
        assert!(is_done(&end), "{end:?}");
    }
    assert_eq!(start_count(&fleet).await, before + 1);
}

#[tokio::test]
async fn test_job_holder_gone_is_unknown() {
    let mut fleet = start_fleet(1_000, Preset::default()).await;
    let before = warm_up(&fleet).await;
    let mut other_caller = caller_at(&fleet, "promoter", 1);
    let ticket = issued_ticket(&mut caller_at(&fleet, "promoter", 0)).await;
    fleet.signal(0, Signal::Kill).unwrap();
    let unreachable = other_caller.submit(&ticket, "print").await;
    let reason = expect_refusal(unreachable).0;
    assert!(
        matches!(reason, RefusalReason::Unreachable | RefusalReason::NoReply),
        "{reason:?}"
    );
    fleet.start_vm(0).unwrap();
    fleet.wait_vm(0).await.unwrap();
    fleet
        .wait_for("the restarted holder", async || {
            expect_refusal(other_caller.submit(&ticket, "print").await)
                == (RefusalReason::HolderGone, ExecutionStatus::Unknown)
        })
        .await
        .unwrap();
    let outcome = expect_refusal(other_caller.outcome(&ticket).await);
    assert_eq!(
        outcome,
        (RefusalReason::HolderGone, ExecutionStatus::Unknown)
    );
    assert_eq!(start_count(&fleet).await, before);
}

#[tokio::test]
async fn test_job_frozen_holder_refuses_expired_ticket() {
    let preset = Preset {
        ticket_ttl: Millis::new(2_000),
        ..Preset::default()
    };
    let mut fleet = start_fleet(1_000, preset).await;
    let before = warm_up(&fleet).await;
    let mut holder_caller = caller_at(&fleet, "promoter", 0);
    let ticket = issued_ticket(&mut holder_caller).await;
    fleet.signal(0, Signal::Stop).unwrap();
    // The test is about the ticket's expiry, so it must wait for its whole time to live of 2 s.
    tokio::time::sleep(std::time::Duration::from_millis(2_100)).await;
    fleet.signal(0, Signal::Continue).unwrap();
    let (reason, _) = expect_refusal(holder_caller.submit(&ticket, "print").await);
    assert_eq!(reason, RefusalReason::ExpiredTicket);
    assert_eq!(start_count(&fleet).await, before);
}

async fn send_without_reading<T: serde::Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
) -> TcpStream {
    let body = serde_json::to_string(message).unwrap();
    let length = body.len();
    let request =
        format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[tokio::test]
async fn test_job_caller_hangs_up_runs_to_its_end() {
    let fleet = start_fleet(SLOW_MICROS, Preset::default()).await;
    let before = warm_up(&fleet).await;
    let mut holder_caller = caller_at(&fleet, "promoter", 0);
    let ticket = issued_ticket(&mut holder_caller).await;
    let job = JobRequest {
        id: "hang-up".to_owned(),
        caller: "promoter".into(),
        ticket: ticket.clone(),
        deadline: None,
        body: "print".to_owned(),
    };
    let stream = send_without_reading(fleet.vm_address(1), JOBS_PATH, &job).await;
    fleet
        .wait_for("the start of the job", async || {
            start_count(&fleet).await == before + 1
        })
        .await
        .unwrap();
    drop(stream);
    fleet
        .wait_for("the end of the job", async || {
            is_done(&holder_caller.outcome(&ticket).await)
        })
        .await
        .unwrap();
    assert_eq!(start_count(&fleet).await, before + 1);
}

#[tokio::test]
async fn test_search_caller_hangs_up_cancels() {
    let fleet = Fleet::start(FleetSettings {
        vms: vec![2],
        servers: 2,
        shards: 4,
        replicas: 1,
        backend_processes: 1,
        search_time: ServiceTime {
            median: 20_000_000,
            sigma: 0.0,
        },
        preset: slow_search_preset(),
        ..FleetSettings::default()
    })
    .await
    .unwrap();
    let search = SearchRequest {
        id: "hang-up".to_owned(),
        caller: "dealer".into(),
        service: "listings".into(),
        kind: RequestKind::WideSearch,
        shards: None,
        deadline: None,
        query: "reference 116610".to_owned(),
    };
    let run_counts = async || {
        let stats = fleet.backend_stats().await.unwrap();
        let sum = |count: fn(&_) -> u64| stats.values().map(count).sum::<u64>();
        (sum(|stats| stats.started), sum(|stats| stats.cancelled))
    };
    fleet.wait_slots_owned().await.unwrap();
    let stream = send_without_reading(fleet.vm_address(0), SEARCH_PATH, &search).await;
    fleet
        .wait_for("four runs", async || run_counts().await.0 == 4)
        .await
        .unwrap();
    drop(stream);
    fleet
        .wait_for("four cancellations", async || run_counts().await.1 == 4)
        .await
        .unwrap();
}

fn slow_search_preset() -> Preset {
    let policy = cassialift_core::presets::KindPolicy {
        deadline: Millis::new(30_000),
        ..Default::default()
    };
    Preset {
        kinds: [(RequestKind::WideSearch, policy)].into(),
        ..Preset::default()
    }
}

#[tokio::test]
async fn test_outcome_of_no_ticket_refused() {
    let fleet = start_fleet(1_000, Preset::default()).await;
    let client = cassialift_testkit::client::JsonClient::new(std::time::Duration::from_secs(20));
    let request = OutcomeRequest {
        id: "a".to_owned(),
        caller: "promoter".into(),
        ticket: "no ticket".to_owned(),
    };
    let reply = client
        .unwrap()
        .post(fleet.vm_address(0), OUTCOME_PATH, &request)
        .await
        .unwrap();
    assert_eq!(reply.status, 404);
}
