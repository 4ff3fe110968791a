//! Admission of searches before any shard call is sent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::{CallerId, ShardId},
    index::IndexDocument,
    policy::{admission::AdmissionRequest, gather::ShardTarget},
    presets::KindPolicy,
    request::{ExecutionStatus, RefusalReason},
    time::Millis,
    view::{ConfigView, FleetView},
};
use cassialift_wire::caller::SearchRequest;

use super::refuse::RefusalError;
use crate::process::Node;

/// An admitted search, with the view, configuration and index version that it uses to its end.
#[derive(Debug)]
pub(super) struct AdmittedSearch {
    pub(super) view: Arc<FleetView>,
    pub(super) config: Arc<ConfigView>,
    pub(super) index: Arc<IndexDocument>,
    pub(super) policy: KindPolicy,
    pub(super) targets: Vec<ShardTarget>,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
}

pub(super) fn admit(
    node: &Node,
    request: &SearchRequest,
    now: Instant,
) -> Result<AdmittedSearch, RefusalError> {
    let view = node.control.snapshot();
    let Some(config) = view.config.clone() else {
        return Err(RefusalError::no_config());
    };
    if !request.kind.is_idempotent() {
        let detail = "jobs are submitted under a ticket";
        return Err(RefusalError::not_run(RefusalReason::Malformed, detail));
    }
    let policy = config.policy.kind(request.kind);
    if !policy.admit {
        let detail = "the preset in force does not admit this kind";
        return Err(RefusalError::not_run(RefusalReason::NotAdmitted, detail));
    }
    let Some(index) = config.indexes.get(&request.service).cloned() else {
        let detail = "no such service";
        return Err(RefusalError::not_run(RefusalReason::UnknownService, detail));
    };
    let shards = requested_shards(request, &index)?;
    let longest = policy.deadline.0;
    let allowed = request
        .deadline
        .map_or(longest, |requested| requested.0.min(longest));
    if allowed == Duration::ZERO {
        let detail = "the deadline is zero";
        return Err(RefusalError::not_run(RefusalReason::DeadlinePast, detail));
    }
    let targets = targets(&index, shards.as_deref());
    node.policy.sync(&config);
    check_load(node, request, &targets, allowed, &config, now)?;
    Ok(AdmittedSearch {
        started_at: now,
        deadline: now + allowed,
        view,
        config,
        index,
        policy,
        targets,
    })
}

/// Refuses a search that cannot be completed in time, or that exceeds the limits on the load or on
/// its caller's share.
fn check_load(
    node: &Node,
    request: &SearchRequest,
    targets: &[ShardTarget],
    allowed: Duration,
    config: &ConfigView,
    now: Instant,
) -> Result<(), RefusalError> {
    let mut tables = node.policy.lock();
    let sets = targets.iter().map(|target| target.replicas.as_slice());
    let admission_request = AdmissionRequest {
        caller: CallerId::clone(&request.caller),
        kind: request.kind,
        remaining: allowed,
        estimate: tables.estimate(sets, 1.0, now),
    };
    let preset = &config.policy;
    let admission = &mut tables.admission;
    let refusal = match admission.admit(
        &admission_request,
        &preset.kind(request.kind),
        &preset.queue,
        now,
    ) {
        Ok(()) => return Ok(()),
        Err(refusal) => refusal,
    };
    let detail = "the shards asked for have too much to do";
    let mut refused = RefusalError::not_run(refusal.reason, detail);
    refused.refusal.retry = refusal.retry_after.map(Millis::from);
    Err(refused)
}

/// Returns the requested shards with their replicas, in ascending order of the shards.
///
/// Returns all shards if `requested` is `None`. Shards that the index document lacks are left out.
pub(super) fn targets(index: &IndexDocument, requested: Option<&[ShardId]>) -> Vec<ShardTarget> {
    let entries = index.shards.iter();
    let wanted = entries.filter(|entry| requested.is_none_or(|all| all.contains(&entry.shard)));
    let mut targets: Vec<_> = wanted
        .map(|entry| ShardTarget {
            shard: entry.shard,
            service: None,
            replicas: entry.replicas.clone(),
        })
        .collect();
    targets.sort_unstable_by_key(|target| target.shard);
    targets
}

/// Returns the shards that the request names, sorted and without duplicates, or `None` if the
/// request is for all shards.
fn requested_shards(
    request: &SearchRequest,
    index: &IndexDocument,
) -> Result<Option<Vec<ShardId>>, RefusalError> {
    let Some(requested) = &request.shards else {
        return Ok(None);
    };
    let mut shards = requested.clone();
    shards.sort_unstable();
    shards.dedup();
    if shards.is_empty() {
        return Err(RefusalError::not_run(
            RefusalReason::Malformed,
            "no shard was named",
        ));
    }
    match shards.iter().find(|shard| index.shard(**shard).is_none()) {
        Some(shard) => Err(RefusalError::new(
            RefusalReason::UnknownShard,
            ExecutionStatus::NotRun,
            format!("shard {shard} is not in the shard map"),
        )),
        None => Ok(Some(shards)),
    }
}
