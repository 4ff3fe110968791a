//! Configuration changes by operators under load: concurrent ones, rejected ones, and changes of
//! presets, backend servers and index versions.

use std::collections::BTreeSet;

use cassialift_core::{
    index::ServerState,
    presets::{HedgePolicy, KindPolicy, Preset, QueuePolicy, RetryPolicy},
    request::RequestKind,
    time::Millis,
};
use cassialift_testkit::{
    harness::{FleetSettings, SEARCH_SERVICE},
    history::CallEnd,
    standin::{backend::BackendChange, config::Edit},
};
use cassialift_wire::platform::PRESETS_KEY;

use super::support::{
    assert_invariants, finish, load, run_for, start, start_with, wait_all_covered, wait_all_preset,
    wait_covered,
};

#[tokio::test]
async fn test_operators_publish_at_once() {
    let fleet = start().await;
    let preset = fleet.settings.preset.clone();
    let traffic = load(&fleet);
    for round in 0..5 {
        let names = [format!("peak-{round}"), format!("repair-{round}")];
        let [peak, repair] = &names;
        let (first, second) = tokio::join!(
            fleet.publish_preset(peak, &preset),
            fleet.publish_preset(repair, &preset),
        );
        let last = usize::from(second.unwrap() > first.unwrap());
        wait_all_preset(&fleet, &names[last]).await;
    }
    finish(&fleet, traffic).await;
}

/// Returns the presets in the order in which the test activates them. Their deadline of 10 s is
/// longer than any pause of the test machine, so that no pause makes a call miss its deadline.
fn presets() -> [(&'static str, Preset); 3] {
    let kind = KindPolicy {
        deadline: Millis::new(10_000),
        ..KindPolicy::default()
    };
    let ordinary = Preset {
        kinds: RequestKind::ALL
            .map(|request_kind| (request_kind, kind.clone()))
            .into(),
        ..Preset::default()
    };
    let peak = Preset {
        hedge: HedgePolicy {
            budget: 0.0,
            ..HedgePolicy::default()
        },
        queue: QueuePolicy {
            length: 512,
            ..QueuePolicy::default()
        },
        ..ordinary.clone()
    };
    let maintenance = Preset {
        retry: RetryPolicy {
            attempts: 5,
            ..RetryPolicy::default()
        },
        address_ttl: Millis::new(1_000),
        ..ordinary.clone()
    };
    [
        ("peak", peak),
        ("maintenance", maintenance),
        ("ordinary", ordinary),
    ]
}

/// Every call during the switches is answered, every search covers all shards, and each of the
/// three presets answers some.
#[tokio::test]
async fn test_operators_switch_presets_under_load() {
    let [.., (_, ordinary)] = presets();
    let fleet = start_with(FleetSettings {
        preset: ordinary,
        ..FleetSettings::default()
    })
    .await;
    wait_all_covered(&fleet).await;
    let before = fleet.history().unwrap().calls.len();
    let traffic = load(&fleet);
    for (name, preset) in presets() {
        run_for(300).await;
        fleet.publish_preset(name, &preset).await.unwrap();
        wait_all_preset(&fleet, name).await;
    }
    run_for(300).await;
    finish(&fleet, traffic).await;
    let calls = &fleet.history().unwrap().calls[before..];
    let mut used_presets = BTreeSet::new();
    for record in calls {
        match &record.end {
            CallEnd::Answer(answer) => {
                assert!(answer.coverage.missing.is_empty(), "{record:?}");
                used_presets.insert(&*answer.preset);
            }
            CallEnd::Job(_) => {}
            end => panic!("{end:?}"),
        }
    }
    assert_eq!(
        Vec::from_iter(used_presets),
        ["maintenance", "ordinary", "peak"]
    );
}

#[tokio::test]
async fn test_operators_publish_a_preset_that_is_rejected() {
    let fleet = start().await;
    let traffic = load(&fleet);
    let edit = Edit {
        key: PRESETS_KEY.to_owned(),
        text: Some(String::from(r#"{"active": "absent", "presets": {}}"#)),
    };
    fleet.publish(vec![edit]).await.unwrap();
    run_for(500).await;
    wait_all_preset(&fleet, "ordinary").await;
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await.unwrap();
    wait_all_preset(&fleet, "peak").await;
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_operators_let_a_backend_server_leave() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    run_for(300).await;
    let server = format!("{SEARCH_SERVICE}-0");
    fleet
        .publish_state(&server, ServerState::Leaving)
        .await
        .unwrap();
    run_for(4_500).await;
    wait_covered(&fleet, 1).await;
    assert_invariants(&fleet).await;
    fleet
        .publish_state(&server, ServerState::Serving)
        .await
        .unwrap();
    let received_count = async || fleet.backend_stats().await.unwrap()[&*server].received;
    let before = received_count().await;
    let receives_requests = async || received_count().await > before;
    fleet
        .wait_for(
            "requests at the server that serves again",
            receives_requests,
        )
        .await
        .unwrap();
    finish(&fleet, traffic).await;
}

#[tokio::test]
async fn test_operators_switch_the_index_version_under_load() {
    let mut fleet = start().await;
    let traffic = load(&fleet);
    for version in 2..6 {
        run_for(200).await;
        fleet
            .publish_version(version, &[version - 1, version])
            .await
            .unwrap();
        run_for(200).await;
        let change = BackendChange {
            versions: Some(vec![version]),
            ..BackendChange::default()
        };
        fleet.change_backends(&change).await.unwrap();
    }
    wait_all_covered(&fleet).await;
    finish(&fleet, traffic).await;
}
