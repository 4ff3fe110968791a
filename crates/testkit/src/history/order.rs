//! Configuration: a revision in force at a process never reverts and is in force in time, and so
//! is the preset that was published with it.

use std::{collections::BTreeMap, net::SocketAddr};

use cassialift_core::ids::Revision;
use cassialift_wire::caller::SearchAnswer;

use super::{CallEnd, CallRecord, History, Rule, Target, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let mut processes = BTreeMap::<SocketAddr, Vec<(&CallRecord, Revision)>>::new();
    for record in &history.calls {
        if let CallEnd::Answer(answer) = &record.end {
            let seen = processes.entry(record.address).or_default();
            seen.push((record, answer.revision));
            check_preset(history, record, answer, violations);
        }
    }
    for mut answers in processes.into_values() {
        answers.sort_by_key(|(record, _)| record.sent_at);
        check_reverts(&answers, violations);
        for (record, revision) in answers {
            check_settled(history, record, revision, violations);
        }
    }
}

/// Finds an answer under another preset than that of its revision.
fn check_preset(
    history: &History,
    record: &CallRecord,
    answer: &SearchAnswer,
    violations: &mut Vec<Violation>,
) {
    let presets = &history.expected.presets;
    let Some((revision, preset)) = presets.range(..=answer.revision).next_back() else {
        return;
    };
    if answer.preset != *preset {
        let detail = format!(
            "preset {} is in force at revision {}, but {preset} was published at {revision}",
            answer.preset, answer.revision
        );
        violations.push(Violation::of_call(Rule::Order, record, detail));
    }
}

/// Finds an answer that was asked for after a newer revision had been seen at the same process.
fn check_reverts(answers: &[(&CallRecord, Revision)], violations: &mut Vec<Violation>) {
    for (later, revision) in answers {
        let ended = |(earlier, _): &&(&CallRecord, Revision)| earlier.ended_at < later.sent_at;
        let newest = answers
            .iter()
            .filter(ended)
            .max_by_key(|(_, newest)| *newest);
        let Some((earlier, newest)) = newest.filter(|(_, newest)| newest > revision) else {
            continue;
        };
        violations.push(Violation {
            rule: Rule::Order,
            detail: format!("revision {newest} was in force before revision {revision}"),
            calls: vec![(*earlier).clone(), (*later).clone()],
            runs: Vec::new(),
        });
    }
}

fn check_settled(
    history: &History,
    record: &CallRecord,
    revision: Revision,
    violations: &mut Vec<Violation>,
) {
    let settle = u64::try_from(history.expected.settle_limit.as_micros()).unwrap_or(u64::MAX);
    let published = &history.expected.published_at;
    let settled = |(_, at): &(&Revision, &u64)| at.saturating_add(settle) < record.sent_at;
    let Some((due, at)) = published.iter().filter(settled).max() else {
        return;
    };
    let process = Target::Process(record.address);
    let disturbed = [Target::Platform, process]
        .iter()
        .any(|target| history.is_disturbed(target, *at, record.sent_at));
    if revision < *due && !disturbed {
        let detail = format!("revision {due} is not in force, but {revision}");
        violations.push(Violation::of_call(Rule::Settle, record, detail));
    }
}
