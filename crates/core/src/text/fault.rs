//! What is wrong with a text, and where.

use displaydoc::Display;

use super::Place;

/// What is wrong with a text, where, and how to mend it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{place}: {cause}")]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// What.
    pub cause: TextCause,
    /// How to mend it, when that can be told.
    pub hint: Option<TextHint>,
}

/// What is wrong with a text.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TextCause {
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
pub enum TextHint {
    /// did you mean {0}?
    Nearest(String),
    /// known keys are {0}
    Known(String),
    /// keep one of the two
    KeepOne,
}

impl std::error::Error for Fault {}
