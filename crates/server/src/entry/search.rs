//! Searches and fetches: admission, gathering, and the answer.

use std::sync::Arc;

use cassialift_core::request::{Ran, RefusalReason};
use cassialift_wire::caller::{Answer, SearchRequest, ShardRows};

use super::{admit::admit, gather::gather, refuse::Refused};
use crate::{process::Node, timer::Timer};

pub(super) async fn run(node: Arc<Node>, request: SearchRequest) -> Result<Answer, Refused> {
    let admitted =
        admit(&node, &request, Timer.now()).map_err(|refused| refused.with_id(&request.id))?;
    let gathered = gather(&node, &request, &admitted).await;
    if gathered.coverage.share() < admitted.policy.coverage {
        let detail = "fewer shards replied than the preset demands".to_owned();
        // Searches are reads: some shards ran it, which the coverage tells.
        let refused = Refused::new(RefusalReason::Coverage, Ran::Unknown, detail);
        let mut refused = refused.with_id(&request.id);
        refused.refusal.coverage = Some(gathered.coverage);
        return Err(refused);
    }
    node.metrics.count("answered");
    let rows = gathered.rows.into_iter();
    Ok(Answer {
        id: request.id,
        rows: rows
            .map(|(shard, rows)| ShardRows { shard, rows })
            .collect(),
        coverage: gathered.coverage,
        version: admitted.index.version,
        preset: Arc::clone(&admitted.config.preset),
        revision: admitted.config.revision,
    })
}
