//! Searches and fetches, from their admission to the answer.

use std::sync::Arc;

use cassialift_core::{
    policy::gather::GatherOutcome,
    request::{ExecutionStatus, RefusalReason},
};
use cassialift_wire::caller::{SearchAnswer, SearchRequest, ShardRows};

use super::{
    admit::admit,
    gather::{GatherResult, gather},
    refuse::RefusalError,
};
use crate::{process::Node, timer::Timer};

pub(super) async fn run(
    node: Arc<Node>,
    request: SearchRequest,
) -> Result<SearchAnswer, RefusalError> {
    let admitted =
        admit(&node, &request, Timer.now()).map_err(|refused| refused.with_id(&request.id))?;
    let (request, admitted) = (Arc::new(request), Arc::new(admitted));
    let gathering = gather(
        Arc::clone(&node),
        Arc::clone(&request),
        Arc::clone(&admitted),
    );
    let GatherResult { rows, end } = gathering.await;
    let ran = match end.outcome {
        GatherOutcome::Answer => None,
        GatherOutcome::NotRun => Some(ExecutionStatus::NotRun),
        GatherOutcome::Unknown => Some(ExecutionStatus::Unknown),
    };
    if let Some(ran) = ran {
        let detail = "fewer shards replied than the preset demands".to_owned();
        let refused = RefusalError::new(RefusalReason::Coverage, ran, detail);
        let mut refused = refused.with_id(&request.id);
        refused.refusal.coverage = Some(end.coverage);
        return Err(refused);
    }
    node.metrics.count("answered");
    let rows = rows.into_iter();
    Ok(SearchAnswer {
        id: request.id.clone(),
        rows: rows
            .map(|(shard, rows)| ShardRows { shard, rows })
            .collect(),
        coverage: end.coverage,
        version: end.version,
        preset: Arc::clone(&admitted.config.preset),
        revision: admitted.config.position.revision,
    })
}
