//! Calls to peers, with checks that each reply matches its request.

use std::{sync::Arc, time::Instant};

use cassialift_core::{
    ids::Incarnation,
    policy::{
        poison::PoisonReport,
        server_limit::{PermitClaim, PermitGrant},
    },
};
use cassialift_wire::peer::{
    GatherWithBody, JobForward, JobReply, PartialGather, PartialReply, PeerClient, RelayOutcome,
    RelayRequest, RestRequest, ShardCall, ShardReply,
};
use tarpc::context::{self, Context};

use super::PeerError;

/// Sends a shard call to a peer.
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn call_shard(
    client: &PeerClient,
    context: Context,
    call: ShardCall,
) -> Result<ShardReply, PeerError> {
    let (request, attempt, shard) = (call.request, call.attempt, call.shard);
    let server = Arc::clone(&call.server);
    let result = client.call_shard(context, call).await;
    let reply = result.map_err(PeerError::Call)?;
    let echoed = (reply.request, reply.attempt, reply.shard);
    if echoed == (request, attempt, shard) && reply.server == server {
        Ok(reply)
    } else {
        Err(PeerError::MismatchedReply)
    }
}

/// Forwards a job, or a query for its outcome, to the process run that holds its ticket.
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn forward_job(
    client: &PeerClient,
    context: Context,
    holder: Incarnation,
    job: JobForward,
) -> Result<JobReply, PeerError> {
    let id = job.id.clone();
    let result = client.forward_job(context, holder, job).await;
    match result.map_err(PeerError::Call)? {
        JobReply::Answer(answer) if answer.id != id => Err(PeerError::MismatchedReply),
        reply => Ok(reply),
    }
}

/// Requests some shards of a search without a body from a peer.
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn gather(
    client: &PeerClient,
    context: Context,
    partial: PartialGather,
) -> Result<PartialReply, PeerError> {
    let attempt = partial.attempt.clone();
    let result = client.gather(context, partial).await;
    check_attempt(result.map_err(PeerError::Call)?, &attempt)
}

/// Requests some shards of a search that may have a body from a peer, which must read messages of version
/// [`WITH_BODIES`](cassialift_wire::peer::version::WITH_BODIES).
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn gather_with_body(
    client: &PeerClient,
    context: Context,
    search: GatherWithBody,
) -> Result<PartialReply, PeerError> {
    let attempt = search.gather.attempt.clone();
    let result = client.gather_with_body(context, search).await;
    check_attempt(result.map_err(PeerError::Call)?, &attempt)
}

/// Requests the rest of a search from a peer after its interim reply to an attempt.
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn rest(
    client: &PeerClient,
    context: Context,
    request: &RestRequest,
) -> Result<PartialReply, PeerError> {
    let result = client.rest(context, request.clone()).await;
    check_attempt(result.map_err(PeerError::Call)?, &request.attempt)
}

/// Claims permits from a peer; returns one grant for each claim.
///
/// # Errors
/// Returns an error when the call fails or the reply does not match the claims.
pub async fn claim_permits(
    client: &PeerClient,
    context: Context,
    claims: Vec<PermitClaim>,
) -> Result<Vec<PermitGrant>, PeerError> {
    let count = claims.len();
    let result = client.claim_permits(context, claims).await;
    let grants = result.map_err(PeerError::Call)?;
    if grants.len() == count {
        Ok(grants)
    } else {
        Err(PeerError::MismatchedReply)
    }
}

/// Exchanges with a peer what is known about requests under which backend servers ended.
///
/// # Errors
/// Returns an error when the call fails.
pub async fn exchange_poison(
    client: &PeerClient,
    context: Context,
    reports: Vec<PoisonReport>,
) -> Result<Vec<PoisonReport>, PeerError> {
    let result = client.exchange_poison(context, reports).await;
    result.map_err(PeerError::Call)
}

/// Has a peer serve a caller's request.
///
/// # Errors
/// Returns an error when the call fails or the reply belongs to another call.
pub async fn relay(
    client: &PeerClient,
    context: Context,
    request: RelayRequest,
) -> Result<RelayOutcome, PeerError> {
    let attempt = request.attempt.clone();
    let result = client.relay(context, request).await;
    let reply = result.map_err(PeerError::Call)?;
    if reply.attempt == attempt {
        Ok(reply.outcome)
    } else {
        Err(PeerError::MismatchedReply)
    }
}

/// Returns the context of a call that ends at a deadline.
#[must_use]
pub fn context_until(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}

fn check_attempt(reply: PartialReply, attempt: &[u8]) -> Result<PartialReply, PeerError> {
    if reply.attempt == attempt {
        Ok(reply)
    } else {
        Err(PeerError::MismatchedReply)
    }
}
