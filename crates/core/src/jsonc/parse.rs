//! Reading a text into a type.

use std::collections::HashSet;

use jsonc_parser::{
    ParseOptions, ast::Value, common::Ranged, errors::ParseError, errors::ParseErrorKind,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;

use super::{
    JsoncCause, JsoncError, JsoncHint, Position, locate::parse_ast, suggest::closest_name,
};

/// The most bytes of one text.
pub const MAX_TEXT_BYTES: usize = 1_048_576;

/// JSON with comments and trailing commas, and nothing else beyond JSON.
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

/// Reads JSON with comments into a type.
///
/// # Errors
/// Returns the first fault, with its line and column.
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
        ParseErrorKind::Custom(message) => convert_shape_error(text, error.range().start, message),
        kind => JsoncError {
            position,
            cause: JsoncCause::Syntax(kind.to_string()),
            hint: None,
        },
    }
}

/// Turns a message of serde about the value at byte `start` into a fault.
fn convert_shape_error(text: &str, start: usize, message: &str) -> JsoncError {
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let unknown = message.starts_with("unknown field") || message.starts_with("unknown variant");
    let [name, known @ ..] = names.as_slice() else {
        return shape_error(Position::at(text, start), message, None);
    };
    if !unknown {
        return shape_error(Position::at(text, start), message, None);
    }
    let hint = match closest_name(name, known) {
        Some(near) => JsoncHint::Closest(near.to_owned()),
        None => JsoncHint::Known(known.join(", ")),
    };
    if message.starts_with("unknown variant") {
        return shape_error(Position::at(text, start), message, Some(hint));
    }
    let key = parse_ast(text).and_then(|root| key_start(&root, start, name));
    JsoncError {
        position: Position::at(text, key.unwrap_or(start)),
        cause: JsoncCause::UnknownKey((*name).to_owned()),
        hint: Some(hint),
    }
}

fn shape_error(position: Position, message: &str, hint: Option<JsoncHint>) -> JsoncError {
    let cause = JsoncCause::Shape(message.to_owned());
    JsoncError {
        position,
        cause,
        hint,
    }
}

/// Finds where the object that starts at byte `start` has the key `name`.
fn key_start(value: &Value<'_>, start: usize, name: &str) -> Option<usize> {
    match value {
        Value::Object(object) if object.range.start == start => object
            .properties
            .iter()
            .find(|prop| prop.name.as_str() == name)
            .map(Ranged::start),
        Value::Object(object) => object
            .properties
            .iter()
            .find_map(|prop| key_start(&prop.value, start, name)),
        Value::Array(array) => array
            .elements
            .iter()
            .find_map(|inner| key_start(inner, start, name)),
        _ => None,
    }
}

/// Finds a key that stands twice in one object; a map would keep the last without a word.
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
                    position: Position::at(text, prop.start()),
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
