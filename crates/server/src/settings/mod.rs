//! The settings of one process, which are read from a file of JSON with comments.

mod document;
mod error;
mod load;
mod validate;

pub use document::{LimitSettings, PlatformSettings, Settings};
pub use error::{SettingsCause, SettingsError, SettingsFault};

#[cfg(test)]
mod tests;
