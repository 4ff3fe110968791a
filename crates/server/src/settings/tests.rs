//! Tests of parsing and validating settings.

use yare::parameterized;

use super::Settings;

const GOOD: &str = r#"{
  // A VM in Lagos.
  "vm": "lagos-1",
  "centre": "lagos",
  "callers": "127.0.0.1:8080",
  "peers": "127.0.0.1:8081",
  "platform": { "config": "127.0.0.1:9000", "vms": "127.0.0.1:9001" },
  "limits": { "body": 1024 },
}"#;

#[test]
fn test_settings_good() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(&*settings.vm, "lagos-1");
    assert_eq!(settings.limits.body, 1024);
}

#[parameterized(
    unknown_key = { "\"centre\"", "\"center\"", "line 4, column 3: unknown key center", Some("did you mean centre?") },
    same_address = { "127.0.0.1:8081", "127.0.0.1:8080", "line 6, column 3: callers and peers are both to connect to 127.0.0.1:8080", Some("give callers and peers different ports") },
    unspecified = { "127.0.0.1:8081", "0.0.0.0:8081", "line 6, column 3: 0.0.0.0:8081 is no address that others can connect to", Some("write this VM's own IP number and a port") },
    zero = { "1024", "0", "line 8, column 15: must not be zero", None },
    too_large = { "1024", "999999999", "line 8, column 15: 999999999 is more than 16777216", None },
    empty_name = { "lagos-1", "", "line 3, column 3: a name must have 1 to 256 bytes", None },
    bad_address = { "127.0.0.1:9000", "localhost", "line 7, column 27: invalid socket address syntax", None },
    owner_zero = { "\"limits\"", "\"owner\": {\"connect\": 0}, \"limits\"", "line 8, column 13: must not be zero", None },
    jobs_zero = { "\"limits\"", "\"jobs\": {\"records\": 5, \"caller\": 0}, \"limits\"", "line 8, column 26: must not be zero", None },
    short_apply = { "\"limits\"", "\"reads\": {\"apply\": 1500}, \"limits\"", "line 8, column 13: changes cannot be in force within 1500 ms, since the read after a failed one takes up to 1500 ms", Some("make reads.apply longer than that") },
    late_confirmations = { "\"limits\"", "\"reads\": {\"wait\": 4000, \"stale\": 8000}, \"limits\"", "line 8, column 27: reads that wait 4000 ms leave confirmations older than 8000 ms", Some("make reads.stale longer than two waits and one second") },
    missing = { "\"vm\": \"lagos-1\",", "", "line 1, column 1: missing field `vm`", None },
    syntax = { "\"vm\":", "\"vm\"", "line 3, column 8: syntax: Expected colon after the string or word in object property", None },
)]
fn test_settings_fault(from: &str, to: &str, message: &str, hint: Option<&str>) {
    let fault = Settings::parse(&GOOD.replace(from, to)).unwrap_err();
    assert_eq!(fault.to_string(), message);
    assert_eq!(fault.hint.as_deref(), hint);
}
