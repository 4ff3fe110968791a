//! Operators who publish at the same time as faults and as each other.

use cassialift_core::index::ServerState;
use cassialift_testkit::{
    harness::SEARCH_SERVICE,
    standin::{backend::BackendChange, config::Edit},
};
use cassialift_wire::platform::PRESETS_KEY;

use super::support::{
    assert_whole, finish, load, run_for, start, wait_all_covered, wait_all_preset, wait_covered,
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
    assert_whole(&fleet).await;
    fleet
        .publish_state(&server, ServerState::Serving)
        .await
        .unwrap();
    let received = async || fleet.backend_stats().await.unwrap()[&*server].received;
    let before = received().await;
    let works = async || received().await > before;
    fleet
        .wait_for("work at the server that came back", works)
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
        let only = BackendChange {
            versions: Some(vec![version]),
            ..BackendChange::default()
        };
        fleet.change_backends(&only).await.unwrap();
    }
    wait_all_covered(&fleet).await;
    finish(&fleet, traffic).await;
}
