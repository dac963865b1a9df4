//! Transfer of snapshots between agents. A snapshot contains all sections that an agent stores, sent as frames on a
//! short-lived connection.

use crate::event::Event;
use aspendrum_model::message::FromControl;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Frame, FrameSender};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::threads::spawn;
use crossbeam_channel::bounded;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK_BYTES: usize = 96 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// The timeout for producing a snapshot, for each write of it and for each read of it.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);
const READ_BUFFER_BYTES: usize = 4 << 10;
/// The delay after a failed `accept`, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Spawns a thread that serves snapshots to other agents while the process runs.
///
/// # Errors
///
/// Returns an error if the port cannot be bound or the thread cannot be spawned.
pub fn start_server(settings: &Settings, events: &Arc<MailboxSender<Event>>) -> io::Result<()> {
    let port = settings.snapshot_port();
    let listener = TcpListener::bind(SocketAddrV4::new(settings.ip, port))?;
    let events = events.clone();
    spawn("snapshots", STACK_BYTES, move || loop {
        match listener.accept() {
            // Snapshots are served one at a time. An agent that times out fetches from another agent.
            Ok((stream, _)) => serve(stream, &events),
            Err(_) => sleep(ACCEPT_RETRY_DELAY),
        }
    })?;
    Ok(())
}

fn serve(mut stream: TcpStream, events: &MailboxSender<Event>) {
    let _ = stream.set_write_timeout(Some(TRANSFER_TIMEOUT));
    let (reply, snapshot) = bounded(1);
    events.send(Event::SnapshotRequest { reply }, None);
    if let Ok(bytes) = snapshot.recv_timeout(TRANSFER_TIMEOUT) {
        let _ = stream.write_all(&bytes);
    }
}

/// Fetches snapshots from other agents.
pub struct SnapshotClient {
    settings: Settings,
    events: Arc<MailboxSender<Event>>,
    memory: MemoryBudget,
}

impl SnapshotClient {
    /// Creates a client that sends each section of a fetched snapshot to `events`, with its memory
    /// taken from `memory`.
    pub fn new(
        settings: &Settings,
        events: &Arc<MailboxSender<Event>>,
        memory: MemoryBudget,
    ) -> SnapshotClient {
        SnapshotClient {
            settings: settings.clone(),
            events: events.clone(),
            memory,
        }
    }

    /// Starts fetching the snapshot of another agent in the background.
    pub fn fetch(&self, from: Ipv4Addr) {
        let port = self.settings.snapshot_port();
        let address = self.settings.dial_addr(SocketAddrV4::new(from, port));
        let (events, memory) = (self.events.clone(), self.memory.clone());
        let started = spawn("fetch", STACK_BYTES, move || {
            // Errors are ignored: the gossip protocol retries the fetch or selects another agent.
            let _ = receive(address, &events, &memory);
        });
        if let Err(e) = started {
            log::warn!("event=snapshot_not_asked why=\"{e}\"");
        }
    }
}

fn receive(
    address: SocketAddrV4,
    events: &MailboxSender<Event>,
    budget: &MemoryBudget,
) -> io::Result<()> {
    let stream = FrameSender::connect(address, CONNECT_TIMEOUT)?;
    let _ = stream.set_read_timeout(Some(TRANSFER_TIMEOUT));
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, &*stream);
    loop {
        let Frame { message, memory } =
            frames::read_frame_within::<FromControl>(&mut reader, budget)?;
        let FromControl::Update { section, .. } = message else {
            return Ok(());
        };
        events.send(Event::SnapshotSection { section, memory }, None);
    }
}
