//! Tests of the command line and of `check`.

use std::{env, fs, path::PathBuf, process};

use cassialiftctl::{CtlError, Report, run};
use yare::parameterized;

fn ctl(args: &[&str]) -> Result<Report, CtlError> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    run(&args)
}

/// A temporary file, which is removed on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let path = env::temp_dir().join(format!("cassialiftctl-{}-{name}", process::id()));
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> String {
        self.0.to_string_lossy().into_owned()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        fs::remove_file(&self.0).unwrap();
    }
}

const PRESETS: &str = "{ // all\n \"active\": \"a\", \"presets\": { \"a\": {} } }";

#[parameterized(
    none = { &[], "no command was named" },
    unknown = { &["repair"], "there is no command repair" },
    no_file = { &["check"], "check needs a file" },
    no_vm = { &["status"], "status needs --vm ADDR" },
    bad_vm = { &["status", "--vm", "lagos-1"], "lagos-1 is not an address: invalid socket address syntax" },
    extra = { &["status", "a", "--vm", "127.0.0.1:1"], "unexpected argument a" },
    two_topics = { &["explain", "a", "b", "--vm", "127.0.0.1:1"], "unexpected argument b" },
    kind = { &["check", "f", "--kind", "map"], "there is no kind of file map" },
    option = { &["check", "--fix"], "Unrecognized option: 'fix'" },
)]
fn test_cli_refused(args: &[&str], message: &str) {
    let error = ctl(args).unwrap_err();
    assert_eq!(error.to_string(), message);
    assert_eq!(error.exit_code(), 2);
    assert!(!error.hint().is_empty());
}

#[test]
fn test_cli_help_and_version() {
    let help = ctl(&["--help"]).unwrap();
    assert!(help.text.contains("explain --vm ADDR [TOPIC]"));
    let version = ctl(&["-V"]).unwrap();
    assert!(version.text.starts_with("cassialiftctl "));
    assert_eq!((help.exit_code, version.exit_code), (0, 0));
}

#[test]
fn test_check_good() {
    let file = TempFile::new("good.json", PRESETS);
    let report = ctl(&["check", &file.path()]).unwrap();
    assert_eq!(report.text, format!("{}: valid presets", file.path()));
    assert_eq!(report.exit_code, 0);
}

#[parameterized(
    unknown_key = { "key.json", "{ \"active\": \"a\", \"presets\": {\n \"a\": {\"hedg\": {}} } }", ":2:8: unknown key hedg\nhint: did you mean hedge?" },
    combination = { "comb.json", "{ \"active\": \"a\", \"presets\": {\n \"a\": {\"address_ttl\": 90000} } }", ":2:8: presets.a.address_ttl: 90000 is more than 30000" },
    syntax = { "syntax.json", "{ \"active\" \"a\" }", ":1:12: syntax: Expected colon after the string or word in object property" },
    kind = { "kind.json", "{ \"a\": 1 }", ":1:1: cannot tell whether this is settings, presets or index\nhint: say which with --kind KIND" },
    settings = { "settings.json", "{ \"vm\": \"a\" }", ":1:1: missing field `centre`" },
)]
fn test_check_refused(name: &str, text: &str, message: &str) {
    let file = TempFile::new(name, text);
    let report = ctl(&["check", &file.path()]).unwrap();
    assert_eq!(report.text, format!("{}{message}", file.path()));
    assert_eq!(report.exit_code, 3);
}

#[test]
fn test_check_json_names_each_file() {
    let good = TempFile::new("json-good.json", PRESETS);
    let bad = TempFile::new("json-bad.json", "{ \"active\": \"b\", \"presets\": {} }");
    let report = ctl(&["check", "--json", &good.path(), &bad.path()]).unwrap();
    let json: serde_json::Value = serde_json::from_str(&report.text).unwrap();
    assert_eq!(json[0]["fault"], serde_json::Value::Null);
    assert_eq!(json[1]["fault"]["line"], 1);
    assert_eq!(
        json[1]["fault"]["cause"],
        "active: there is no preset named b"
    );
    assert_eq!(report.exit_code, 3);
}

#[test]
fn test_check_missing_file() {
    let report = ctl(&["check", "/nonexistent/presets.json"]).unwrap();
    assert!(report.text.contains("cannot be read"));
    assert_eq!(report.exit_code, 3);
}

#[test]
fn test_status_of_a_vm_that_does_not_answer() {
    // Nothing listens on the port after the listener has been dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = listener.local_addr().unwrap().to_string();
    drop(listener);
    let error = ctl(&["status", "--vm", &vm]).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with(&format!("{vm} does not answer"))
    );
    assert_eq!(error.exit_code(), 1);
    assert!(error.hint().contains("ask another VM"));
}
