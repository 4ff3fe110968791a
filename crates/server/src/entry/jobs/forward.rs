//! Forwarding of submissions and outcome queries to the process that holds the ticket.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason, RequestKind},
    ticket::Ticket,
    time::Millis,
};
use cassialift_wire::{
    caller::{JobAnswer, JobRequest, OutcomeRequest},
    peer::{JobForward, JobReply},
};

use super::handle_as_holder;
use crate::{
    entry::refuse::{NO_CONFIG, RefusalError},
    peers,
    process::Node,
    timer::Timer,
};

/// The time beyond the job's own deadline for which the holder's reply is awaited.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// The longest wait for a holder's reply to an outcome query, and the longest deadline of a job
/// while there is no configuration.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The retry delay in a refusal because the holder could not be reached or gave no reply.
const RETRY_UNREACHABLE: Millis = Millis::new(1_000);

/// Submits a job under its ticket.
pub(crate) async fn submit(
    node: Arc<Node>,
    request: JobRequest,
) -> Result<JobAnswer, RefusalError> {
    if request
        .deadline
        .is_some_and(|requested| requested.0.is_zero())
    {
        let refused = RefusalError::new(
            RefusalReason::DeadlinePast,
            ExecutionStatus::NotRun,
            "the deadline is zero".to_owned(),
        );
        return Err(refused.with_id(&request.id));
    }
    let forward = JobForward {
        id: request.id,
        caller: request.caller,
        ticket: request.ticket,
        remaining: request.deadline,
        body: Some(request.body),
    };
    send(&node, forward).await
}

/// Queries the outcome of the job of a ticket, without running anything.
pub(crate) async fn query_outcome(
    node: Arc<Node>,
    request: OutcomeRequest,
) -> Result<JobAnswer, RefusalError> {
    let forward = JobForward {
        id: request.id,
        caller: request.caller,
        ticket: request.ticket,
        remaining: None,
        body: None,
    };
    send(&node, forward).await
}

async fn send(node: &Arc<Node>, forward: JobForward) -> Result<JobAnswer, RefusalError> {
    let id = forward.id.clone();
    let reply = route(node, forward).await;
    match reply {
        JobReply::Answer(answer) => Ok(answer),
        JobReply::Refused { reason, ran, retry } => {
            let mut refused =
                RefusalError::new(reason, ran, refusal_detail(reason).to_owned()).with_id(&id);
            refused.refusal.retry = retry;
            Err(refused)
        }
    }
}

async fn route(node: &Arc<Node>, forward: JobForward) -> JobReply {
    let Ok(ticket) = Ticket::decode_unverified(&forward.ticket) else {
        return refuse(RefusalReason::UnknownTicket, ExecutionStatus::NotRun, None);
    };
    if ticket.incarnation == node.control.view().own.incarnation {
        return handle_as_holder(node, forward).await;
    }
    node.metrics.count("job.forwarded");
    forward_to_holder(node, &ticket, forward).await
}

/// Forwards a request to the holder once. Whether a request without a reply was run is unknown.
async fn forward_to_holder(node: &Arc<Node>, ticket: &Ticket, forward: JobForward) -> JobReply {
    let view = node.control.snapshot();
    if !view.members.contains_key(&ticket.vm) {
        return refuse(RefusalReason::HolderGone, ExecutionStatus::Unknown, None);
    }
    let client = match node.peers.client(&view, &ticket.vm).await {
        Ok(client) => client,
        Err(error) => {
            log::debug!("job: The holder of a ticket cannot be reached: {error}.");
            // The job may have run under an earlier submission at another VM.
            return refuse(
                RefusalReason::Unreachable,
                ExecutionStatus::Unknown,
                Some(RETRY_UNREACHABLE),
            );
        }
    };
    let context = peers::context_until(deadline(node, &forward) + REPLY_MARGIN);
    let call = peers::forward_job(&client, context, ticket.incarnation, forward);
    match call.await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("job: The holder of a ticket gave no reply: {error}.");
            node.peers.on_call_failed(&ticket.vm, &error, &node.metrics);
            refuse(
                RefusalReason::NoReply,
                ExecutionStatus::Unknown,
                Some(RETRY_UNREACHABLE),
            )
        }
    }
}

fn deadline(node: &Node, forward: &JobForward) -> Instant {
    let view = node.control.view();
    let preset = view.config.as_ref().map(|config| &config.policy);
    let longest = preset.map_or(QUERY_TIMEOUT, |preset| {
        preset.kind(RequestKind::Job).deadline.0
    });
    let wait = if forward.body.is_none() {
        QUERY_TIMEOUT
    } else {
        forward
            .remaining
            .map_or(longest, |requested| requested.0.min(longest))
    };
    Timer.now() + wait
}

pub(super) const fn refuse(
    reason: RefusalReason,
    ran: ExecutionStatus,
    retry: Option<Millis>,
) -> JobReply {
    JobReply::Refused { reason, ran, retry }
}

const fn refusal_detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownTicket => "no such ticket was issued",
        RefusalReason::ExpiredTicket => "the ticket has expired",
        RefusalReason::ForeignTicket => "the ticket was issued to another caller",
        RefusalReason::TicketReused => "the ticket was used with another body",
        RefusalReason::HolderGone => "the process that holds the ticket is gone",
        RefusalReason::Unreachable => "the process that holds the ticket cannot be reached",
        RefusalReason::NoReply => "the process that holds the ticket gave no reply",
        RefusalReason::Overloaded => "as many outcomes are remembered as the settings allow",
        RefusalReason::CallerShare => "this caller has as many outcomes as the settings allow",
        RefusalReason::NoConfig => NO_CONFIG,
        RefusalReason::NotAdmitted => "the preset in force does not admit jobs",
        RefusalReason::UnknownService => "no such service",
        _ => "the job was refused",
    }
}
