//! Lines and columns of the values in a text.

use std::{fmt, sync::Arc};

use displaydoc::Display;
use jsonc_parser::{
    CollectOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use super::parse::OPTIONS;

/// A line and a column, both from 1.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[displaydoc("line {line}, column {column}")]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// One step from a value to a value inside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// To the value of a key.
    Key(Arc<str>),
    /// To an element of an array, counted from 0.
    Item(usize),
}

/// The steps from the outermost value to one inside it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Path(pub Vec<Step>);

impl Path {
    /// Makes the path of a key of the outermost object; dots part nested keys.
    #[must_use]
    pub fn new(keys: &str) -> Self {
        Self::default().keys(keys)
    }

    /// Goes on to a key, which may hold dots.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.0.push(Step::Key(key.into()));
        self
    }

    /// Goes on to nested keys, parted by dots.
    #[must_use]
    pub fn keys(mut self, keys: &str) -> Self {
        self.0
            .extend(keys.split('.').map(|key| Step::Key(key.into())));
        self
    }

    /// Goes on to an element of an array, counted from 0.
    #[must_use]
    pub fn item(mut self, item: usize) -> Self {
        self.0.push(Step::Item(item));
        self
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) if i == 0 => write!(f, "{key}")?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Item(item) => write!(f, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// Finds a value of a well-formed text, or the innermost value around it that the text has.
#[must_use]
pub fn locate(text: &str, path: &Path) -> Position {
    let Some(mut value) = parse_ast(text) else {
        return Position::at(text, 0);
    };
    let mut found = value.start();
    for step in &path.0 {
        let Some((start, inner)) = enter(value, step) else {
            break;
        };
        found = start;
        value = inner;
    }
    Position::at(text, found)
}

fn enter<'a>(value: Value<'a>, step: &Step) -> Option<(usize, Value<'a>)> {
    match (value, step) {
        (Value::Object(object), Step::Key(key)) => {
            let prop = property(object, key)?;
            Some((prop.start(), prop.value))
        }
        (Value::Array(array), Step::Item(item)) => {
            let inner = array.elements.into_iter().nth(*item)?;
            Some((inner.start(), inner))
        }
        _ => None,
    }
}

fn property<'a>(object: Object<'a>, key: &str) -> Option<ObjectProp<'a>> {
    object
        .properties
        .into_iter()
        .find(|prop| prop.name.as_str() == key)
}

/// Returns the outermost value of a text; none if it is malformed or empty.
pub(super) fn parse_ast(text: &str) -> Option<Value<'_>> {
    let collect = CollectOptions::default();
    let parsed = parse_to_ast(text, &collect, &OPTIONS).ok()?;
    parsed.value
}

impl Position {
    /// Finds the line and column of a byte.
    pub(super) fn at(text: &str, byte: usize) -> Self {
        let before = &text.as_bytes()[..byte.min(text.len())];
        let before = String::from_utf8_lossy(before);
        let line = before.matches('\n').count() + 1;
        let last = before.rsplit('\n').next().unwrap_or_default();
        let column = last.chars().count() + 1;
        Self { line, column }
    }
}
