//! Tests of `status` and `explain` against a fleet of processes.

use cassialift_core::{presets::Preset, request::RequestKind};
use cassialift_testkit::{
    harness::{Fleet, FleetSettings, Signal},
    load::{LoadSettings, Traffic},
    standin::{
        Edit,
        backend::{BackendChange, Fault, Faults},
    },
};
use cassialiftctl::{CtlError, Report, run};
use tokio::task::spawn_blocking;

fn settings() -> FleetSettings {
    FleetSettings {
        vms: vec![2],
        servers: 2,
        job_servers: 1,
        shards: 2,
        backend_processes: 1,
        ..FleetSettings::default()
    }
}

async fn ctl(fleet: &Fleet, vm: usize, args: &[&str]) -> Result<Report, CtlError> {
    let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    args.extend(["--vm".to_owned(), fleet.vm_address(vm).to_string()]);
    spawn_blocking(move || run(&args)).await.unwrap()
}

/// Waits until a command's report contains a text, and returns the text of the report.
async fn wait_text(fleet: &Fleet, args: &[&str], wanted: &str) -> String {
    let contains = async || {
        let report = ctl(fleet, 0, args).await;
        report.is_ok_and(|report| report.text.contains(wanted))
    };
    fleet.wait_for(wanted, contains).await.unwrap();
    ctl(fleet, 0, args).await.unwrap().text
}

#[tokio::test]
async fn test_status_and_explain_of_a_fleet() {
    let fleet = Fleet::start(settings()).await.unwrap();
    let published = fleet.publish_preset("peak", &Preset::default()).await;
    let good = published.unwrap();
    let text = wait_text(&fleet, &["status"], "Preset peak has been in force for").await;
    assert!(
        text.contains("VM vm-0 in data centre centre-0, run "),
        "{text}"
    );
    assert!(
        text.contains(&format!("Revision {good} was confirmed by the platform")),
        "{text}"
    );
    assert!(text.contains("BACKEND SERVER"), "{text}");
    for name in ["vm-1", "listings-0", "listings-1", "press-0"] {
        assert!(text.contains(name), "{text}");
    }
    let edit = Edit {
        key: "presets".to_owned(),
        text: Some("{\"active\": \"x\",\n\"presets\": {}}".to_owned()),
    };
    let bad = fleet.publish(vec![edit]).await.unwrap();
    let rejected = format!(
        "presets of revision {bad} is rejected at line 1, column 2: active: there is no preset \
         named x; revision {good} stays in force. Hint: name one of the presets of this document."
    );
    let text = wait_text(&fleet, &["explain", "preset"], &rejected).await;
    assert!(
        text.contains("ago, config: Preset peak is in force since revision"),
        "{text}"
    );
    assert!(
        text.contains("ago, config: Rejected presets of revision"),
        "{text}"
    );
    let text = wait_text(&fleet, &["explain", "config"], "config.rejected = 1").await;
    assert!(!text.contains("fleet."), "{text}");
    let text = wait_text(&fleet, &["explain", "nonsense"], "remembers no decision").await;
    assert_eq!(text, "The VM remembers no decision on nonsense.");
}

#[tokio::test]
async fn test_explain_says_why_requests_were_refused() {
    let fleet = Fleet::start(settings()).await.unwrap();
    let mut caller = fleet.caller("counter").unwrap();
    caller.pin_address(fleet.vm_address(0));
    caller
        .search(RequestKind::NarrowSearch, Some(vec![7_777]))
        .await;
    let refused = "entry: Refused a request with unknown_shard: ";
    let text = wait_text(&fleet, &["explain", "refused"], refused).await;
    assert!(text.contains("refused.unknown_shard = 1"), "{text}");
}

#[tokio::test]
async fn test_explain_says_why_a_backend_server_was_ejected_and_that_it_returned() {
    let fleet = Fleet::start(settings()).await.unwrap();
    let load = LoadSettings {
        job_share: 0.0,
        ..LoadSettings::default()
    };
    let traffic = Traffic::start(&fleet, &load);
    let garbage = Faults {
        fault: Some(Fault::Garbage),
        share: 1.0,
        ..Faults::default()
    };
    set_faults(&fleet, garbage).await;
    let cause = "successive calls failed, the last one because the reply could not be used.";
    let ejected = format!("entry: Ejected listings-0, which gets probes only: {cause}");
    wait_text(&fleet, &["explain", "listings-0"], &ejected).await;
    let retried = "entry: Retried a shard call of listings: the reply could not be used.";
    let text = wait_text(&fleet, &["explain", "retr"], retried).await;
    assert!(text.contains("retry.bad_reply = "), "{text}");
    set_faults(&fleet, Faults::default()).await;
    let returned = "entry: Took listings-0 back after a probe; it gets a growing share of calls.";
    wait_text(&fleet, &["explain", "listings-0"], returned).await;
    let text = wait_text(&fleet, &["explain"], returned).await;
    assert!(text.contains("entry.ejected = "), "{text}");
    assert!(text.contains("entry.returned = "), "{text}");
    traffic.stop().await.unwrap();
}

/// Sets the faults of the first backend server.
async fn set_faults(fleet: &Fleet, faults: Faults) {
    let change = BackendChange {
        server: Some("listings-0".into()),
        faults: Some(faults),
        ..BackendChange::default()
    };
    fleet.change_backends(&change).await.unwrap();
}

#[tokio::test]
async fn test_status_and_explain_as_json() {
    let fleet = Fleet::start(settings()).await.unwrap();
    let admits = async || {
        let report = ctl(&fleet, 1, &["status", "--json"]).await.unwrap();
        let status: serde_json::Value = serde_json::from_str(&report.text).unwrap();
        assert_eq!(status["vm"], "vm-1");
        status["config"]["admits"] == true && status["config"]["preset"] == "ordinary"
    };
    fleet.wait_for("vm-1 to admit", admits).await.unwrap();
    let report = ctl(&fleet, 1, &["explain", "config", "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&report.unwrap().text).unwrap();
    assert_eq!(json["config"]["preset"], "ordinary");
    assert_eq!(json["counters"]["config.started"], 1);
    let events = json["events"].as_array().unwrap();
    assert!(events.iter().any(|event| event["part"] == "config"));
    let mentions = |event: &serde_json::Value| event["text"].to_string().contains("config");
    let others = events.iter().filter(|event| event["part"] != "config");
    assert!(others.clone().all(mentions), "{events:?}");
    assert!(
        others.clone().all(|event| event["part"] != "fleet"),
        "{events:?}"
    );
}

#[tokio::test]
async fn test_status_of_a_frozen_vm_times_out() {
    let mut fleet = Fleet::start(settings()).await.unwrap();
    fleet.signal(1, Signal::Stop).unwrap();
    let error = ctl(&fleet, 1, &["status"]).await.unwrap_err();
    let vm = fleet.vm_address(1);
    assert_eq!(error.to_string(), format!("{vm} gave no answer within 3 s"));
    assert_eq!(error.exit_code(), 1);
    // Another VM still lists the frozen VM.
    let report = ctl(&fleet, 0, &["status"]).await.unwrap();
    assert!(report.text.contains("vm-1"), "{}", report.text);
    fleet.signal(1, Signal::Continue).unwrap();
}
