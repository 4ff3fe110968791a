//! Checks that no process reverts to an older configuration revision, that each revision becomes
//! active in time, and that the active preset is the one published with the revision.

use std::{collections::BTreeMap, net::SocketAddr};

use cassialift_core::ids::Revision;
use cassialift_wire::caller::SearchAnswer;

use super::{CallEnd, CallRecord, DisturbanceTarget, History, Rule, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    let mut processes = BTreeMap::<SocketAddr, Vec<(&CallRecord, Revision)>>::new();
    for record in &history.calls {
        if let CallEnd::Answer(answer) = &record.end {
            let process_answers = processes.entry(record.address).or_default();
            process_answers.push((record, answer.revision));
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

/// Reports an answer whose preset is not the last one published up to the answer's revision.
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
            "preset {} is active at revision {}, but {preset} was published at {revision}",
            answer.preset, answer.revision
        );
        violations.push(Violation::of_call(Rule::ConfigOrder, record, detail));
    }
}

/// Reports each answer to a request that was sent after the same process had already answered with
/// a newer revision.
fn check_reverts(answers: &[(&CallRecord, Revision)], violations: &mut Vec<Violation>) {
    for (later, revision) in answers {
        let is_earlier = |(earlier, _): &&(&CallRecord, Revision)| earlier.ended_at < later.sent_at;
        let newest = answers
            .iter()
            .filter(is_earlier)
            .max_by_key(|(_, newest)| *newest);
        let Some((earlier, newest)) = newest.filter(|(_, newest)| newest > revision) else {
            continue;
        };
        violations.push(Violation {
            rule: Rule::ConfigOrder,
            detail: format!("revision {newest} was active before revision {revision}"),
            calls: vec![(*earlier).clone(), (*later).clone()],
            runs: Vec::new(),
        });
    }
}

/// Reports an answer with a revision older than one that should have become active by then, unless
/// the platform or the process was disturbed in between.
fn check_settled(
    history: &History,
    record: &CallRecord,
    revision: Revision,
    violations: &mut Vec<Violation>,
) {
    let limit = u64::try_from(history.expected.settle_limit.as_micros()).unwrap_or(u64::MAX);
    let published = &history.expected.published_at;
    let is_due = |(_, at): &(&Revision, &u64)| at.saturating_add(limit) < record.sent_at;
    let Some((due, at)) = published.iter().filter(is_due).max() else {
        return;
    };
    let process = DisturbanceTarget::Process(record.address);
    let is_disturbed = [DisturbanceTarget::Platform, process]
        .iter()
        .any(|target| history.is_disturbed(target, *at, record.sent_at));
    if revision < *due && !is_disturbed {
        let detail = format!("revision {revision} is active, but {due} should be");
        violations.push(Violation::of_call(Rule::ConfigDelay, record, detail));
    }
}
