//! Writes frames to the simulator: a header, a record for each action, and a variable-length tail
//! that the records reference.

use crate::error::FrameError;
use aspendrum_core::api::{Action, Millis};
use aspendrum_core::settings::MILLIS_PER_SECOND;

const HEADER_BYTES: usize = 8;
const RECORD_BYTES: usize = 24;

// Record codes.
const SEND_DATAGRAM: u8 = 65;
const CANCEL: u8 = 66;
const FORWARD: u8 = 67;
const ADD_TO_COUNTER: u8 = 68;
const CLOSE_CONNECTIONS: u8 = 69;
const FETCH_SERVERS: u8 = 70;
const TIMER: u8 = 71;
const PROBE: u8 = 72;
const FAULT: u8 = 73;
const DROP: u8 = 74;
const SHED: u8 = 75;
const WATCH_SERVERS: u8 = 76;
const LOG: u8 = 77;
const SELECT_INSTANCE: u8 = 78;

/// Addresses a datagram to all other instances.
const ALL_INSTANCES: u32 = u32::MAX;

/// A frame under construction. Records are written to the caller's buffer at once;
/// [`Reply::finish`] appends the tail.
pub struct Reply<'a> {
    out: &'a mut Vec<u8>,
    tail: Vec<u8>,
    count: u32,
    selected_instance: Option<u32>,
}

impl<'a> Reply<'a> {
    /// Starts an empty frame, replacing the contents of `out`.
    pub fn new(out: &'a mut Vec<u8>) -> Self {
        out.clear();
        out.extend_from_slice(&[0; HEADER_BYTES]);
        Reply {
            out,
            tail: Vec::new(),
            count: 0,
            selected_instance: None,
        }
    }

    /// Drains `actions` and adds them to the frame as actions of `instance`.
    pub fn add(&mut self, instance: u32, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            if self.selected_instance != Some(instance) {
                self.selected_instance = Some(instance);
                self.push_record(SELECT_INSTANCE, &[&instance.to_be_bytes()]);
            }
            self.push_action(&action);
        }
    }

    /// Appends the tail and fills in the header.
    ///
    /// # Errors
    /// Returns [`FrameError::ReplyTooLong`] if the length does not fit the header.
    pub fn finish(self) -> Result<(), FrameError> {
        self.out.extend_from_slice(&self.tail);
        let size = u32::try_from(self.out.len()).map_err(|_| FrameError::ReplyTooLong)?;
        self.out[0..4].copy_from_slice(&self.count.to_be_bytes());
        self.out[4..8].copy_from_slice(&size.to_be_bytes());
        Ok(())
    }

    fn push_action(&mut self, action: &Action) {
        match action {
            Action::SendDatagram { to, data } => {
                let to = to.unwrap_or(ALL_INSTANCES).to_be_bytes();
                let (offset, length) = self.push_tail(data);
                self.push_record(SEND_DATAGRAM, &[&to, &offset, &length]);
            }
            Action::Cancel { id, attempt } => {
                self.push_record(CANCEL, &[&id.to_be_bytes(), &[*attempt]])
            }
            Action::Forward {
                id,
                server,
                timeout,
            } => {
                let fields: [&[u8]; 3] =
                    [&id.to_be_bytes(), &server.to_be_bytes(), &seconds(*timeout)];
                self.push_record(FORWARD, &fields);
            }
            Action::AddToCounter { name, units, ttl } => {
                let fields: [&[u8]; 3] =
                    [&units.to_be_bytes(), &seconds(*ttl), &name.to_be_bytes()];
                self.push_record(ADD_TO_COUNTER, &fields);
            }
            Action::CloseConnections { server } => {
                self.push_record(CLOSE_CONNECTIONS, &[&server.to_be_bytes()]);
            }
            Action::FetchServers => self.push_record(FETCH_SERVERS, &[]),
            Action::Timer { token, wait } => {
                self.push_record(TIMER, &[&token.to_be_bytes(), &seconds(*wait)]);
            }
            Action::Probe { server } => self.push_record(PROBE, &[&server.to_be_bytes()]),
            Action::Fault(text) => self.push_text(FAULT, text),
            Action::Drop { id } => self.push_record(DROP, &[&id.to_be_bytes()]),
            Action::Shed {
                id, retry_after, ..
            } => {
                self.push_record(SHED, &[&id.to_be_bytes(), &seconds(*retry_after)]);
            }
            Action::WatchServers { on } => self.push_record(WATCH_SERVERS, &[&[u8::from(*on)]]),
            Action::Log(text) => self.push_text(LOG, text),
        }
    }

    fn push_text(&mut self, code: u8, text: &str) {
        let (offset, length) = self.push_tail(text.as_bytes());
        self.push_record(code, &[&offset, &length]);
    }

    fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.out.len();
        self.out.push(code);
        for field in fields {
            self.out.extend_from_slice(field);
        }
        self.out.resize(start + RECORD_BYTES, 0);
        self.count += 1;
    }

    /// Appends `data` to the tail. Returns its offset and length, as encoded in records.
    fn push_tail(&mut self, data: &[u8]) -> ([u8; 4], [u8; 4]) {
        let offset = (self.tail.len() as u32).to_be_bytes();
        self.tail.extend_from_slice(data);
        (offset, (data.len() as u32).to_be_bytes())
    }
}

fn seconds(time: Millis) -> [u8; 8] {
    (time / MILLIS_PER_SECOND).to_be_bytes()
}
