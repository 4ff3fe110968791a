//! JSON with comments: reading it into types, and saying where it is wrong.

mod error;
mod locate;
mod parse;
mod suggest;

pub use error::{JsoncCause, JsoncError, JsoncHint};
pub use locate::{Path, Position, Step, locate};
pub use parse::{MAX_TEXT_BYTES, parse};

#[cfg(test)]
mod tests;
