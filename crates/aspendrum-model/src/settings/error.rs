//! Why the settings of a process cannot be used.

use super::SETTINGS_VARIABLE;
use derive_more::{Display, Error};
use std::fmt;

/// Why the settings of a process cannot be used. Operators see its text.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment variable with the file's path is not set.
    #[display("{SETTINGS_VARIABLE} is not set")]
    VariableNotSet,
    /// The file cannot be read.
    #[display("{path}: {source}")]
    UnreadableFile {
        /// The file's path.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[display("settings: {_0}")]
    Syntax(serde_json::Error),
    /// These settings are wrong.
    #[display("{}", DisplayAll(_0))]
    Invalid(#[error(not(source))] Vec<InvalidSetting>),
}

/// A setting that is wrong, by its path in the file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidSetting {
    /// It is required, and not there.
    #[display("{key_path} is missing")]
    Missing {
        /// Its keys, from the outermost on, joined by dots.
        key_path: &'static str,
    },
    /// It has another type.
    #[display("{key_path} must be {expected}")]
    WrongType {
        /// Its keys, from the outermost on, joined by dots.
        key_path: &'static str,
        /// What it should be, in words.
        expected: &'static str,
    },
    /// Its value is not allowed.
    #[display("{key_path} is out of range")]
    OutOfRange {
        /// Its keys, from the outermost on, joined by dots.
        key_path: &'static str,
    },
}

/// All of them on one line.
struct DisplayAll<'e>(&'e [InvalidSetting]);

impl fmt::Display for DisplayAll<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, invalid) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{invalid}")?;
        }
        Ok(())
    }
}
