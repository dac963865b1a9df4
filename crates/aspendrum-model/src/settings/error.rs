//! Errors in the settings of a process.

use super::SETTINGS_VARIABLE;
use derive_more::{Display, Error};
use std::fmt;

/// An error in the settings of a process. The text is shown to operators.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment variable with the path of the settings file is not set.
    #[display("{SETTINGS_VARIABLE} is not set")]
    VariableNotSet,
    /// The file cannot be read.
    #[display("{path}: {source}")]
    UnreadableFile {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[display("settings: {_0}")]
    Syntax(serde_json::Error),
    /// Some settings are invalid.
    #[display("{}", DisplayAll(_0))]
    Invalid(#[error(not(source))] Vec<InvalidSetting>),
}

/// An invalid setting, identified by its path in the file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidSetting {
    /// The setting is required, but the file does not contain it.
    #[display("{key_path} is missing")]
    Missing {
        /// The path of the setting: its keys from the outermost to the innermost, joined by dots.
        key_path: &'static str,
    },
    /// The value has the wrong type.
    #[display("{key_path} must be {expected}")]
    WrongType {
        /// The path of the setting: its keys from the outermost to the innermost, joined by dots.
        key_path: &'static str,
        /// A description of the expected type.
        expected: &'static str,
    },
    /// The value is outside the allowed range.
    #[display("{key_path} is out of range")]
    OutOfRange {
        /// The path of the setting: its keys from the outermost to the innermost, joined by dots.
        key_path: &'static str,
    },
}

/// Displays all errors on one line.
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
