//! One shard call of a search: its message to the owner, and the report of its result to the
//! policy tables.

use std::{sync::Arc, time::Duration};

use cassialift_core::{
    ids::{AttemptId, IndexVersion, RequestKey, ServerId, ShardId},
    policy::{
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        replica::CallReport,
    },
};
use cassialift_wire::{
    backend::Row,
    caller::SearchRequest,
    peer::{CallResult, ShardCall},
};

use super::admit::AdmittedSearch;
use crate::{
    process::{CallError, Node},
    timer::Timer,
};

/// One shard call of a search.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) shard: ShardId,
    pub(super) server: ServerId,
    pub(super) version: IndexVersion,
}

/// The result of one shard call.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) attempt: Attempt,
    pub(super) outcome: CallOutcome,
    pub(super) rows: Vec<Row>,
}

impl Attempt {
    /// Builds the message to the owner.
    pub(super) fn call(
        &self,
        request: &SearchRequest,
        admitted: &AdmittedSearch,
        key: RequestKey,
    ) -> ShardCall {
        let remaining = admitted.deadline.saturating_duration_since(Timer.now());
        ShardCall {
            request: key,
            attempt: self.id,
            caller: Arc::clone(&request.caller),
            service: Arc::clone(&request.service),
            shard: self.shard,
            server: Arc::clone(&self.server),
            version: self.version,
            kind: request.kind,
            urgency: request.kind.urgency(),
            remaining: remaining.into(),
            body: request.query.clone(),
        }
    }

    /// Sends the call, waits for its result and reports the result to the policy tables.
    pub(super) async fn run(
        self,
        node: &Node,
        admitted: &AdmittedSearch,
        call: ShardCall,
    ) -> AttemptResult {
        let (service, kind) = (Arc::clone(&call.service), call.kind);
        let sent = Timer.now();
        let (outcome, rows, queue) = match node.call_shard(&admitted.view, call).await {
            Ok(reply) => {
                let outcome = reply.result.outcome();
                let queue = Some((reply.queue_len, reply.queue_wait.0));
                (outcome, rows_of(reply.result), queue)
            }
            Err(error) => (failed_outcome(&error), Vec::new(), None),
        };
        let now = Timer.now();
        let report = CallReport {
            outcome,
            latency: now.saturating_duration_since(sent),
            queue_len: queue.map(|(queued, _)| queued),
            queue_wait: queue.map_or(Duration::ZERO, |(_, wait)| wait),
        };
        node.policy.decide(node, |tables| {
            tables.on_report(&service, kind, &self.server, &report, now);
        });
        AttemptResult {
            attempt: self,
            outcome,
            rows,
        }
    }
}

fn rows_of(result: CallResult) -> Vec<Row> {
    match result {
        CallResult::Done { rows, .. } => rows,
        CallResult::NotRun(_) | CallResult::Unknown(_) => Vec::new(),
    }
}

/// Returns the outcome of a call without a reply.
///
/// A VM that could not be reached gives no information on the backend server that it owns, so a
/// call that was not sent counts as one without an owner. A call that was sent may have run.
const fn failed_outcome(error: &CallError) -> CallOutcome {
    match error {
        CallError::NoOwner => CallOutcome::NotRun(NotRunCause::NotOwner),
        CallError::Peer(error) if error.is_unsent() => CallOutcome::NotRun(NotRunCause::NotOwner),
        CallError::Peer(_) => CallOutcome::Unknown(UnknownCause::Broken),
    }
}
