//! Errors of invalid frames.

use aspendrum_core::settings::SettingsError;
use derive_more::{Display, Error, From};
use std::str::Utf8Error;

/// The reason why a frame is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum FrameError {
    /// The frame is shorter than its header.
    #[display("short frame: {bytes} bytes")]
    TooShort {
        /// The length of the frame.
        bytes: usize,
    },
    /// The length in the header differs from the number of bytes read.
    #[display("frame length {declared} disagrees with the {read} bytes read")]
    LengthMismatch {
        /// The length in the header.
        declared: usize,
        /// The number of bytes read.
        read: usize,
    },
    /// The record count in the header does not fit the frame.
    #[display("record count {count} does not fit a frame of {bytes} bytes")]
    TooManyRecords {
        /// The record count in the header.
        count: usize,
        /// The length of the frame.
        bytes: usize,
    },
    /// The time in the header is not a finite number.
    #[display("{_0}")]
    Clock(RecordError),
    /// A record is invalid, or is for an instance that is not running.
    #[display("record {index}: {error}")]
    Record {
        /// The zero-based index of the record.
        index: usize,
        /// The cause.
        #[error(source)]
        error: RecordError,
    },
    /// The length of the reply does not fit its header.
    #[display("reply exceeds 4 GiB")]
    ReplyTooLong,
}

/// The reason why a record is rejected. Field names are those of the simulator's documentation.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum RecordError {
    /// A number is infinite or NaN.
    #[display("{field} is not a finite number")]
    #[from(skip)]
    NotFinite {
        /// The name of the field.
        field: &'static str,
    },
    /// A field has an unknown code.
    #[display("unknown {field} {code}")]
    #[from(skip)]
    UnknownCode {
        /// The name of the field.
        field: &'static str,
        /// The code.
        code: u16,
    },
    /// A load report has too many values.
    #[display("Load with {count} values")]
    #[from(skip)]
    TooManyLoadValues {
        /// The declared number of values.
        count: u8,
    },
    /// A reference exceeds the frame's tail.
    #[display("tail reference {offset}+{length} is out of bounds")]
    #[from(skip)]
    TailOutOfBounds {
        /// The offset of the referenced part, in bytes.
        offset: usize,
        /// The length of the referenced part, in bytes or entries.
        length: usize,
    },
    /// The settings are not valid UTF-8.
    #[display("Settings: {_0}")]
    SettingsNotUtf8(Utf8Error),
    /// The settings are invalid.
    Settings(SettingsError),
    /// A record precedes the first record that selects an instance.
    #[display("event before the first On")]
    NoInstance,
    /// A record is for an instance that is not running.
    #[display("On for no such instance: {instance}")]
    #[from(skip)]
    UnknownInstance {
        /// The number of the instance.
        instance: u32,
    },
}
