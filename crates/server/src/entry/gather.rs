//! Asking every shard of an admitted search and gathering what comes before the deadline.

use std::{collections::BTreeMap, sync::Arc};

use cassialift_core::{
    ids::{AttemptId, RequestKey, ServerId, ShardId},
    index::ShardEntry,
    request::{Coverage, MissingReason, MissingShard},
};
use cassialift_wire::{
    backend::Row,
    caller::SearchRequest,
    peer::{CallRefusal, CallResult, ShardCall},
};
use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::timeout_at;

use super::admit::Admitted;
use crate::{process::Node, timer::Timer};

/// The rows and the coverage of one search.
#[derive(Debug)]
pub(super) struct Gathered {
    pub(super) rows: BTreeMap<ShardId, Vec<Row>>,
    pub(super) coverage: Coverage,
}

pub(super) async fn gather(node: &Node, request: &SearchRequest, admitted: &Admitted) -> Gathered {
    let key = node.next_key();
    let mut pending = FuturesUnordered::new();
    for (position, shard) in admitted.shards.iter().enumerate() {
        let attempt = AttemptId::try_from(position * 2).unwrap_or(AttemptId::MAX);
        pending.push(ask(node, request, admitted, key, *shard, attempt));
    }
    let mut rows = BTreeMap::new();
    let mut reasons: BTreeMap<ShardId, MissingReason> = BTreeMap::new();
    let deadline = admitted.deadline.into();
    while let Ok(Some((shard, result))) = timeout_at(deadline, pending.next()).await {
        match result {
            Ok(found) => drop(rows.insert(shard, found)),
            Err(reason) => drop(reasons.insert(shard, reason)),
        }
    }
    let missing = admitted
        .shards
        .iter()
        .filter(|shard| !rows.contains_key(shard));
    let coverage = Coverage {
        included: rows.keys().copied().collect(),
        missing: missing
            .map(|shard| MissingShard {
                shard: *shard,
                reason: reasons
                    .get(shard)
                    .copied()
                    .unwrap_or(MissingReason::Deadline),
            })
            .collect(),
    };
    Gathered { rows, coverage }
}

/// Asks one shard, at most two of its replicas one after the other.
async fn ask(
    node: &Node,
    request: &SearchRequest,
    admitted: &Admitted,
    key: RequestKey,
    shard: ShardId,
    attempt: AttemptId,
) -> (ShardId, Result<Vec<Row>, MissingReason>) {
    let Some(entry) = admitted.index.shard(shard) else {
        return (shard, Err(MissingReason::Unreachable));
    };
    let mut last = MissingReason::Unreachable;
    for (number, server) in choose(entry, key.sequence).into_iter().enumerate() {
        let attempt = attempt + u32::from(number > 0);
        let call = shard_call(request, admitted, key, shard, attempt, &server);
        match node.call_shard(&admitted.view, call).await {
            Ok(reply) => match reply.result {
                CallResult::Done { version, rows } if version == admitted.index.version => {
                    return (shard, Ok(rows));
                }
                CallResult::Done { .. } | CallResult::NotRun(CallRefusal::VersionGone { .. }) => {
                    last = MissingReason::VersionGone;
                }
                CallResult::NotRun(CallRefusal::Busy) => last = MissingReason::Busy,
                CallResult::NotRun(_) | CallResult::Unknown(_) => {
                    last = MissingReason::Unreachable;
                }
            },
            Err(error) => last = error.missing(),
        }
        node.metrics.count("entry.attempt_failed");
    }
    (shard, Err(last))
}

/// Picks two replicas, starting at another one for each request.
fn choose(entry: &ShardEntry, sequence: u64) -> Vec<ServerId> {
    let count = entry.replicas.len();
    let start = usize::try_from(sequence).unwrap_or_default() % count;
    let turned = entry.replicas.iter().cycle().skip(start);
    turned.take(count.min(2)).map(Arc::clone).collect()
}

fn shard_call(
    request: &SearchRequest,
    admitted: &Admitted,
    key: RequestKey,
    shard: ShardId,
    attempt: AttemptId,
    server: &ServerId,
) -> ShardCall {
    let remaining = admitted.deadline.saturating_duration_since(Timer.now());
    ShardCall {
        request: key,
        attempt,
        caller: Arc::clone(&request.caller),
        service: Arc::clone(&request.service),
        shard,
        server: Arc::clone(server),
        version: admitted.index.version,
        kind: request.kind,
        urgency: request.kind.urgency(),
        remaining: remaining.into(),
        body: request.query.clone(),
    }
}
