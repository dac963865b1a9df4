//! Why a frame of the simulator is refused.

use aspendrum_core::settings::SettingsError;
use derive_more::{Display, Error, From};
use std::str::Utf8Error;

/// Why a frame is refused.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum FrameError {
    /// It is shorter than a frame's header.
    #[display("short frame: {bytes} bytes")]
    TooShort {
        /// Its length.
        bytes: usize,
    },
    /// Its header tells another length than it has.
    #[display("frame length {told} disagrees with the {read} bytes read")]
    LengthMismatch {
        /// The length that the header tells.
        told: usize,
        /// The length that it has.
        read: usize,
    },
    /// Its header tells more records than it can hold.
    #[display("record count {count} does not fit a frame of {bytes} bytes")]
    TooManyRecords {
        /// The number that the header tells.
        count: usize,
        /// The frame's length.
        bytes: usize,
    },
    /// The header's time is not a finite number.
    #[display("{_0}")]
    Clock(RecordError),
    /// A record can't be read, or is not for a running instance.
    #[display("record {index}: {error}")]
    Record {
        /// The record's number, from 0 on.
        index: usize,
        /// What is wrong with it.
        #[error(source)]
        error: RecordError,
    },
    /// The reply would be longer than its header can tell.
    #[display("a reply over 4 GiB")]
    ReplyTooLong,
}

/// Why a record is refused. Fields have the names of the simulator's pages.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum RecordError {
    /// A number is infinite or not a number.
    #[display("{field} is not a finite number")]
    #[from(skip)]
    NotFinite {
        /// The field.
        field: &'static str,
    },
    /// A field has a code that stands for nothing.
    #[display("unknown {field} {code}")]
    #[from(skip)]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// What stands there.
        code: u16,
    },
    /// A load report has more values than fit it.
    #[display("Load with {count} values")]
    #[from(skip)]
    TooManyLoadValues {
        /// How many it tells.
        count: u8,
    },
    /// A reference leads out of the frame's tail.
    #[display("tail reference {offset}+{length} is out of bounds")]
    #[from(skip)]
    TailOutOfBounds {
        /// Where it begins, in bytes.
        offset: usize,
        /// Its length, in bytes or entries.
        length: usize,
    },
    /// Settings are not UTF-8.
    #[display("Settings: {_0}")]
    SettingsNotUtf8(Utf8Error),
    /// Settings are refused.
    Settings(SettingsError),
    /// An event came before any record that names its instance.
    #[display("an event before any On")]
    NoInstance,
    /// An event is for an instance that does not run.
    #[display("On for no such instance: {instance}")]
    #[from(skip)]
    UnknownInstance {
        /// The instance's number.
        instance: u32,
    },
}
