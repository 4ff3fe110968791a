//! Admission of searches: what is refused before any shard is asked.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::ShardId,
    index::IndexDocument,
    presets::KindPolicy,
    request::{Ran, RefusalReason},
    view::{ConfigView, FleetView},
};
use cassialift_wire::caller::SearchRequest;

use super::refuse::Refused;
use crate::process::Node;

/// A search that was admitted, with all that it is pinned to.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) view: Arc<FleetView>,
    pub(super) config: Arc<ConfigView>,
    pub(super) index: Arc<IndexDocument>,
    pub(super) policy: KindPolicy,
    pub(super) shards: Vec<ShardId>,
    pub(super) deadline: Instant,
}

pub(super) fn admit(
    node: &Node,
    request: &SearchRequest,
    now: Instant,
) -> Result<Admitted, Refused> {
    let view = node.control.pin();
    let Some(config) = view.config.clone() else {
        let detail = "no configuration has been accepted yet";
        return Err(not_run(RefusalReason::NoConfig, detail));
    };
    if !request.kind.is_repeatable() {
        let detail = "jobs are submitted under a ticket";
        return Err(not_run(RefusalReason::Malformed, detail));
    }
    let policy = config.policy.kind(request.kind);
    if !policy.admit {
        let detail = "the preset in force does not admit this kind";
        return Err(not_run(RefusalReason::NotAdmitted, detail));
    }
    let Some(index) = config.indexes.get(&request.service).cloned() else {
        let detail = "no such service";
        return Err(not_run(RefusalReason::UnknownService, detail));
    };
    let shards = shards(request, &index)?;
    let longest = policy.deadline.0;
    let allowed = request
        .deadline
        .map_or(longest, |asked| asked.0.min(longest));
    if allowed == Duration::ZERO {
        let detail = "the deadline is zero";
        return Err(not_run(RefusalReason::DeadlinePast, detail));
    }
    Ok(Admitted {
        deadline: now + allowed,
        view,
        config,
        index,
        policy,
        shards,
    })
}

fn shards(request: &SearchRequest, index: &IndexDocument) -> Result<Vec<ShardId>, Refused> {
    let Some(asked) = &request.shards else {
        return Ok(index.shards.iter().map(|entry| entry.shard).collect());
    };
    let mut shards = asked.clone();
    shards.sort_unstable();
    shards.dedup();
    if shards.is_empty() {
        return Err(not_run(RefusalReason::Malformed, "no shard was named"));
    }
    match shards.iter().find(|shard| index.shard(**shard).is_none()) {
        Some(shard) => Err(Refused::new(
            RefusalReason::UnknownShard,
            Ran::NotRun,
            format!("shard {shard} is not in the shard map"),
        )),
        None => Ok(shards),
    }
}

fn not_run(reason: RefusalReason, detail: &str) -> Refused {
    Refused::new(reason, Ran::NotRun, detail.to_owned())
}
