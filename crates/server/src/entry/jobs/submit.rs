//! The holder's side of a ticket: starts the ticket's job at most once and reports its outcome.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason, RequestKind},
    ticket::{JobOutcome, PinnedConfig, Submission, Ticket, TicketRefusal, TicketState},
    time::Millis,
    view::FleetView,
};
use cassialift_wire::{
    caller::{JobAnswer, JobState},
    peer::{JobForward, JobReply},
};
use tokio::sync::watch;

use super::{
    forward::refuse,
    issue::job_config,
    run::Run,
    store::{EndSignal, Rows},
};
use crate::{
    process::{InFlight, Node},
    timer::Timer,
};

/// The retry delay in a refusal because the store is full, jobs are not admitted or there is no
/// configuration.
const RETRY_FULL: Millis = Millis::new(1_000);

/// Answers a submission or an outcome query for a ticket that this run of the process holds.
pub(crate) async fn handle_as_holder(node: &Arc<Node>, forward: JobForward) -> JobReply {
    let Ok(ticket) = node.jobs.key().verify(&forward.ticket) else {
        return refuse(RefusalReason::UnknownTicket, ExecutionStatus::NotRun, None);
    };
    match &forward.body {
        None => current_reply(node, &ticket, &forward),
        Some(body) => submit(node, &ticket, &forward, body).await,
    }
}

async fn submit(node: &Arc<Node>, ticket: &Ticket, forward: &JobForward, body: &str) -> JobReply {
    let view = node.control.snapshot();
    let deadline = Timer.now() + time_limit(&view, forward);
    let admitted = match admit(node, &view, ticket, forward, body, deadline) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    let mut end_signal = match admitted {
        AdmittedJob::Ended(reply) => return reply,
        AdmittedJob::Running(signal) => signal,
    };
    // The wait ends when the sender is dropped, which happens once the outcome was recorded.
    let result = tokio::time::timeout_at(deadline.into(), end_signal.changed()).await;
    if result.is_err() {
        node.metrics.count("job.late");
    }
    current_reply(node, ticket, forward)
}

enum AdmittedJob {
    Running(EndSignal),
    Ended(JobReply),
}

/// Admits a submission: starts the job, or finds its present run or its recorded outcome.
fn admit(
    node: &Arc<Node>,
    view: &Arc<FleetView>,
    ticket: &Ticket,
    forward: &JobForward,
    body: &str,
    deadline: Instant,
) -> Result<AdmittedJob, JobReply> {
    let now = node.jobs.now();
    let mut state = node.jobs.lock();
    let ticket_state = state.table.state(now, ticket, &forward.caller);
    let pinned = match ticket_state.map_err(refusal_reply)? {
        TicketState::Unused => pin_config(view, ticket)?,
        TicketState::Running(pinned) | TicketState::Ended(pinned, _) => pinned,
    };
    let (caller, bytes) = (&*forward.caller, body.as_bytes());
    let submitted = state
        .table
        .submit(now, ticket, caller, bytes, pinned)
        .map_err(refusal_reply)?;
    match submitted {
        Submission::Recorded(pinned, outcome) => {
            drop(state);
            node.metrics.count("job.repeated");
            let state = job_state(outcome);
            Ok(AdmittedJob::Ended(answer_reply(
                forward,
                state,
                Some(pinned),
            )))
        }
        Submission::Wait(_) => {
            let run = state.runs.get(&ticket.sequence).cloned();
            drop(state);
            node.metrics.count("job.repeated");
            run.map(AdmittedJob::Running).ok_or(refuse(
                RefusalReason::Internal,
                ExecutionStatus::Unknown,
                None,
            ))
        }
        Submission::Start => {
            let (sender, receiver) = watch::channel(());
            state.runs.insert(ticket.sequence, receiver.clone());
            drop(state);
            start(node, view, ticket, body, deadline, sender);
            Ok(AdmittedJob::Running(receiver))
        }
    }
}

/// Runs a job in a task of its own, so that it is not cancelled when its caller disconnects.
fn start(
    node: &Arc<Node>,
    view: &Arc<FleetView>,
    ticket: &Ticket,
    body: &str,
    deadline: Instant,
    sender: watch::Sender<()>,
) {
    node.metrics.count("job.started");
    let run = Run {
        node: Arc::clone(node),
        view: Arc::clone(view),
        caller: Arc::clone(&ticket.caller),
        service: Arc::clone(&ticket.service),
        body: body.to_owned(),
        deadline,
    };
    let mut recorder = OutcomeRecorder {
        node: Arc::clone(node),
        sequence: ticket.sequence,
        outcome: JobOutcome::Unknown(RefusalReason::Internal),
        bytes: 0,
        _sender: sender,
        _running: node.drain.enter(),
    };
    tokio::spawn(async move {
        (recorder.outcome, recorder.bytes) = run.execute(recorder.sequence).await;
        drop(recorder);
    });
}

/// A guard that records the outcome of a job when dropped, so that a run that panics ends with an
/// unknown outcome.
struct OutcomeRecorder {
    node: Arc<Node>,
    sequence: u64,
    outcome: JobOutcome<Rows>,
    bytes: usize,
    _sender: watch::Sender<()>,
    _running: InFlight,
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        let outcome = self.outcome.clone();
        self.node.jobs.finish(self.sequence, outcome, self.bytes);
    }
}

fn pin_config(view: &FleetView, ticket: &Ticket) -> Result<PinnedConfig, JobReply> {
    let config = job_config(view).map_err(|refused| {
        let refusal = refused.refusal;
        refuse(refusal.reason, refusal.ran, Some(RETRY_FULL))
    })?;
    if !config.indexes.contains_key(&ticket.service) {
        return Err(refuse(
            RefusalReason::UnknownService,
            ExecutionStatus::NotRun,
            None,
        ));
    }
    Ok(PinnedConfig {
        preset: Arc::clone(&config.preset),
        revision: config.position.revision,
    })
}

fn time_limit(view: &FleetView, forward: &JobForward) -> std::time::Duration {
    let preset = view.config.as_ref().map(|config| &config.policy);
    let longest = preset
        .map(|preset| preset.kind(RequestKind::Job).deadline.0)
        .unwrap_or_default();
    forward
        .remaining
        .map_or(longest, |requested| requested.0.min(longest))
}

fn current_reply(node: &Node, ticket: &Ticket, forward: &JobForward) -> JobReply {
    let now = node.jobs.now();
    let ticket_state = node.jobs.lock().table.state(now, ticket, &forward.caller);
    match ticket_state {
        Ok(TicketState::Unused) => answer_reply(forward, JobState::Unused, None),
        Ok(TicketState::Running(pinned)) => answer_reply(forward, JobState::Running, Some(pinned)),
        Ok(TicketState::Ended(pinned, outcome)) => {
            answer_reply(forward, job_state(outcome), Some(pinned))
        }
        Err(refusal) => refusal_reply(refusal),
    }
}

fn answer_reply(forward: &JobForward, state: JobState, pinned: Option<PinnedConfig>) -> JobReply {
    let (preset, revision) = pinned
        .map(|pinned| (pinned.preset, pinned.revision))
        .unzip();
    JobReply::Answer(JobAnswer {
        id: forward.id.clone(),
        state,
        preset,
        revision,
    })
}

fn job_state(outcome: JobOutcome<Rows>) -> JobState {
    match outcome {
        JobOutcome::Done(rows) => JobState::Done(Vec::clone(&rows)),
        JobOutcome::NotRun(reason) => JobState::NotRun(reason),
        JobOutcome::Unknown(reason) => JobState::Unknown(reason),
    }
}

fn refusal_reply(refusal: TicketRefusal) -> JobReply {
    let retry = match refusal {
        TicketRefusal::Full | TicketRefusal::CallerFull => Some(RETRY_FULL),
        TicketRefusal::Foreign
        | TicketRefusal::Reused
        | TicketRefusal::ExpiredUnused
        | TicketRefusal::Forgotten => None,
    };
    refuse(refusal.reason(), refusal.execution_status(), retry)
}
