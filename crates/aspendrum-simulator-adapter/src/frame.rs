//! The frame codec: big-endian headers, fixed records and one tail.

use aspendrum_core::api::*;
use aspendrum_core::settings::{self, MILLIS_PER_SECOND};

const HEADER: usize = 16;
const EVENT: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 21;

pub enum WireEvent<'a> {
    On(u32),
    Begin(u64, Box<Settings>),
    Stop,
    Told(Event<'a>),
}

#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    fn f32(&self, at: usize, name: &str) -> Result<f32, String> {
        let value = f32::from_be_bytes(self.bytes(at));
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{name} is not a finite number"))
        }
    }
    fn ms(&self, at: usize, name: &str) -> Result<f64, String> {
        let value = f64::from_be_bytes(self.bytes(at));
        if value.is_finite() {
            Ok(value * MILLIS_PER_SECOND)
        } else {
            Err(format!("{name} is not a finite number"))
        }
    }
    fn outcome(&self, at: usize) -> Result<Outcome, String> {
        Ok(match self.u16(at) {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Rejected,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            other => return Err(format!("unknown Rc {other}")),
        })
    }
    fn load(&self, at: usize) -> Result<LoadReport, String> {
        let mut load = LoadReport {
            count: self.u8(at),
            values: [0.0; 4],
        };
        if load.count > 4 {
            return Err(format!("Load with {} values", load.count));
        }
        for slot in 0..usize::from(load.count) {
            load.values[slot] = self.f32(at + 1 + 4 * slot, "Load")?;
        }
        Ok(load)
    }
}

pub struct Batch<'a> {
    now: Millis,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn open(frame: &'a [u8]) -> Result<Self, String> {
        if frame.len() < HEADER {
            return Err(format!("short frame: {} bytes", frame.len()));
        }
        let head = Fields(frame);
        let (count, size) = (head.u32(0) as usize, head.u32(4) as usize);
        if size != frame.len() {
            return Err(format!(
                "frame length {size} disagrees with the {} bytes read",
                frame.len()
            ));
        }
        let end = count
            .checked_mul(EVENT)
            .and_then(|n| n.checked_add(HEADER))
            .filter(|end| *end <= size);
        let Some(end) = end else {
            return Err(format!(
                "record count {count} does not fit a frame of {size} bytes"
            ));
        };
        Ok(Batch {
            now: head.ms(8, "clock")?,
            records: &frame[HEADER..end],
            tail: &frame[end..],
        })
    }

    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn count(&self) -> usize {
        self.records.len() / EVENT
    }

    fn tail(&self, record: Fields<'_>, at: usize, width: usize) -> Result<&'a [u8], String> {
        let (offset, length) = (record.u32(at) as usize, record.u32(at + 4) as usize);
        let end = length
            .checked_mul(width)
            .and_then(|n| n.checked_add(offset));
        match end.and_then(|end| self.tail.get(offset..end)) {
            Some(part) => Ok(part),
            None => Err(format!("tail reference {offset}+{length} is out of bounds")),
        }
    }

    pub fn event<'b>(
        &'b self,
        index: usize,
        members: &'b mut Vec<ServerEntry>,
    ) -> Result<WireEvent<'b>, String> {
        let f = Fields(&self.records[index * EVENT..(index + 1) * EVENT]);
        Ok(WireEvent::Told(match f.u8(0) {
            1 => Event::ProbeEnded {
                server: f.u32(1),
                outcome: f.outcome(5)?,
                rtt: f.ms(7, "RttS")?,
                load: f.load(15)?,
            },
            2 => Event::Timer { token: f.u32(1) },
            3 => {
                let text = std::str::from_utf8(self.tail(f, 9, 1)?)
                    .map_err(|e| format!("Settings: {e}"))?;
                return Ok(WireEvent::Begin(f.u64(1), Box::new(settings::read(text)?)));
            }
            4 => return Ok(WireEvent::Stop),
            5 => {
                members.clear();
                for entry in self.tail(f, 6, ENTRY)?.chunks_exact(ENTRY) {
                    members.push(member(Fields(entry))?);
                }
                let list = match f.u8(1) {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(format!("unknown Scope {other}")),
                };
                Event::ServerList {
                    list,
                    version: f.u32(2),
                    entries: members,
                }
            }
            6 => Event::ClientDisconnected { id: f.u64(1) },
            7 => Event::CounterReplied {
                name: f.u64(1),
                outcome: f.outcome(9)?,
                total: f.f32(11, "Level")?,
                rtt: f.ms(15, "RttS")?,
            },
            8 => return Ok(WireEvent::On(f.u32(1))),
            9 => Event::Request(NewRequest {
                id: f.u64(1),
                group: f.u16(9),
                deadline: f.ms(11, "ValidUntilS")?,
                tenant: f.u64(19),
                plan: f.u32(27),
                instances: f.f32(31, "Spread")?,
                units: f.f32(35, "PriceUnits")?,
                first_instance: f.f32(39, "FirstDoor")?,
                is_client_retry: f.u8(43) & 2 != 0,
                is_write: f.u8(43) & 4 != 0,
                pool: 0,
                allowed_zones: u64::MAX,
                max_attempts: u8::MAX,
            }),
            10 => Event::DatagramReceived {
                from: f.u16(1),
                data: self.tail(f, 3, 1)?,
            },
            11 => Event::AttemptEnded {
                id: f.u64(1),
                forward: f.u8(9),
                server: f.u32(10),
                outcome: f.outcome(14)?,
                rtt: f.ms(16, "RttS")?,
                is_final: f.u8(24) != 0,
                metered: f.u16(25),
                actual_units: f.u16(27),
                load: f.load(29)?,
            },
            12 => Event::StreamStarted {
                id: f.u64(1),
                forward: f.u8(9),
                server: f.u32(10),
                rtt: f.ms(14, "RttS")?,
            },
            other => return Err(format!("unknown event code {other}")),
        }))
    }
}

fn member(f: Fields<'_>) -> Result<ServerEntry, String> {
    let health = match f.u8(4) {
        0 => Health::Removed,
        1 => Health::Ready,
        2 => Health::Draining,
        other => return Err(format!("unknown Health {other}")),
    };
    Ok(ServerEntry {
        server: f.u32(0),
        pool: 0,
        distance_cost: 0.0,
        health,
        cell: f.u16(5),
        zone: f.u8(7),
        capacity: f.f32(8, "Size")?,
        kind: f.u8(12),
        started_at: f.ms(13, "StartTimeS")?,
    })
}

/// One reply in the making; records go to the caller's buffer, tails behind them at the end.
pub struct Reply<'a> {
    out: &'a mut Vec<u8>,
    tail: Vec<u8>,
    count: u32,
    context: Option<u32>,
}

impl<'a> Reply<'a> {
    pub fn begin(out: &'a mut Vec<u8>) -> Self {
        out.clear();
        out.extend_from_slice(&[0; 8]);
        Reply {
            out,
            tail: Vec::new(),
            count: 0,
            context: None,
        }
    }

    pub fn write(&mut self, limiter: u32, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            if self.context != Some(limiter) {
                self.context = Some(limiter);
                self.record(78, &[&limiter.to_be_bytes()]);
            }
            self.action(&action);
        }
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.out.len();
        self.out.push(code);
        for field in fields {
            self.out.extend_from_slice(field);
        }
        self.out.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn put(&mut self, data: &[u8]) -> ([u8; 4], [u8; 4]) {
        let at = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend_from_slice(data);
        (at, (data.len() as u32).to_be_bytes())
    }

    fn action(&mut self, action: &Action) {
        let s = |ms: Millis| (ms / MILLIS_PER_SECOND).to_be_bytes();
        match action {
            Action::SendDatagram { to, data } => {
                let (at, size) = self.put(data);
                self.record(65, &[&to.unwrap_or(u32::MAX).to_be_bytes(), &at, &size]);
            }
            Action::Cancel { id, forward } => self.record(66, &[&id.to_be_bytes(), &[*forward]]),
            Action::Forward {
                id,
                server,
                timeout,
            } => {
                self.record(
                    67,
                    &[&id.to_be_bytes(), &server.to_be_bytes(), &s(*timeout)],
                );
            }
            Action::AddToCounter {
                name,
                units: add,
                ttl,
            } => {
                self.record(68, &[&add.to_be_bytes(), &s(*ttl), &name.to_be_bytes()]);
            }
            Action::CloseConnections { server } => self.record(69, &[&server.to_be_bytes()]),
            Action::FetchServers => self.record(70, &[]),
            Action::Timer { token, wait } => self.record(71, &[&token.to_be_bytes(), &s(*wait)]),
            Action::Probe { server } => self.record(72, &[&server.to_be_bytes()]),
            Action::Fault(text) => {
                let (at, size) = self.put(text.as_bytes());
                self.record(73, &[&at, &size]);
            }
            Action::Drop { id } => self.record(74, &[&id.to_be_bytes()]),
            Action::Shed {
                id, retry_after, ..
            } => self.record(75, &[&id.to_be_bytes(), &s(*retry_after)]),
            Action::WatchServers { on } => self.record(76, &[&[u8::from(*on)]]),
            Action::Log(text) => {
                let (at, size) = self.put(text.as_bytes());
                self.record(77, &[&at, &size]);
            }
        }
    }

    pub fn finish(self) -> Result<(), String> {
        self.out.extend_from_slice(&self.tail);
        let size = u32::try_from(self.out.len()).map_err(|_| "a reply over 4 GiB".to_string())?;
        self.out[0..4].copy_from_slice(&self.count.to_be_bytes());
        self.out[4..8].copy_from_slice(&size.to_be_bytes());
        Ok(())
    }
}
