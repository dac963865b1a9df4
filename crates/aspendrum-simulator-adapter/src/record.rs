//! Reads the fields of a fixed-size record in sequence. Numbers are big-endian.

use crate::error::RecordError;
use aspendrum_core::api::{LoadReport, Millis, Outcome};
use aspendrum_core::settings::MILLIS_PER_SECOND;

/// The unread part of a record. Reading past the end of the record panics.
pub(crate) struct RecordReader<'a>(&'a [u8]);

impl<'a> RecordReader<'a> {
    pub(crate) fn new(record: &'a [u8]) -> Self {
        RecordReader(record)
    }

    fn take<const N: usize>(&mut self) -> [u8; N] {
        let (field, rest) = self.0.split_at(N);
        self.0 = rest;
        let mut bytes = [0; N];
        bytes.copy_from_slice(field);
        bytes
    }

    pub(crate) fn u8(&mut self) -> u8 {
        u8::from_be_bytes(self.take())
    }

    pub(crate) fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.take())
    }

    pub(crate) fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.take())
    }

    pub(crate) fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.take())
    }

    /// Reads a finite number.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f32, RecordError> {
        let value = f32::from_be_bytes(self.take());
        value
            .is_finite()
            .then_some(value)
            .ok_or(RecordError::NotFinite { field })
    }

    /// Reads a finite number of seconds and returns it in milliseconds.
    pub(crate) fn seconds(&mut self, field: &'static str) -> Result<Millis, RecordError> {
        let value = f64::from_be_bytes(self.take());
        let value = value
            .is_finite()
            .then_some(value)
            .ok_or(RecordError::NotFinite { field })?;
        Ok(value * MILLIS_PER_SECOND)
    }

    pub(crate) fn outcome(&mut self) -> Result<Outcome, RecordError> {
        match self.u16() {
            0 => Ok(Outcome::Error),
            1 => Ok(Outcome::Ok),
            2 => Ok(Outcome::Rejected),
            3 => Ok(Outcome::TimedOut),
            4 => Ok(Outcome::ConnectFailed),
            5 => Ok(Outcome::Reset),
            6 => Ok(Outcome::Cancelled),
            7 => Ok(Outcome::NotSent),
            code => Err(RecordError::UnknownCode { field: "Rc", code }),
        }
    }

    pub(crate) fn load_report(&mut self) -> Result<LoadReport, RecordError> {
        let mut load = LoadReport {
            count: self.u8(),
            ..LoadReport::default()
        };
        let Some(values) = load.values.get_mut(..usize::from(load.count)) else {
            return Err(RecordError::TooManyLoadValues { count: load.count });
        };
        for value in values {
            *value = self.f32("Load")?;
        }
        Ok(load)
    }
}
