//! Parses frames from the simulator: a header, fixed-size records, and a variable-length tail that
//! the records reference.

use crate::error::{FrameError, RecordError};
use crate::record::RecordReader;
use aspendrum_core::api::{
    Event, Health, ListKind, Millis, NewRequest, ServerEntry, Settings, ZoneSet,
};
use aspendrum_core::settings;

const HEADER_BYTES: usize = 16;
const RECORD_BYTES: usize = 48;
const SERVER_ENTRY_BYTES: usize = 21;

// Record codes.
const PROBE_ENDED: u8 = 1;
const TIMER: u8 = 2;
const START: u8 = 3;
const STOP: u8 = 4;
const SERVER_LIST: u8 = 5;
const CLIENT_DISCONNECTED: u8 = 6;
const COUNTER_REPLIED: u8 = 7;
const SELECT_INSTANCE: u8 = 8;
const REQUEST: u8 = 9;
const DATAGRAM: u8 = 10;
const ATTEMPT_ENDED: u8 = 11;
const STREAM_STARTED: u8 = 12;

// Bits of a request's flags.
const CLIENT_RETRY: u8 = 2;
const WRITE: u8 = 4;

/// A record of a frame.
pub enum Record<'a> {
    /// The following records are for the instance with this number.
    SelectInstance(u32),
    /// Starts the instance with the given seed and settings.
    Start(u64, Box<Settings>),
    /// Stops the instance.
    Stop,
    /// An event for the instance.
    Event(Event<'a>),
}

/// A frame, split into its parts.
pub struct Batch<'a> {
    now: Millis,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Validates the frame's header and splits the frame.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the header is incomplete or does not match the frame.
    pub fn open(frame: &'a [u8]) -> Result<Self, FrameError> {
        let bytes = frame.len();
        if bytes < HEADER_BYTES {
            return Err(FrameError::TooShort { bytes });
        }
        let mut header = RecordReader::new(frame);
        let (count, declared) = (header.u32() as usize, header.u32() as usize);
        if declared != bytes {
            return Err(FrameError::LengthMismatch {
                declared,
                read: bytes,
            });
        }
        let records_end = count
            .checked_mul(RECORD_BYTES)
            .and_then(|size| size.checked_add(HEADER_BYTES));
        let Some(records_end) = records_end.filter(|end| *end <= bytes) else {
            return Err(FrameError::TooManyRecords { count, bytes });
        };
        let now = header.seconds("clock").map_err(FrameError::Clock)?;
        Ok(Batch {
            now,
            records: &frame[HEADER_BYTES..records_end],
            tail: &frame[records_end..],
        })
    }

    /// Returns the time of all events of the frame.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the number of records.
    pub fn count(&self) -> usize {
        self.records.len() / RECORD_BYTES
    }

    /// Reads the record at `index`, which must be below [`Batch::count`]. The entries of a server list
    /// replace the contents of `servers`.
    ///
    /// # Errors
    /// Returns [`RecordError`] if the record is invalid.
    pub fn record<'b>(
        &'b self,
        index: usize,
        servers: &'b mut Vec<ServerEntry>,
    ) -> Result<Record<'b>, RecordError> {
        let mut reader =
            RecordReader::new(&self.records[index * RECORD_BYTES..(index + 1) * RECORD_BYTES]);
        match reader.u8() {
            START => self.start(&mut reader),
            STOP => Ok(Record::Stop),
            SELECT_INSTANCE => Ok(Record::SelectInstance(reader.u32())),
            code => self.event(code, &mut reader, servers).map(Record::Event),
        }
    }

    fn start(&self, reader: &mut RecordReader<'_>) -> Result<Record<'static>, RecordError> {
        let seed = reader.u64();
        let text = std::str::from_utf8(self.tail(reader, 1)?)?;
        Ok(Record::Start(seed, Box::new(settings::parse(text)?)))
    }

    fn event<'b>(
        &'b self,
        code: u8,
        reader: &mut RecordReader<'_>,
        servers: &'b mut Vec<ServerEntry>,
    ) -> Result<Event<'b>, RecordError> {
        match code {
            PROBE_ENDED => probe_ended(reader),
            TIMER => Ok(Event::Timer {
                token: reader.u32(),
            }),
            SERVER_LIST => self.server_list(reader, servers),
            CLIENT_DISCONNECTED => Ok(Event::ClientDisconnected { id: reader.u64() }),
            COUNTER_REPLIED => counter_replied(reader),
            REQUEST => Ok(Event::Request(new_request(reader)?)),
            DATAGRAM => Ok(Event::DatagramReceived {
                from: reader.u16(),
                data: self.tail(reader, 1)?,
            }),
            ATTEMPT_ENDED => attempt_ended(reader),
            STREAM_STARTED => stream_started(reader),
            code => Err(RecordError::UnknownCode {
                field: "event code",
                code: code.into(),
            }),
        }
    }

    /// Reads a tail reference and returns the referenced bytes. The length of the reference counts
    /// entries of `width` bytes.
    fn tail(&self, reader: &mut RecordReader<'_>, width: usize) -> Result<&'a [u8], RecordError> {
        let (offset, length) = (reader.u32() as usize, reader.u32() as usize);
        let end = length
            .checked_mul(width)
            .and_then(|size| size.checked_add(offset));
        let part = end.and_then(|end| self.tail.get(offset..end));
        part.ok_or(RecordError::TailOutOfBounds { offset, length })
    }

    fn server_list<'b>(
        &'b self,
        reader: &mut RecordReader<'_>,
        servers: &'b mut Vec<ServerEntry>,
    ) -> Result<Event<'b>, RecordError> {
        let (scope, version) = (reader.u8(), reader.u32());
        servers.clear();
        for entry in self
            .tail(reader, SERVER_ENTRY_BYTES)?
            .chunks_exact(SERVER_ENTRY_BYTES)
        {
            servers.push(server_entry(&mut RecordReader::new(entry))?);
        }
        let list = match scope {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            code => {
                return Err(RecordError::UnknownCode {
                    field: "Scope",
                    code: code.into(),
                })
            }
        };
        Ok(Event::ServerList {
            list,
            version,
            entries: servers,
        })
    }
}

// The struct initializers here and below read the fields in the order in which they are encoded.
fn server_entry(reader: &mut RecordReader<'_>) -> Result<ServerEntry, RecordError> {
    Ok(ServerEntry {
        server: reader.u32(),
        health: match reader.u8() {
            0 => Health::Removed,
            1 => Health::Ready,
            2 => Health::Draining,
            code => {
                return Err(RecordError::UnknownCode {
                    field: "Health",
                    code: code.into(),
                })
            }
        },
        cell: reader.u16(),
        zone: reader.u8(),
        capacity: reader.f32("Size")?,
        kind: reader.u8(),
        started_at: reader.seconds("StartTimeS")?,
        pool: 0,
        distance_cost: 0.0,
    })
}

fn new_request(reader: &mut RecordReader<'_>) -> Result<NewRequest, RecordError> {
    let mut request = NewRequest {
        id: reader.u64(),
        group: reader.u16(),
        deadline: reader.seconds("ValidUntilS")?,
        tenant: reader.u64(),
        plan: reader.u32(),
        instances: reader.f32("Spread")?,
        units: reader.f32("PriceUnits")?,
        first_instance: reader.f32("FirstDoor")?,
        is_client_retry: false,
        is_write: false,
        pool: 0,
        allowed_zones: ZoneSet::ALL,
        max_attempts: u8::MAX,
    };
    let flags = reader.u8();
    request.is_client_retry = flags & CLIENT_RETRY != 0;
    request.is_write = flags & WRITE != 0;
    Ok(request)
}

fn probe_ended(reader: &mut RecordReader<'_>) -> Result<Event<'static>, RecordError> {
    Ok(Event::ProbeEnded {
        server: reader.u32(),
        outcome: reader.outcome()?,
        rtt: reader.seconds("RttS")?,
        load: reader.load_report()?,
    })
}

fn counter_replied(reader: &mut RecordReader<'_>) -> Result<Event<'static>, RecordError> {
    Ok(Event::CounterReplied {
        name: reader.u64(),
        outcome: reader.outcome()?,
        total: reader.f32("Level")?,
        rtt: reader.seconds("RttS")?,
    })
}

fn attempt_ended(reader: &mut RecordReader<'_>) -> Result<Event<'static>, RecordError> {
    Ok(Event::AttemptEnded {
        id: reader.u64(),
        attempt: reader.u8(),
        server: reader.u32(),
        outcome: reader.outcome()?,
        rtt: reader.seconds("RttS")?,
        is_final: reader.u8() != 0,
        metered_usage: reader.u16(),
        actual_units: reader.u16(),
        load: reader.load_report()?,
    })
}

fn stream_started(reader: &mut RecordReader<'_>) -> Result<Event<'static>, RecordError> {
    Ok(Event::StreamStarted {
        id: reader.u64(),
        attempt: reader.u8(),
        server: reader.u32(),
        rtt: reader.seconds("RttS")?,
    })
}
