//! Tests of the distribution of the configuration over a fleet of processes while the platform's
//! configuration service is down, stale or cut off from VMs, and while processes are restarted or
//! frozen.

use std::sync::Arc;

use cassialift_core::{
    ids::{PresetId, Revision},
    presets::Preset,
};
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, Signal},
    standin::{ConfigMode, Edit},
};
use cassialift_wire::{
    caller::ADDRESSES_PATH,
    operator::{ConfigStatus, STATUS_PATH, Status},
    platform::PRESETS_KEY,
};
use yare::parameterized;

/// The number of VMs of each fleet in these tests.
const VM_COUNT: usize = 4;

fn settings() -> FleetSettings {
    FleetSettings {
        vms: vec![2, 2],
        servers: 2,
        job_servers: 1,
        shards: 2,
        backend_processes: 1,
        ..FleetSettings::default()
    }
}

async fn status(fleet: &Fleet, vm: usize) -> Option<Status> {
    let reply = fleet.get(vm, STATUS_PATH).await.ok()?;
    reply.parse().ok()
}

async fn config(fleet: &Fleet, vm: usize) -> Option<ConfigStatus> {
    Some(status(fleet, vm).await?.config)
}

/// Waits until every VM admits requests under the given preset, at the given revision or a later
/// one.
async fn wait_active(fleet: &Fleet, preset: &str, revision: Revision) {
    for vm in 0..VM_COUNT {
        let what = format!("preset {preset} of revision {revision} on vm-{vm}");
        let is_active = async || {
            let Some(config) = config(fleet, vm).await else {
                return false;
            };
            config.admits
                && config.revision >= revision
                && config.preset == Some(PresetId::from(preset))
        };
        fleet.wait_for(&what, is_active).await.unwrap();
    }
}

async fn publish(fleet: &Fleet, preset: &str) -> Revision {
    let published = fleet.publish_preset(preset, &Preset::default()).await;
    published.unwrap()
}

async fn publish_invalid(fleet: &Fleet) -> Revision {
    let edit = Edit {
        key: PRESETS_KEY.to_owned(),
        text: Some("{ \"active\": \"peak\",\n \"presetz\": {} }".to_owned()),
    };
    fleet.publish(vec![edit]).await.unwrap()
}

async fn restart(fleet: &mut Fleet, vms: std::ops::Range<usize>) {
    for vm in vms.clone() {
        fleet.signal(vm, Signal::Kill).unwrap();
        while !fleet.has_exited(vm).unwrap() {
            tokio::task::yield_now().await;
        }
    }
    for vm in vms {
        fleet.start_vm(vm).unwrap();
    }
}

#[tokio::test]
async fn test_config_rejected_between_two_good() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    let valid_revision = publish(&fleet, "first").await;
    wait_active(&fleet, "first", valid_revision).await;
    let invalid_revision = publish_invalid(&fleet).await;
    wait_active(&fleet, "first", invalid_revision).await;
    for vm in 0..VM_COUNT {
        let config = config(&fleet, vm).await.unwrap();
        assert_eq!(config.rejections.len(), 1);
        let rejection = &config.rejections[0];
        assert_eq!(
            (rejection.revision, rejection.fallback),
            (invalid_revision, Some(valid_revision))
        );
        assert_eq!((rejection.line, rejection.column), (2, 2));
        assert_eq!(rejection.cause, "unknown key presetz");
        assert_eq!(rejection.hint.as_deref(), Some("did you mean presets?"));
    }
    // The service has only the rejected text now; of the VMs, only vm-0, which was not restarted,
    // still holds the accepted text.
    restart(&mut fleet, 1..VM_COUNT).await;
    wait_active(&fleet, "first", invalid_revision).await;
    let valid_revision = publish(&fleet, "second").await;
    wait_active(&fleet, "second", valid_revision).await;
    assert_eq!(config(&fleet, 0).await.unwrap().rejections, []);
}

#[tokio::test]
async fn test_config_restart_while_the_service_is_down() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    let revision = publish(&fleet, "peak").await;
    wait_active(&fleet, "peak", revision).await;
    fleet.set_config_mode(ConfigMode::Down).await.unwrap();
    restart(&mut fleet, 1..VM_COUNT).await;
    wait_active(&fleet, "peak", revision).await;
    for vm in 1..VM_COUNT {
        let source = config(&fleet, vm).await.unwrap().source.unwrap();
        assert!(source.starts_with("vm-"), "{source}");
    }
}

#[tokio::test]
async fn test_config_start_of_all_while_the_service_is_down() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    fleet.set_config_mode(ConfigMode::Down).await.unwrap();
    restart(&mut fleet, 0..VM_COUNT).await;
    for vm in 0..VM_COUNT {
        let what = "the event of the unreachable service";
        let reported = async || {
            let status = status(&fleet, vm).await;
            let has_event = |status: Status| {
                let texts = status.events.into_iter().map(|event| event.text);
                texts
                    .into_iter()
                    .any(|text| text.contains("cannot be read"))
            };
            status.is_some_and(has_event)
        };
        fleet.wait_for(what, reported).await.unwrap();
        let addresses = fleet.get(vm, ADDRESSES_PATH).await.unwrap();
        assert!(addresses.text.contains("no_config"), "{}", addresses.text);
        let config = config(&fleet, vm).await.unwrap();
        assert_eq!(
            (config.admits, config.preset, config.age),
            (false, None, None)
        );
    }
    fleet.set_config_mode(ConfigMode::Serving).await.unwrap();
    wait_active(&fleet, "ordinary", 1).await;
}

#[tokio::test]
async fn test_config_stale_replica_reverts_nothing() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    publish(&fleet, "old").await;
    let revision = publish(&fleet, "new").await;
    wait_active(&fleet, "new", revision).await;
    let stale = ConfigMode::Stale(revision - 1);
    fleet.set_config_mode(stale).await.unwrap();
    restart(&mut fleet, 1..VM_COUNT).await;
    wait_active(&fleet, "new", revision).await;
    let reported = async || {
        let status = status(&fleet, 0).await.unwrap();
        let mut texts = status.events.iter().map(|event| &event.text);
        texts.any(|text| text.contains("The service answered with revision"))
    };
    fleet
        .wait_for("the event of a stale answer", reported)
        .await
        .unwrap();
    wait_active(&fleet, "new", revision).await;
    fleet.set_config_mode(ConfigMode::Serving).await.unwrap();
    let revision = publish(&fleet, "newest").await;
    wait_active(&fleet, "newest", revision).await;
}

#[parameterized(first = { 0 }, last = { 3 })]
#[test_macro(tokio::test)]
async fn test_config_one_process_reads(reader: usize) {
    let settings = FleetSettings {
        config_blocked: (0..VM_COUNT).filter(|vm| *vm != reader).collect(),
        ..settings()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    for preset in ["a", "b", "c"] {
        let revision = publish(&fleet, preset).await;
        wait_active(&fleet, preset, revision).await;
    }
    let name = format!("vm-{reader}");
    for vm in (0..VM_COUNT).filter(|vm| *vm != reader) {
        let what = format!("the reader's name on vm-{vm}");
        let knows_reader = async || {
            let config = config(&fleet, vm).await;
            config.is_some_and(|config| config.reader.as_deref() == Some(&name))
        };
        fleet.wait_for(&what, knows_reader).await.unwrap();
    }
}

#[tokio::test]
async fn test_config_two_operators_at_once() {
    let fleet = Fleet::start(settings()).await.unwrap();
    for _ in 0..5 {
        let (one, two) = tokio::join!(publish(&fleet, "one"), publish(&fleet, "two"));
        let last = if one > two { "one" } else { "two" };
        wait_active(&fleet, last, one.max(two)).await;
    }
}

#[tokio::test]
async fn test_config_frozen_process_catches_up() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    fleet.signal(2, Signal::Stop).unwrap();
    let mut revision = 0;
    // The frozen process does not delay the others.
    for preset in ["a", "b"] {
        revision = publish(&fleet, preset).await;
        for vm in [0, 1, 3] {
            let what = format!("revision {revision} on vm-{vm}");
            let has_revision = async || {
                let config = config(&fleet, vm).await;
                config.is_some_and(|config| config.revision >= revision)
            };
            fleet.wait_for(&what, has_revision).await.unwrap();
        }
    }
    fleet.signal(2, Signal::Continue).unwrap();
    wait_active(&fleet, "b", revision).await;
    let preset: Option<PresetId> = config(&fleet, 2).await.unwrap().preset;
    assert_eq!(preset, Some(Arc::from("b")));
}

#[tokio::test]
async fn test_config_joiner_pulls_more_than_one_frame() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    // Six documents whose newest text is rejected, so that their accepted texts are sent as well:
    // 5.4 MB together.
    let mut revision = 0;
    for number in 0..6 {
        for text in ["// good\n", "{ // bad\n"] {
            let mut index = fleet.index.clone();
            index.service = format!("bulk-{number}").into();
            let padding = "x".repeat(450_000);
            let body = serde_json::to_string(&index).unwrap();
            let edit = Edit {
                key: format!("index/bulk-{number}"),
                text: Some(format!("// {padding}\n{text}{body}")),
            };
            revision = fleet.publish(vec![edit]).await.unwrap();
            wait_active(&fleet, "ordinary", revision).await;
        }
    }
    fleet.set_config_mode(ConfigMode::Down).await.unwrap();
    restart(&mut fleet, 3..VM_COUNT).await;
    wait_active(&fleet, "ordinary", revision).await;
    let joiner_config = config(&fleet, 3).await.unwrap();
    assert_eq!(joiner_config.rejections.len(), 6);
    assert!(
        joiner_config
            .rejections
            .iter()
            .all(|rejection| rejection.fallback.is_some())
    );
    assert!(joiner_config.source.unwrap().starts_with("vm-"));
}
