//! Tests of parsing JSON with comments.

use yare::parameterized;

use super::{JsoncCause, JsoncHint, Path, Position, locate, parse};
use crate::presets::{HedgePolicy, PresetDocument};

#[parameterized(
    unknown_key = { "{\n  // c\n  \"quantil\": 0.9\n}", 3, 3, "unknown key quantil", "did you mean quantile?" },
    far_key = { "{ \"zzzzzz\": 0.9 }", 1, 3, "unknown key zzzzzz", "known keys are quantile, budget" },
    duplicate_key = { "{ \"budget\": 0, \n \"budget\": 1 }", 1, 1, "duplicate field `budget`", "" },
    wrong_type = { "{\n\"budget\": \"x\" }", 2, 11, "invalid type: string \"x\", expected f64", "" },
    missing_comma = { "{ \"budget\": 1 \"quantile\": 1 }", 1, 14, "syntax: Expected comma", "" },
    bare_word = { "{ budget: 1 }", 1, 3, "syntax: Expected string for object property", "" },
    hex = { "{ \"budget\": 0x1 }", 1, 13, "syntax: Hexadecimal numbers are not allowed", "" },
    second_root = { "{} {}", 1, 4, "syntax: Text cannot contain more than one JSON value", "" },
    empty = { "", 1, 1, "the text holds no value", "" },
)]
fn test_parse_fault(text: &str, line: usize, column: usize, cause: &str, hint: &str) {
    let error = parse::<HedgePolicy>(text).unwrap_err();
    let found = error.hint.as_ref().map(ToString::to_string);
    assert_eq!(error.cause.to_string(), cause);
    assert_eq!(error.position, Position { line, column });
    assert_eq!(found.unwrap_or_default(), hint);
}

#[test]
fn test_parse_trailing_comma() {
    let policy: HedgePolicy = parse("{ \"budget\": 0.2, /* c */ }").unwrap();
    assert!((policy.budget - 0.2).abs() < f64::EPSILON);
}

#[test]
fn test_parse_duplicate_map_key() {
    let text = "{\"active\": \"a\", \"presets\": {\"a\": {},\n \"a\": {}}}";
    let error = parse::<PresetDocument>(text).unwrap_err();
    assert_eq!(error.cause, JsoncCause::DuplicateKey("a".to_owned()));
    assert_eq!(error.position, Position { line: 2, column: 2 });
    assert_eq!(error.hint, Some(JsoncHint::KeepOne));
}

#[test]
fn test_parse_too_large() {
    let text = format!("{{}} // {}", "x".repeat(super::MAX_TEXT_BYTES));
    let error = parse::<HedgePolicy>(&text).unwrap_err();
    assert_eq!(error.cause, JsoncCause::TooLarge(text.len()));
}

#[test]
fn test_parse_deep_nesting() {
    let text = "[".repeat(100_000);
    let error = parse::<HedgePolicy>(&text).unwrap_err();
    assert_eq!(error.position.line, 1);
}

#[parameterized(
    key = { Path::new("a.b"), 2, 7 },
    item = { Path::new("c").item(1), 3, 10 },
    absent = { Path::new("a.z"), 2, 1 },
)]
fn test_locate(path: Path, line: usize, column: usize) {
    let text = "{\n\"a\": {\"b\": 1},\n\"c\": [1, \"é\"] }";
    assert_eq!(locate(text, &path), Position { line, column });
}

/// A text that is nested too deeply must be an error: the stack of the parser is finite, and its end is
/// that of the process.
#[parameterized(
    arrays = { "[" },
    objects = { r#"{"a":"# },
    mixed = { r#"{"a":["# },
)]
fn test_jsonc_deep_nesting_is_an_error(open: &str) {
    let text = open.repeat(1_000_000 / open.len());
    parse::<serde_json::Value>(&text).unwrap_err();
}
