//! The words between the desk and all others: what it is told, what it orders and wishes.

use crate::clock::Clock;
use aspendrum_core::api::*;
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// What the desk is told.
pub enum Note {
    Query {
        new: NewRequest,
        orders: MailboxSender<Order>,
        line: Arc<ForwardHandle>,
    },
    /// The client went away while its query was in hand.
    Left {
        id: RequestId,
    },
    /// The forward that was out has ended.
    Ended {
        id: RequestId,
        forward: u8,
        server: ServerId,
        outcome: Outcome,
        rtt: Millis,
        actual: u16,
        load: LoadReport,
    },
    /// The query got its answer without the desk; no order is read any more.
    Quit {
        id: RequestId,
    },
    /// What goes to the module as it is.
    Told(Event<'static>),
    Members {
        list: ListKind,
        version: u32,
        entries: Vec<ServerEntry>,
    },
    Peer {
        from: u16,
        data: Vec<u8>,
    },
    /// A new configuration names another counter.
    CounterMoved {
        to: SocketAddr,
    },
    Stop,
}

/// What the desk orders for a query.
pub enum Order {
    Forward {
        forward: u8,
        server: ServerId,
        timeout: Millis,
    },
    Shed {
        advice: Millis,
    },
    Drop,
    /// The client is gone: there is nobody to answer.
    Gone,
}

/// What the module wants of discovery, where it must be asked.
#[derive(Clone, Copy, PartialEq)]
pub enum Wish {
    Watch(bool),
    Fetch,
}

/// How others reach the desk.
pub struct Door {
    notes: MailboxSender<Note>,
    pub clock: Clock,
    ids: AtomicU64,
}

impl Door {
    pub fn new(notes: MailboxSender<Note>, clock: Clock) -> Door {
        Door {
            notes,
            clock,
            ids: AtomicU64::new(1),
        }
    }

    pub fn next_id(&self) -> RequestId {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// For whoever must not wait for the desk, the desk itself among them.
    pub fn offer(&self, note: Note) -> Result<(), Note> {
        self.notes.try_send(note)
    }

    /// Waits for room: the desk always drains its channel. False: there is no desk any more.
    pub fn tell(&self, note: Note) -> bool {
        self.notes.send(note, None)
    }

    /// The same, but not beyond that time.
    pub fn tell_by(&self, until: Instant, note: Note) -> bool {
        self.notes.send(note, Some(until))
    }
}
