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
        /// The cause.
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
    /// The setting is required, but the file does not contain it.
    #[display("{key_path} is missing")]
    Missing {
        /// The keys that lead to the setting, from the outermost on, joined by dots.
        key_path: &'static str,
    },
    /// The value has the wrong type.
    #[display("{key_path} must be {expected}")]
    WrongType {
        /// The keys that lead to the setting, from the outermost on, joined by dots.
        key_path: &'static str,
        /// The expected type, in words.
        expected: &'static str,
    },
    /// The value is outside the allowed range.
    #[display("{key_path} is out of range")]
    OutOfRange {
        /// The keys that lead to the setting, from the outermost on, joined by dots.
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
