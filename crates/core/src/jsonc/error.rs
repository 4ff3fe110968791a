//! Errors in JSONC texts, with their positions.

use displaydoc::Display;

use super::Position;

/// An error in a text, its position and a hint on how to correct it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{position}: {cause}")]
pub struct JsoncError {
    /// The position of the error.
    pub position: Position,
    /// The cause of the error.
    pub cause: JsoncCause,
    /// A hint on how to correct the text, if there is one.
    pub hint: Option<JsoncHint>,
}

/// The kind of error in a text. The comment of each variant is its message.
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
    Deserialize(String),
}

/// A hint on how to correct a text. The comment of each variant is its message.
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
