//! Tests of parsing configuration documents.

use cassialift_core::{
    config::{ParsedDocument, parse_document},
    jsonc::Position,
};
use yare::parameterized;

use crate::history::{index, presets};

fn preset(body: &str) -> String {
    format!("{{\"active\": \"a\", \"presets\": {{\"a\": {{\n{body}\n}}}}}}")
}

#[parameterized(
    not_a_share = { "\"hedge\": {\"budget\": 1.5}", 11, "presets.a.hedge.budget: 1.5 is not between 0 and 1" },
    hedge_at_once = { "\"hedge\": {\"quantile\": 0}", 11, "presets.a.hedge.quantile: every shard call would be hedged at once" },
    no_retry = { "\"retry\": {\"budget\": 0}", 11, "presets.a.retry.budget: 3 attempts are allowed, but the budget allows no retry" },
    attempts = { "\"retry\": {\"attempts\": 99}", 11, "presets.a.retry.attempts: 99 is more than 16" },
    queue = { "\"queue\": {\"length\": 4000000000}", 11, "presets.a.queue.length: 4000000000 is more than 65536" },
    no_share = { "\"queue\": {\"length\": 1}", 1, "presets.a.queue.caller_share: no caller could queue a single call" },
    ttl_zero = { "\"address_ttl\": 0", 1, "presets.a.address_ttl: must not be zero" },
    ttl_drain = { "\"address_ttl\": 60000", 1, "presets.a.address_ttl: 60000 is more than 30000" },
    ticket = { "\"ticket_ttl\": 500", 1, "presets.a.ticket_ttl: a ticket would expire before the deadline of its job, 1000 ms" },
    early_job = { "\"kinds\": {\"job\": {\"answer\": {\"early\": {\"share\": 1, \"after\": 1}}}}", 30, "presets.a.kinds.job.answer.early: a request of this kind has one part and cannot be answered early" },
    early_low = { "\"kinds\": {\"wide_search\": {\"coverage\": 0.9, \"answer\": {\"early\": {\"share\": 0.5, \"after\": 1}}}}", 65, "presets.a.kinds.wide_search.answer.early.share: an early answer would cover less than the least coverage of 0.9" },
    deadline = { "\"kinds\": {\"fetch\": {\"deadline\": 86400000}}", 21, "presets.a.kinds.fetch.deadline: 86400000 is more than 600000" },
    unknown_key = { "\"hegde\": {}", 1, "unknown key hegde" },
)]
fn test_parse_presets_fault(body: &str, column: usize, cause: &str) {
    let error = parse_document("presets", Some(&preset(body))).unwrap_err();
    assert_eq!(error.cause.to_string(), cause);
    // A default value has no position of its own, so only the line of its parent is checked.
    let line = if cause.contains("caller_share") {
        error.position.line
    } else {
        assert_eq!(error.position, Position { line: 2, column });
        2
    };
    assert_eq!(line, 2);
}

#[parameterized(
    no_shards = { "{\"service\": \"s\", \"version\": 1, \"shards\": [], \"servers\": []}", "shards: the document names no shard" },
    no_server = { "{\"service\": \"s\", \"version\": 1, \"shards\": [{\"shard\": 0, \"replicas\": [\"b\"]}], \"servers\": []}", "shards[0].replicas[0]: shard 0 names backend server b, which the document does not describe" },
    no_name = { "{\"service\": \"\", \"version\": 1, \"shards\": [], \"servers\": []}", "service: a name must have 1 to 256 bytes" },
)]
fn test_parse_index_fault(text: &str, cause: &str) {
    let error = parse_document("index/s", Some(text)).unwrap_err();
    assert_eq!(error.cause.to_string(), cause);
}

#[parameterized(
    slots = { "\"slots\": 2", "\"slots\": 0", "servers[0].slots: backend server b1 has no slots" },
    connections = { "\"connections\": 25", "\"connections\": 1", "servers[0].connections: backend server b1 accepts fewer connections than it has slots" },
    port = { "127.0.0.1:80", "127.0.0.1:0", "servers[0].address: 127.0.0.1:0 is no address that can be connected to" },
    replicas = { "[\"b1\"]", "[\"b1\", \"b1\"]", "shards[0].replicas[1]: shard 0 names backend server b1 twice" },
    service = { "\"s1\"", "\"s2\"", "the key names service s1, the document service s2" },
)]
fn test_parse_index_edit_fault(from: &str, to: &str, cause: &str) {
    let text = index(1, 1).replace(from, to);
    let error = parse_document("index/s1", Some(&text)).unwrap_err();
    assert_eq!(error.cause.to_string(), cause);
}

#[test]
fn test_parse_valid() {
    let found = parse_document("presets", Some(&presets(5)));
    assert!(matches!(found, Ok(ParsedDocument::Presets(_))), "{found:?}");
    let found = parse_document("index/s1", Some(&index(1, 1)));
    assert!(matches!(found, Ok(ParsedDocument::Index(_))), "{found:?}");
    let found = parse_document("index/s1", None);
    assert_eq!(found, Ok(ParsedDocument::Withdrawn("s1".into())));
}

#[parameterized(
    presets_deleted = { "presets", "the preset document cannot be deleted, since one preset must be in force" },
    no_service = { "index/", "the key index/ names no kind of document" },
    other = { "other", "the key other names no kind of document" },
)]
fn test_parse_key_fault(key: &str, cause: &str) {
    let error = parse_document(key, None).unwrap_err();
    assert_eq!(error.cause.to_string(), cause);
}
