//! JSON with comments: reading it into types, and saying where it is wrong.

mod fault;
mod locate;
mod nearest;
mod read;

pub use fault::{Fault, TextCause, TextHint};
pub use locate::{Path, Place, Step, locate};
pub use read::{MAX_BYTES, read};

#[cfg(test)]
mod tests;
