//! Answers: one snapshot, truthful coverage, the caller's own and whole.

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
            let detail = "an answer came to a call that was no search";
            violations.push(Violation::of_call(Rule::Identity, record, detail));
            continue;
        };
        check_coverage(history, record, request, answer, violations);
        if answer.id != request.id {
            let detail = format!("the answer carries the id {}", answer.id);
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
    let mut broken = |rule, detail: String| {
        violations.push(Violation::of_call(rule, record, detail));
    };
    let versions = history.expected.indexes.get(&request.service);
    let Some(index) = versions.and_then(|versions| versions.get(&answer.version)) else {
        let detail = format!("version {} was never published", answer.version);
        return broken(Rule::Snapshot, detail);
    };
    let asked: BTreeSet<ShardId> = match &request.shards {
        Some(shards) => shards.iter().copied().collect(),
        None => index.shards.iter().map(|entry| entry.shard).collect(),
    };
    let given: Vec<ShardId> = answer.rows.iter().map(|rows| rows.shard).collect();
    if given != answer.coverage.included || !given.is_sorted_by(|a, b| a < b) {
        let detail = format!("shards {given:?} came, not those said to be included");
        broken(Rule::Coverage, detail);
    }
    let missing = answer.coverage.missing.iter().map(|missing| missing.shard);
    let mut stated: Vec<ShardId> = given.iter().copied().chain(missing).collect();
    stated.sort_unstable();
    if !stated.iter().eq(asked.iter()) {
        let detail = format!("the coverage speaks of {stated:?}, asked were {asked:?}");
        broken(Rule::Coverage, detail);
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
    let wanted = |version| {
        search_rows(
            rows.shard,
            version,
            &request.query,
            history.expected.row_count,
        )
    };
    if rows.rows == wanted(answer.version) {
        return;
    }
    let versions = history.expected.indexes.get(&request.service);
    let mut others = versions.into_iter().flat_map(|versions| versions.keys());
    let other = others.find(|version| rows.rows == wanted(**version));
    let (rule, detail) = other.map_or_else(
        || (Rule::Identity, String::from("other rows than its own")),
        |version| (Rule::Snapshot, format!("rows of version {version}")),
    );
    let detail = format!("shard {} holds {detail}", rows.shard);
    violations.push(Violation::of_call(rule, record, detail));
}
