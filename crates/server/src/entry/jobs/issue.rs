//! Issuing of job tickets.

use std::sync::Arc;

use cassialift_core::{
    request::{ExecutionStatus, RefusalReason, RequestKind},
    ticket::Ticket,
    view::{ConfigView, FleetView},
};
use cassialift_wire::caller::{TicketAnswer, TicketRequest};

use crate::{
    entry::{addresses::refuse_leaving, refuse::RefusalError},
    process::Node,
};

/// Issues a ticket. A ticket uses no memory until a job is submitted under it.
pub(crate) async fn issue(
    node: Arc<Node>,
    request: TicketRequest,
) -> Result<TicketAnswer, RefusalError> {
    let answer = create(&node, request)?;
    node.metrics.count("job.ticket");
    Ok(answer)
}

fn create(node: &Node, request: TicketRequest) -> Result<TicketAnswer, RefusalError> {
    let view = node.control.snapshot();
    if view.own.leaving {
        // A leaving process would not keep the outcome.
        return Err(refuse_leaving(node, ExecutionStatus::NotRun));
    }
    let config = job_config(&view)?;
    if !config.indexes.contains_key(&request.service) {
        return Err(RefusalError::not_run(
            RefusalReason::UnknownService,
            "no such service",
        ));
    }
    let ttl = config.policy.ticket_ttl.0;
    let expiry = node.jobs.now() + ttl;
    let ticket = Ticket {
        vm: Arc::clone(&view.own.vm),
        incarnation: view.own.incarnation,
        sequence: node.jobs.next_sequence(),
        caller: request.caller,
        service: request.service,
        expiry,
        forget_at: expiry + ttl,
    };
    let signed = node.jobs.key().sign(&ticket);
    let ticket = signed
        .map_err(|error| RefusalError::not_run(RefusalReason::Malformed, &error.to_string()))?;
    Ok(TicketAnswer {
        ticket,
        ttl: ttl.into(),
    })
}

/// Returns the configuration in force, or a refusal if its preset does not admit jobs.
pub(super) fn job_config(view: &FleetView) -> Result<Arc<ConfigView>, RefusalError> {
    let Some(config) = view.config.clone() else {
        return Err(RefusalError::no_config());
    };
    if !config.policy.kind(RequestKind::Job).admit {
        let detail = "the preset in force does not admit jobs";
        return Err(RefusalError::not_run(RefusalReason::NotAdmitted, detail));
    }
    Ok(config)
}
