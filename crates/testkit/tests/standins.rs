//! Checks that the stand-ins implement the protocols of the services that they replace.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassialift_core::{
    ids::RequestKey,
    request::{RequestKind, Urgency},
    time::Millis,
};
use cassialift_testkit::{
    client::{ClientError, JsonClient},
    standin::{
        ConfigMode, ConfigService, Edit, VmChange, VmService,
        backend::{
            BackendChange, BackendProcess, BackendSettings, Fault, Faults, ProcessSettings,
            ServiceTime, search_rows,
        },
    },
};
use cassialift_wire::{
    backend::{
        CANCEL_PATH, CancelReply, CancelRequest, RUN_PATH, RunOutcome, RunRefusal, RunReply,
        RunRequest,
    },
    platform::{CHANGES_PATH, Changes, VMS_PATH, VmList},
};

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The loopback address with a free port.
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn request(sequence: u64) -> RunRequest {
    RunRequest {
        request: RequestKey {
            incarnation: 7,
            sequence,
        },
        attempt: 0,
        service: Arc::from("service"),
        shard: 3,
        version: 1,
        kind: RequestKind::WideSearch,
        urgency: Urgency::Urgent,
        remaining: Millis::new(15_000),
        body: format!("query {sequence}"),
    }
}

async fn start(settings: BackendSettings) -> (BackendProcess, SocketAddr) {
    let process = ProcessSettings {
        servers: vec![settings],
        ..ProcessSettings::default()
    };
    let process = BackendProcess::start(process).await.unwrap();
    let address = process.addresses["server"];
    (process, address)
}

async fn run(address: SocketAddr, request: RunRequest) -> Result<RunReply, ClientError> {
    let client = JsonClient::new(TIMEOUT)?;
    client.post(address, RUN_PATH, &request).await?.parse()
}

fn change_faults(faults: Faults) -> BackendChange {
    BackendChange {
        faults: Some(faults),
        ..BackendChange::default()
    }
}

/// Waits until the one server has started the given number of runs.
async fn wait_started(process: &BackendProcess, started: u64) {
    while process.stats()["server"].started < started {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn test_backend_rows_state_their_source() {
    let (_process, address) = start(BackendSettings::default()).await;
    let reply = run(address, request(1)).await.unwrap();
    let rows = search_rows(3, 1, "query 1", 2);
    assert_eq!(reply.outcome, RunOutcome::Done { version: 1, rows });
    assert_eq!(reply.request, request(1).request);
}

#[tokio::test]
async fn test_backend_slots_are_enforced() {
    let (process, address) = start(BackendSettings::default()).await;
    let hang = Faults {
        hang: true,
        ..Faults::default()
    };
    assert!(process.change(&change_faults(hang)));
    let running = [
        tokio::spawn(run(address, request(1))),
        tokio::spawn(run(address, request(2))),
    ];
    wait_started(&process, 2).await;
    let third = run(address, request(3)).await.unwrap();
    assert_eq!(third.outcome, RunOutcome::Refused(RunRefusal::Busy));
    assert!(process.change(&change_faults(Faults::default())));
    for run in running {
        let reply = run.await.unwrap().unwrap();
        assert!(matches!(reply.outcome, RunOutcome::Done { .. }));
    }
    assert_eq!(process.stats()["server"].most_running, 2);
}

#[tokio::test]
async fn test_backend_connections_are_enforced() {
    let settings = BackendSettings {
        connections: 1,
        ..BackendSettings::default()
    };
    let (process, address) = start(settings).await;
    let connection = tokio::net::TcpStream::connect(address).await.unwrap();
    while process.stats()["server"].most_connections < 1 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    run(address, request(1)).await.unwrap_err();
    drop(connection);
    // The server notices the end of the first connection with a delay.
    while run(address, request(2)).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(process.stats()["server"].most_connections, 1);
    assert!(process.stats()["server"].refused_connections >= 1);
}

#[tokio::test]
async fn test_backend_cancel_stops_a_run() {
    let settings = BackendSettings {
        time: ServiceTime {
            median: 10_000_000,
            sigma: 0.0,
        },
        ..BackendSettings::default()
    };
    let (process, address) = start(settings).await;
    let running = tokio::spawn(run(address, request(1)));
    wait_started(&process, 1).await;
    let cancel = CancelRequest {
        request: request(1).request,
        attempt: 0,
    };
    let client = JsonClient::new(TIMEOUT).unwrap();
    let reply = client.post(address, CANCEL_PATH, &cancel).await.unwrap();
    assert!(reply.parse::<CancelReply>().unwrap().stopped);
    let reply = running.await.unwrap().unwrap();
    assert_eq!(reply.outcome, RunOutcome::Stopped);
}

/// A run that is ended by its deadline had started, so its outcome must not be a refusal.
#[tokio::test]
async fn test_backend_deadline_stops_a_run() {
    let settings = BackendSettings {
        time: ServiceTime {
            median: 10_000_000,
            sigma: 0.0,
        },
        ..BackendSettings::default()
    };
    let (_process, address) = start(settings).await;
    let request = RunRequest {
        remaining: Millis::new(20),
        ..request(1)
    };
    let reply = run(address, request).await.unwrap();
    assert_eq!(reply.outcome, RunOutcome::Stopped);
}

#[tokio::test]
async fn test_backend_other_version_is_refused() {
    let (process, address) = start(BackendSettings::default()).await;
    let switch = BackendChange {
        versions: Some(vec![2]),
        ..BackendChange::default()
    };
    assert!(process.change(&switch));
    let reply = run(address, request(1)).await.unwrap();
    let refusal = RunRefusal::VersionGone { held: 2 };
    assert_eq!(reply.outcome, RunOutcome::Refused(refusal));
}

#[tokio::test]
async fn test_backend_faults_take_effect() {
    let (process, address) = start(BackendSettings::default()).await;
    let set = |fault| {
        let change = change_faults(Faults {
            fault: Some(fault),
            ..Faults::default()
        });
        assert!(process.change(&change));
    };
    set(Fault::DropBefore);
    run(address, request(1)).await.unwrap_err();
    assert_eq!(process.stats()["server"].started, 0);
    set(Fault::DropAfter);
    run(address, request(2)).await.unwrap_err();
    assert_eq!(process.stats()["server"].started, 1);
    set(Fault::Garbage);
    run(address, request(3)).await.unwrap_err();
    set(Fault::WrongVersion);
    let reply = run(address, request(4)).await.unwrap();
    assert!(matches!(reply.outcome, RunOutcome::Done { version: 2, .. }));
    set(Fault::Crossed);
    let reply = run(address, request(5)).await.unwrap();
    assert_eq!(reply.request, request(4).request);
}

fn edit(key: &str, text: &str) -> Edit {
    Edit {
        key: key.to_owned(),
        text: Some(text.to_owned()),
    }
}

async fn changes(address: SocketAddr, query: &str) -> Result<Changes, ClientError> {
    let client = JsonClient::new(TIMEOUT)?;
    let path = format!("{CHANGES_PATH}?{query}");
    client.get(address, &path).await?.parse()
}

#[tokio::test]
async fn test_config_long_poll_ends_with_a_change() {
    let service = ConfigService::start(ANY_PORT.into()).await.unwrap();
    assert_eq!(service.publish(vec![edit("a", "1")]), 1);
    let address = service.address;
    let poll = tokio::spawn(async move { changes(address, "after=1&wait=15000").await });
    while service.stats().reads == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(service.publish(vec![edit("b", "2")]), 2);
    let found = poll.await.unwrap().unwrap();
    assert_eq!((found.revision, found.documents.len()), (2, 1));
    assert_eq!(
        changes(address, "after=0&wait=0")
            .await
            .unwrap()
            .documents
            .len(),
        2
    );
    assert_eq!(service.stats().reads, 2);
}

#[tokio::test]
async fn test_config_modes() {
    let service = ConfigService::start(ANY_PORT.into()).await.unwrap();
    for text in ["1", "2", "3"] {
        assert!(service.publish(vec![edit("a", text)]) > 0);
    }
    service.set_mode(ConfigMode::Stale(1));
    let found = changes(service.address, "after=0&wait=0").await.unwrap();
    assert_eq!((found.revision, found.documents[0].revision), (1, 1));
    service.set_mode(ConfigMode::Replaying(2));
    let found = changes(service.address, "after=3&wait=0").await.unwrap();
    assert_eq!((found.revision, found.documents[0].revision), (2, 2));
    service.set_mode(ConfigMode::Down);
    changes(service.address, "after=0&wait=0")
        .await
        .unwrap_err();
}

#[tokio::test]
async fn test_vms_lag() {
    let service = VmService::start(ANY_PORT.into()).await.unwrap();
    let text = r#"{"vms":[{"id":"v1","centre":"c","callers":"127.0.0.1:1","peers":"127.0.0.1:2",
        "state":"live"}]}"#;
    let list: VmList = serde_json::from_str(text).unwrap();
    let read = async || -> VmList {
        let client = JsonClient::new(TIMEOUT).unwrap();
        let reply = client.get(service.address, VMS_PATH).await.unwrap();
        reply.parse().unwrap()
    };
    service.change(VmChange {
        list: Some(list.clone()),
        ..VmChange::default()
    });
    assert_eq!(read().await, list);
    service.change(VmChange {
        list: Some(VmList::default()),
        lag: Millis::new(3_600_000),
        down: false,
    });
    assert_eq!(read().await, list);
}
