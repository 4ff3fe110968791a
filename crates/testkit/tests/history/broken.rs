//! Histories that violate one rule each, and a valid one.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use cassialift_core::{
    ids::{IndexVersion, RequestKey, ShardId},
    index::{IndexDocument, ShardEntry},
    request::{Coverage, ExecutionStatus, MissingReason, MissingShard, RefusalReason, RequestKind},
};
use cassialift_testkit::{
    history::{Call, CallEnd, CallRecord, Disturbance, DisturbanceTarget, Expectations, History},
    standin::backend::{RunEvent, RunStep, job_rows, search_rows},
};
use cassialift_wire::{
    backend::RunRefusal,
    caller::{JobAnswer, JobRequest, JobState, Refusal, SearchAnswer, SearchRequest, ShardRows},
};

/// One second in microseconds.
pub(crate) const SECOND: u64 = 1_000_000;

pub(crate) fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn index(version: IndexVersion) -> IndexDocument {
    let entry = |shard| ShardEntry {
        shard,
        replicas: vec![Arc::from("server")],
    };
    IndexDocument {
        service: Arc::from("listings"),
        version,
        shards: (0..3).map(entry).collect(),
        servers: Vec::new(),
    }
}

fn shard_rows(shard: ShardId) -> ShardRows {
    ShardRows {
        shard,
        rows: search_rows(shard, 1, "query", 2),
    }
}

fn answer() -> SearchAnswer {
    SearchAnswer {
        id: String::from("id"),
        rows: vec![shard_rows(0), shard_rows(2)],
        coverage: Coverage {
            included: vec![0, 2],
            missing: vec![MissingShard {
                shard: 1,
                reason: MissingReason::Deadline,
            }],
        },
        version: 1,
        preset: Arc::from("ordinary"),
        revision: 5,
    }
}

pub(crate) fn search(end: CallEnd) -> CallRecord {
    let request = SearchRequest {
        id: String::from("id"),
        caller: Arc::from("caller"),
        service: Arc::from("listings"),
        kind: RequestKind::WideSearch,
        shards: None,
        deadline: None,
        query: String::from("query"),
    };
    CallRecord {
        sent_at: SECOND,
        ended_at: 2 * SECOND,
        address: address(),
        call: Call::Search(request),
        end,
    }
}

fn job(end: CallEnd) -> CallRecord {
    let request = JobRequest {
        id: String::from("id"),
        caller: Arc::from("caller"),
        ticket: String::from("ticket"),
        deadline: None,
        body: String::from("job"),
    };
    CallRecord {
        call: Call::Job(request),
        ..search(end)
    }
}

fn job_state(state: JobState) -> CallRecord {
    job(CallEnd::Job(JobAnswer {
        id: String::from("id"),
        state,
        preset: None,
        revision: None,
    }))
}

fn refused(ran: ExecutionStatus) -> CallEnd {
    CallEnd::Refused(Refusal {
        id: Some(String::from("id")),
        reason: RefusalReason::Overloaded,
        detail: String::new(),
        ran,
        retry: None,
        addresses: Vec::new(),
        coverage: None,
    })
}

pub(crate) fn run(kind: RequestKind, body: &str, at: u64, step: RunStep) -> RunEvent {
    RunEvent {
        at,
        server: Arc::from("server"),
        request: RequestKey {
            incarnation: 1,
            sequence: 1,
        },
        attempt: 0,
        kind,
        shard: 0,
        version: 1,
        body: body.to_owned(),
        step,
    }
}

fn job_run(at: u64) -> RunEvent {
    run(RequestKind::Job, "job", at, RunStep::Started)
}

fn history(calls: Vec<CallRecord>, runs: Vec<RunEvent>) -> History {
    let versions = BTreeMap::from([(1, index(1)), (2, index(2))]);
    History {
        expected: Expectations {
            indexes: BTreeMap::from([(Arc::from("listings"), versions)]),
            ..Expectations::default()
        },
        calls,
        runs,
        disturbances: Vec::new(),
    }
}

/// Returns a history of one search with a valid answer that `change` has modified.
fn with_answer(change: impl FnOnce(&mut SearchAnswer)) -> History {
    let mut answer = answer();
    change(&mut answer);
    history(vec![search(CallEnd::Answer(answer))], Vec::new())
}

pub(crate) fn valid() -> History {
    let mut history = with_answer(|_| {});
    let presets = &mut history.expected.presets;
    presets.insert(5, Arc::from("ordinary"));
    presets.insert(6, Arc::from("peak"));
    history
        .calls
        .push(job_state(JobState::Done(job_rows("job"))));
    history.calls.push(job(refused(ExecutionStatus::Unknown)));
    history.runs.push(job_run(SECOND));
    history
}

pub(crate) fn mixed_versions() -> History {
    with_answer(|answer| answer.rows[1].rows = search_rows(2, 2, "query", 2))
}

pub(crate) fn unpublished_version() -> History {
    with_answer(|answer| answer.version = 9)
}

pub(crate) fn included_without_rows() -> History {
    with_answer(|answer| drop(answer.rows.remove(0)))
}

pub(crate) fn missing_unstated() -> History {
    with_answer(|answer| answer.coverage.missing.clear())
}

pub(crate) fn crossed_rows() -> History {
    with_answer(|answer| answer.rows[0].rows = search_rows(0, 1, "query of another", 2))
}

pub(crate) fn truncated_rows() -> History {
    with_answer(|answer| drop(answer.rows[0].rows.pop()))
}

pub(crate) fn crossed_id() -> History {
    with_answer(|answer| answer.id = String::from("id of another"))
}

pub(crate) fn job_twice() -> History {
    history(Vec::new(), vec![job_run(1), job_run(2)])
}

pub(crate) fn job_done_and_never_ran() -> History {
    let done = job_state(JobState::Done(job_rows("job")));
    history(vec![done], Vec::new())
}

pub(crate) fn job_outcome_of_another() -> History {
    let done = job_state(JobState::Done(job_rows("job of another")));
    history(vec![done], vec![job_run(1)])
}

pub(crate) fn job_not_run_and_ran() -> History {
    let state = JobState::NotRun(RefusalReason::Unreachable);
    history(vec![job_state(state)], vec![job_run(1)])
}

pub(crate) fn job_refused_and_ran() -> History {
    history(
        vec![job(refused(ExecutionStatus::NotRun))],
        vec![job_run(1)],
    )
}

pub(crate) fn search_refused_and_ran() -> History {
    let ran = run(RequestKind::WideSearch, "query", 1, RunStep::Started);
    history(vec![search(refused(ExecutionStatus::NotRun))], vec![ran])
}

pub(crate) fn cut_off() -> History {
    let broken = CallEnd::Broken(String::from("reset"));
    history(vec![search(broken)], Vec::new())
}

pub(crate) fn address_closed() -> History {
    history(vec![search(CallEnd::NoConnection)], Vec::new())
}

pub(crate) fn unreadable() -> History {
    let garbage = CallEnd::Unreadable(String::from("{"));
    history(vec![search(garbage)], Vec::new())
}

pub(crate) fn leaving_with_late_work() -> History {
    let refused = RunStep::Refused(RunRefusal::Leaving);
    let late = run(RequestKind::Fetch, "query", 5 * SECOND, refused);
    with_leaving(late)
}

pub(crate) fn with_leaving(run: RunEvent) -> History {
    let mut history = history(Vec::new(), vec![run]);
    history.disturbances.push(Disturbance {
        target: DisturbanceTarget::Server(Arc::from("server")),
        from: SECOND,
        until: None,
    });
    history
}

pub(crate) fn reverted() -> History {
    let mut history = with_answer(|_| {});
    let mut older = answer();
    older.revision = 4;
    history.calls.push(CallRecord {
        sent_at: 3 * SECOND,
        ended_at: 4 * SECOND,
        ..search(CallEnd::Answer(older))
    });
    history
}

pub(crate) fn of_a_former_preset() -> History {
    let mut history = with_answer(|_| {});
    let presets = &mut history.expected.presets;
    presets.insert(3, Arc::from("ordinary"));
    presets.insert(4, Arc::from("peak"));
    history
}

pub(crate) fn not_settled() -> History {
    let mut history = with_answer(|_| {});
    history.calls[0].sent_at = 9 * SECOND;
    history.expected.published_at.insert(6, 2 * SECOND);
    history
}
