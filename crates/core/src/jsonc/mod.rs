//! Parsing of JSON with comments (JSONC), with the positions of errors.

mod error;
mod locate;
mod parse;
mod suggest;

pub use error::{JsoncCause, JsoncError, JsoncHint};
pub use locate::{Path, PathSegment, Position, locate};
pub use parse::{MAX_TEXT_BYTES, parse};

#[cfg(test)]
mod tests;
