//! Reading a text into a type.

use std::collections::HashSet;

use jsonc_parser::{
    ParseOptions, ast::Value, common::Ranged, errors::ParseError, errors::ParseErrorKind,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;

use super::{Fault, Place, TextCause, TextHint, locate::parse, nearest::nearest};

/// The most bytes of one text.
pub const MAX_BYTES: usize = 1_048_576;

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
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    if text.len() > MAX_BYTES {
        return Err(Fault {
            place: Place { line: 1, column: 1 },
            cause: TextCause::TooLarge(text.len()),
            hint: None,
        });
    }
    let value = parse_to_serde_value(text, &OPTIONS).map_err(|error| fault(text, &error))?;
    match parse(text).and_then(|root| duplicate(text, &root)) {
        None => Ok(value),
        Some(fault) => Err(fault),
    }
}

fn fault(text: &str, error: &ParseError) -> Fault {
    let place = Place {
        line: error.line_display(),
        column: error.column_display(),
    };
    match error.kind() {
        ParseErrorKind::Custom(_) if parse(text).is_none() => Fault {
            place,
            cause: TextCause::Empty,
            hint: None,
        },
        ParseErrorKind::Custom(message) => shape_fault(text, error.range().start, message),
        kind => Fault {
            place,
            cause: TextCause::Syntax(kind.to_string()),
            hint: None,
        },
    }
}

/// Turns a message of serde about the value at byte `start` into a fault.
fn shape_fault(text: &str, start: usize, message: &str) -> Fault {
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let unknown = message.starts_with("unknown field") || message.starts_with("unknown variant");
    let [name, known @ ..] = names.as_slice() else {
        return shape(Place::at(text, start), message, None);
    };
    if !unknown {
        return shape(Place::at(text, start), message, None);
    }
    let hint = match nearest(name, known) {
        Some(near) => TextHint::Nearest(near.to_owned()),
        None => TextHint::Known(known.join(", ")),
    };
    if message.starts_with("unknown variant") {
        return shape(Place::at(text, start), message, Some(hint));
    }
    let key = parse(text).and_then(|root| key_start(&root, start, name));
    Fault {
        place: Place::at(text, key.unwrap_or(start)),
        cause: TextCause::UnknownKey((*name).to_owned()),
        hint: Some(hint),
    }
}

fn shape(place: Place, message: &str, hint: Option<TextHint>) -> Fault {
    let cause = TextCause::Shape(message.to_owned());
    Fault { place, cause, hint }
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
fn duplicate(text: &str, value: &Value<'_>) -> Option<Fault> {
    match value {
        Value::Object(object) => {
            let mut seen = HashSet::new();
            object.properties.iter().find_map(|prop| {
                let key = prop.name.as_str();
                if seen.insert(key) {
                    return duplicate(text, &prop.value);
                }
                Some(Fault {
                    place: Place::at(text, prop.start()),
                    cause: TextCause::DuplicateKey(key.to_owned()),
                    hint: Some(TextHint::KeepOne),
                })
            })
        }
        Value::Array(array) => array
            .elements
            .iter()
            .find_map(|inner| duplicate(text, inner)),
        _ => None,
    }
}
