//! Lines and columns of values in a text.

use std::{fmt, sync::Arc};

use displaydoc::Display;
use jsonc_parser::{
    CollectOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use super::parse::OPTIONS;

/// A position in a text: a line and a column, both counted from 1.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[displaydoc("line {line}, column {column}")]
pub struct Position {
    /// The line number.
    pub line: usize,
    /// The column number, in characters.
    pub column: usize,
}

/// One segment of a [`Path`], from a value to a value inside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathSegment {
    /// The key of an object.
    Key(Arc<str>),
    /// The index of an array element, counted from 0.
    Item(usize),
}

/// The path from the root value of a text to a value inside it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Path(pub Vec<PathSegment>);

impl Path {
    /// Creates the path of a key of the root object; dots separate nested keys.
    #[must_use]
    pub fn new(keys: &str) -> Self {
        Self::default().keys(keys)
    }

    /// Appends one key, which may contain dots.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.0.push(PathSegment::Key(key.into()));
        self
    }

    /// Appends nested keys, which are separated by dots.
    #[must_use]
    pub fn keys(mut self, keys: &str) -> Self {
        self.0
            .extend(keys.split('.').map(|key| PathSegment::Key(key.into())));
        self
    }

    /// Appends the index of an array element, counted from 0.
    #[must_use]
    pub fn item(mut self, item: usize) -> Self {
        self.0.push(PathSegment::Item(item));
        self
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, segment) in self.0.iter().enumerate() {
            match segment {
                PathSegment::Key(key) if i == 0 => write!(f, "{key}")?,
                PathSegment::Key(key) => write!(f, ".{key}")?,
                PathSegment::Item(item) => write!(f, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// Returns the position of the value at `path`, or of the innermost value around it that exists.
///
/// Returns the start of the text if the text is malformed or empty. A value in an object has the
/// position of its key.
#[must_use]
pub fn locate(text: &str, path: &Path) -> Position {
    let Some(mut value) = parse_ast(text) else {
        return Position::of_byte(text, 0);
    };
    let mut found = value.start();
    for segment in &path.0 {
        let Some((start, inner)) = descend(value, segment) else {
            break;
        };
        found = start;
        value = inner;
    }
    Position::of_byte(text, found)
}

/// Returns the value that a segment leads to, and the byte offset of the value or of its key.
fn descend<'a>(value: Value<'a>, segment: &PathSegment) -> Option<(usize, Value<'a>)> {
    match (value, segment) {
        (Value::Object(object), PathSegment::Key(key)) => {
            let prop = find_property(object, key)?;
            Some((prop.start(), prop.value))
        }
        (Value::Array(array), PathSegment::Item(item)) => {
            let inner = array.elements.into_iter().nth(*item)?;
            Some((inner.start(), inner))
        }
        _ => None,
    }
}

/// Returns the property of an object with the given key.
fn find_property<'a>(object: Object<'a>, key: &str) -> Option<ObjectProp<'a>> {
    object
        .properties
        .into_iter()
        .find(|prop| prop.name.as_str() == key)
}

/// Parses a text and returns its root value, or `None` if the text is malformed or empty.
pub(super) fn parse_ast(text: &str) -> Option<Value<'_>> {
    let collect = CollectOptions::default();
    let parsed = parse_to_ast(text, &collect, &OPTIONS).ok()?;
    parsed.value
}

impl Position {
    /// Returns the position of the byte at an offset.
    pub(super) fn of_byte(text: &str, byte: usize) -> Self {
        let before = &text.as_bytes()[..byte.min(text.len())];
        let before = String::from_utf8_lossy(before);
        let line = before.matches('\n').count() + 1;
        let last = before.rsplit('\n').next().unwrap_or_default();
        let column = last.chars().count() + 1;
        Self { line, column }
    }
}
