//! Parsing of a text into a type.

use std::collections::HashSet;

use jsonc_parser::{
    ParseOptions, ast::Value, common::Ranged, errors::ParseError, errors::ParseErrorKind,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;

use super::{
    JsoncCause, JsoncError, JsoncHint, Position, locate::parse_ast, suggest::closest_name,
};

/// The maximum size of one text, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_048_576;

/// Parser options that allow comments and trailing commas, and no other extension of JSON.
pub(super) const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses JSON with comments into a type.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(JsoncError {
            position: Position { line: 1, column: 1 },
            cause: JsoncCause::TooLarge(text.len()),
            hint: None,
        });
    }
    let value =
        parse_to_serde_value(text, &OPTIONS).map_err(|error| convert_error(text, &error))?;
    match parse_ast(text).and_then(|root| find_duplicate(text, &root)) {
        None => Ok(value),
        Some(error) => Err(error),
    }
}

/// Converts an error of the parser or of serde.
fn convert_error(text: &str, error: &ParseError) -> JsoncError {
    let position = Position {
        line: error.line_display(),
        column: error.column_display(),
    };
    match error.kind() {
        ParseErrorKind::Custom(_) if parse_ast(text).is_none() => JsoncError {
            position,
            cause: JsoncCause::Empty,
            hint: None,
        },
        ParseErrorKind::Custom(message) => {
            convert_serde_message(text, error.range().start, message)
        }
        kind => JsoncError {
            position,
            cause: JsoncCause::Syntax(kind.to_string()),
            hint: None,
        },
    }
}

/// Converts a message of serde about the value at byte `start` into an error.
fn convert_serde_message(text: &str, start: usize, message: &str) -> JsoncError {
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let unknown = message.starts_with("unknown field") || message.starts_with("unknown variant");
    let [name, known @ ..] = names.as_slice() else {
        return deserialize_error(Position::of_byte(text, start), message, None);
    };
    if !unknown {
        return deserialize_error(Position::of_byte(text, start), message, None);
    }
    let hint = match closest_name(name, known) {
        Some(near) => JsoncHint::Closest(near.to_owned()),
        None => JsoncHint::Known(known.join(", ")),
    };
    if message.starts_with("unknown variant") {
        return deserialize_error(Position::of_byte(text, start), message, Some(hint));
    }
    let key = parse_ast(text).and_then(|root| find_key(&root, start, name));
    JsoncError {
        position: Position::of_byte(text, key.unwrap_or(start)),
        cause: JsoncCause::UnknownKey((*name).to_owned()),
        hint: Some(hint),
    }
}

fn deserialize_error(position: Position, message: &str, hint: Option<JsoncHint>) -> JsoncError {
    let cause = JsoncCause::Deserialize(message.to_owned());
    JsoncError {
        position,
        cause,
        hint,
    }
}

/// Returns the byte offset of the key `name` in the object that starts at byte `start`.
fn find_key(value: &Value<'_>, start: usize, name: &str) -> Option<usize> {
    match value {
        Value::Object(object) if object.range.start == start => object
            .properties
            .iter()
            .find(|prop| prop.name.as_str() == name)
            .map(Ranged::start),
        Value::Object(object) => object
            .properties
            .iter()
            .find_map(|prop| find_key(&prop.value, start, name)),
        Value::Array(array) => array
            .elements
            .iter()
            .find_map(|inner| find_key(inner, start, name)),
        _ => None,
    }
}

/// Returns an error for the first key that occurs twice in one object. A map would silently keep
/// the last value.
fn find_duplicate(text: &str, value: &Value<'_>) -> Option<JsoncError> {
    match value {
        Value::Object(object) => {
            let mut seen = HashSet::new();
            object.properties.iter().find_map(|prop| {
                let key = prop.name.as_str();
                if seen.insert(key) {
                    return find_duplicate(text, &prop.value);
                }
                Some(JsoncError {
                    position: Position::of_byte(text, prop.start()),
                    cause: JsoncCause::DuplicateKey(key.to_owned()),
                    hint: Some(JsoncHint::KeepOne),
                })
            })
        }
        Value::Array(array) => array
            .elements
            .iter()
            .find_map(|inner| find_duplicate(text, inner)),
        _ => None,
    }
}
