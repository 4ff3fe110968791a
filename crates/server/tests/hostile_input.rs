//! Nothing that others send makes a parser panic, and what is accepted means the same when read
//! again: requests, settings, documents, peers' messages and backend servers' replies.

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

/// The inputs that each parser is given.
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

/// Parses a text; gives the text of what was accepted.
type Parse = fn(&str) -> Option<String>;

fn read_message<T: DeserializeOwned + Serialize>(text: &str) -> Option<String> {
    let parsed: T = serde_json::from_str(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn read_settings(text: &str) -> Option<String> {
    let parsed = Settings::parse(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn read_presets(text: &str) -> Option<String> {
    let parsed = parse_presets(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

fn read_index(text: &str) -> Option<String> {
    let parsed = parse_index(text).ok()?;
    serde_json::to_string(&parsed).ok()
}

/// One change of a text.
#[derive(Clone, Debug)]
enum Damage {
    Set(u8),
    Insert(u8),
    Remove,
    Truncate,
    Double,
}

fn damages() -> impl Strategy<Value = Vec<(prop::sample::Index, Damage)>> {
    let damage = prop_oneof![
        any::<u8>().prop_map(Damage::Set),
        prop::sample::select(br#"{}[]",:0-9.eE\"#.to_vec()).prop_map(Damage::Insert),
        Just(Damage::Remove),
        Just(Damage::Truncate),
        Just(Damage::Double),
    ];
    vec((any::<prop::sample::Index>(), damage), 1..6)
}

fn damage(bytes: &mut Vec<u8>, damages: &[(prop::sample::Index, Damage)]) {
    for (place, damage) in damages {
        if bytes.is_empty() {
            return;
        }
        let at = place.index(bytes.len());
        match damage {
            Damage::Set(byte) => bytes[at] = *byte,
            Damage::Insert(byte) => bytes.insert(at, *byte),
            Damage::Remove => drop(bytes.remove(at)),
            Damage::Truncate => bytes.truncate(at),
            Damage::Double => bytes.extend_from_within(at..),
        }
    }
}

/// Runs a property with the same inputs each time.
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
    search = { SEARCH, read_message::<SearchRequest> },
    job = { JOB, read_message::<JobRequest> },
    outcome = { OUTCOME, read_message::<OutcomeRequest> },
    ticket = { TICKET, read_message::<TicketRequest> },
    run = { RUN, read_message::<RunRequest> },
    reply = { REPLY, read_message::<RunReply> },
    refusal = { REFUSAL, read_message::<RunReply> },
    health = { HEALTH, read_message::<HealthReply> },
    changes = { CHANGES, read_message::<Changes> },
    vms = { VMS, read_message::<VmList> },
    settings = { SETTINGS, read_settings },
    presets = { PRESETS, read_presets },
    index = { INDEX, read_index },
)]
fn test_parser_of(valid: &str, parse: Parse) {
    let accepted = parse(valid);
    assert!(accepted.is_some(), "the sample is refused");
    check(damages(), |damages| {
        let mut bytes = valid.as_bytes().to_vec();
        damage(&mut bytes, &damages);
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
