//! Fuzz tests of every parser of external input: requests, settings, documents, peers' messages
//! and backend servers' replies.
//!
//! No input may make a parser panic, and an accepted text must serialize to a text that parses to
//! the same value.

use std::pin::Pin;

use cassialift::settings::Settings;
use cassialift_core::config::{parse_index, parse_presets};
use cassialift_wire::{
    backend::{HealthReply, RunReply, RunRequest},
    caller::{JobRequest, OutcomeRequest, SearchRequest, TicketRequest},
    peer::{PeerRequest, PeerResponse},
    platform::{Changes, VmList},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    ClientMessage, Response,
    tokio_serde::{Deserializer, formats::Bincode},
};
use tokio_util::bytes::BytesMut;
use yare::parameterized;

/// The number of generated inputs for each property.
const CASES: u32 = 2_000;

const SEARCH: &str = r#"{"id":"1","caller":"c","service":"s","kind":"wide_search",
    "shards":[1,2],"deadline":250,"query":"q"}"#;
const JOB: &str = r#"{"id":"1","caller":"c","ticket":"t","deadline":250,"body":"b"}"#;
const OUTCOME: &str = r#"{"id":"1","caller":"c","ticket":"t"}"#;
const TICKET: &str = r#"{"caller":"c","service":"s"}"#;
const RUN: &str = r#"{"request":{"incarnation":1,"sequence":2},"attempt":0,"service":"s",
    "shard":1,"version":1,"kind":"fetch","urgency":"urgent","remaining":5,"body":"b"}"#;
const REPLY: &str = r#"{"request":{"incarnation":1,"sequence":2},"attempt":0,"shard":1,
    "server":"s","outcome":{"done":{"version":1,"rows":[{"key":"k","value":"v"}]}},
    "load":{"running":1,"slots":2}}"#;
const REFUSAL: &str = r#"{"request":{"incarnation":1,"sequence":2},"attempt":0,"shard":1,
    "server":"s","outcome":{"refused":{"version_gone":{"held":3}}},
    "load":{"running":1,"slots":2}}"#;
const HEALTH: &str = r#"{"state":"ready","load":{"running":1,"slots":2}}"#;
const CHANGES: &str = r#"{"revision":3,"documents":[{"key":"presets","revision":3,"text":"{}"}]}"#;
const VMS: &str = r#"{"vms":[{"id":"v","centre":"c","callers":"127.0.0.1:1",
    "peers":"127.0.0.1:2","state":"live"}]}"#;
const SETTINGS: &str = r#"{"vm":"v", /* a comment */ "centre":"c","callers":"127.0.0.1:1",
    "peers":"127.0.0.1:2","platform":{"config":"127.0.0.1:3","vms":"127.0.0.1:4"}}"#;
const PRESETS: &str = r#"{"active":"a", // in force
    "presets":{"a":{"kinds":{"wide_search":{"coverage":0.5,"answer":{"early":{"share":0.9,
    "after":0.5}}}},"hedge":{"quantile":0.9,"budget":0.1}}}}"#;
const INDEX: &str = r#"{"service":"s","version":1,"shards":[{"shard":0,"replicas":["a"]}],
    "servers":[{"id":"a","address":"127.0.0.1:1","centre":"c","slots":2,"connections":25,
    "state":"serving"}]}"#;

/// A parser that returns the accepted value serialized again, or `None` if the text is refused.
type Parse = fn(&str) -> Option<String>;

fn reserialize_message<T: DeserializeOwned + Serialize>(text: &str) -> Option<String> {
    let parsed: T = serde_json::from_str(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn reserialize_settings(text: &str) -> Option<String> {
    let parsed = Settings::parse(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn reserialize_presets(text: &str) -> Option<String> {
    let parsed = parse_presets(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn reserialize_index(text: &str) -> Option<String> {
    let parsed = parse_index(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

/// One mutation of the bytes of a text.
#[derive(Clone, Debug)]
enum Mutation {
    Set(u8),
    Insert(u8),
    Remove,
    Truncate,
    Duplicate,
}

fn mutations() -> impl Strategy<Value = Vec<(prop::sample::Index, Mutation)>> {
    let mutation = prop_oneof![
        any::<u8>().prop_map(Mutation::Set),
        prop::sample::select(br#"{}[]",:0-9.eE\"#.to_vec()).prop_map(Mutation::Insert),
        Just(Mutation::Remove),
        Just(Mutation::Truncate),
        Just(Mutation::Duplicate),
    ];
    vec((any::<prop::sample::Index>(), mutation), 1..6)
}

fn mutate(bytes: &mut Vec<u8>, mutations: &[(prop::sample::Index, Mutation)]) {
    for (index, mutation) in mutations {
        if bytes.is_empty() {
            return;
        }
        let at = index.index(bytes.len());
        match mutation {
            Mutation::Set(byte) => bytes[at] = *byte,
            Mutation::Insert(byte) => bytes.insert(at, *byte),
            Mutation::Remove => drop(bytes.remove(at)),
            Mutation::Truncate => bytes.truncate(at),
            Mutation::Duplicate => bytes.extend_from_within(at..),
        }
    }
}

/// Asserts a property of [`CASES`] generated inputs, the same ones in each run.
fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&strategy, property);
    assert!(result.is_ok(), "{result:?}");
}

#[parameterized(
    search = { SEARCH, reserialize_message::<SearchRequest> },
    job = { JOB, reserialize_message::<JobRequest> },
    outcome = { OUTCOME, reserialize_message::<OutcomeRequest> },
    ticket = { TICKET, reserialize_message::<TicketRequest> },
    run = { RUN, reserialize_message::<RunRequest> },
    reply = { REPLY, reserialize_message::<RunReply> },
    refusal = { REFUSAL, reserialize_message::<RunReply> },
    health = { HEALTH, reserialize_message::<HealthReply> },
    changes = { CHANGES, reserialize_message::<Changes> },
    vms = { VMS, reserialize_message::<VmList> },
    settings = { SETTINGS, reserialize_settings },
    presets = { PRESETS, reserialize_presets },
    index = { INDEX, reserialize_index },
)]
fn test_parser_of(valid: &str, parse: Parse) {
    let accepted = parse(valid);
    assert!(accepted.is_some(), "the valid sample is refused");
    check(mutations(), |mutations| {
        let mut bytes = valid.as_bytes().to_vec();
        mutate(&mut bytes, &mutations);
        let text = String::from_utf8_lossy(&bytes);
        if let Some(accepted) = parse(&text) {
            prop_assert_eq!(parse(&accepted), Some(accepted));
        }
        Ok(())
    });
    check(".{0,200}", |text| {
        parse(&text);
        Ok(())
    });
}

#[test]
fn test_parser_of_peers_messages() {
    check(vec(any::<u8>(), 0..400), |bytes| {
        let bytes = BytesMut::from(&*bytes);
        let mut calls = Bincode::<ClientMessage<PeerRequest>, ()>::default();
        let _call = Pin::new(&mut calls).deserialize(&bytes);
        let mut replies = Bincode::<Response<PeerResponse>, ()>::default();
        let _reply = Pin::new(&mut replies).deserialize(&bytes);
        Ok(())
    });
}
