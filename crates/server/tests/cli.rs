//! Tests of the command line of the server program.

use std::{env, fs, path::PathBuf, process};

use cassialift::cli::{CliError, Output, run};
use yare::parameterized;

const SETTINGS: &str = r#"{
  "vm": "lagos-1", // comments are allowed
  "centre": "lagos",
  "callers": "127.0.0.1:8080",
  "peers": "127.0.0.1:8081",
  "platform": { "config": "127.0.0.1:9000", "vms": "127.0.0.1:9001" },
}"#;

fn run_cassialift(args: &[&str]) -> Result<Output, CliError> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    run(&args, |_| None)
}

fn check_settings(file_name: &str, text: &str) -> (PathBuf, Result<Output, CliError>) {
    let path = env::temp_dir().join(format!("cassialift-cli-{}-{file_name}", process::id()));
    fs::write(&path, text).unwrap();
    let result = run_cassialift(&["--settings", &path.to_string_lossy(), "--check"]);
    fs::remove_file(&path).unwrap();
    (path, result)
}

#[test]
fn test_cli_check_good_settings() {
    let (path, result) = check_settings("good.json", SETTINGS);
    let Output::Text(text) = result.unwrap() else {
        panic!("the server was started instead of checking its settings");
    };
    assert_eq!(text, format!("{}: settings are valid", path.display()));
}

#[test]
fn test_cli_check_names_file_line_cause_and_hint() {
    let (path, result) = check_settings("bad.json", &SETTINGS.replace("\"peers\"", "\"peer\""));
    let error = result.unwrap_err();
    let expected = format!("{path:?}: line 5, column 3: unknown key peer");
    assert_eq!(error.to_string(), expected);
    assert_eq!(error.hint(), "did you mean peers?");
    assert_eq!(error.exit_code(), 3);
}

#[parameterized(
    none = { &[], 2, "no settings file was named" },
    option = { &["--fix"], 2, "Unrecognized option: 'fix'" },
    extra = { &["--check", "now"], 2, "unexpected argument `now`" },
)]
fn test_cli_refused(args: &[&str], code: u8, message: &str) {
    let error = run_cassialift(args).unwrap_err();
    assert_eq!(error.to_string(), message);
    assert_eq!(error.exit_code(), code);
    assert!(!error.hint().is_empty());
}

#[test]
fn test_cli_missing_file() {
    let error = run_cassialift(&["--settings", "/nonexistent/settings.json"]).unwrap_err();
    assert!(error.to_string().contains("cannot be read"), "{error}");
    assert_eq!(error.exit_code(), 3);
}
