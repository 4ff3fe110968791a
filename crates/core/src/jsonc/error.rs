//! What is wrong with a text, and where.

use displaydoc::Display;

use super::Position;

/// What is wrong with a text, where, and how to mend it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{position}: {cause}")]
pub struct JsoncError {
    /// Where.
    pub position: Position,
    /// What.
    pub cause: JsoncCause,
    /// How to mend it, when that can be told.
    pub hint: Option<JsoncHint>,
}

/// What is wrong with a text.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum JsoncCause {
    /// the text has {0} bytes, more than one megabyte
    TooLarge(usize),
    /// the text holds no value
    Empty,
    /// syntax: {0}
    Syntax(String),
    /// unknown key {0}
    UnknownKey(String),
    /// key {0} stands twice in one object
    DuplicateKey(String),
    /// {0}
    Shape(String),
}

/// How to mend a text.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum JsoncHint {
    /// did you mean {0}?
    Closest(String),
    /// known keys are {0}
    Known(String),
    /// keep one of the two
    KeepOne,
}

impl std::error::Error for JsoncError {}
