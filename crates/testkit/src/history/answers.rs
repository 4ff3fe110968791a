//! Checks search answers: each is drawn from one snapshot, states its coverage truthfully and is
//! the whole answer to its caller's own request.

use std::collections::BTreeSet;

use cassialift_core::ids::ShardId;
use cassialift_wire::caller::{SearchAnswer, SearchRequest, ShardRows};

use super::{Call, CallEnd, CallRecord, History, Rule, Violation};
use crate::standin::backend::search_rows;

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let CallEnd::Answer(answer) = &record.end else {
            continue;
        };
        let Call::Search(request) = &record.call else {
            let detail = "a search answer was returned for a call that was not a search";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
            continue;
        };
        check_coverage(history, record, request, answer, violations);
        if answer.id != request.id {
            let detail = format!(
                "the answer has the id {}, not that of the request",
                answer.id
            );
            violations.push(Violation::of_call(Rule::Identity, record, detail));
        }
        for rows in &answer.rows {
            check_rows(history, record, request, answer, rows, violations);
        }
    }
}

fn check_coverage(
    history: &History,
    record: &CallRecord,
    request: &SearchRequest,
    answer: &SearchAnswer,
    violations: &mut Vec<Violation>,
) {
    let mut report = |rule, detail: String| {
        violations.push(Violation::of_call(rule, record, detail));
    };
    let versions = history.expected.indexes.get(&request.service);
    let Some(index) = versions.and_then(|versions| versions.get(&answer.version)) else {
        let detail = format!("version {} was never published", answer.version);
        return report(Rule::Snapshot, detail);
    };
    let requested: BTreeSet<ShardId> = match &request.shards {
        Some(shards) => shards.iter().copied().collect(),
        None => index.shards.iter().map(|entry| entry.shard).collect(),
    };
    let returned: Vec<ShardId> = answer.rows.iter().map(|rows| rows.shard).collect();
    if returned != answer.coverage.included || !returned.is_sorted_by(|a, b| a < b) {
        let detail = format!(
            "rows came for the shards {returned:?}: they are not the included ones in order"
        );
        report(Rule::Coverage, detail);
    }
    let missing = answer.coverage.missing.iter().map(|missing| missing.shard);
    let mut accounted: Vec<ShardId> = returned.iter().copied().chain(missing).collect();
    accounted.sort_unstable();
    if !accounted.iter().eq(requested.iter()) {
        let detail = format!(
            "the answer accounts for shards {accounted:?}, but {requested:?} were requested"
        );
        report(Rule::Coverage, detail);
    }
}

fn check_rows(
    history: &History,
    record: &CallRecord,
    request: &SearchRequest,
    answer: &SearchAnswer,
    rows: &ShardRows,
    violations: &mut Vec<Violation>,
) {
    let expected_rows = |version| {
        search_rows(
            rows.shard,
            version,
            &request.query,
            history.expected.row_count,
        )
    };
    if rows.rows == expected_rows(answer.version) {
        return;
    }
    let versions = history.expected.indexes.get(&request.service);
    let mut others = versions.into_iter().flat_map(|versions| versions.keys());
    let other = others.find(|version| rows.rows == expected_rows(**version));
    let (rule, detail) = other.map_or_else(
        || {
            (
                Rule::Identity,
                String::from("rows that match no published version"),
            )
        },
        |version| (Rule::Snapshot, format!("rows of version {version}")),
    );
    let detail = format!("shard {} returned {detail}", rows.shard);
    violations.push(Violation::of_call(rule, record, detail));
}
