//! Accepts the loopback connection of the proxy on this machine. A new connection replaces the previous one.

use crate::event::Event;
use aspendrum_model::message::ToControl;
use aspendrum_net::frames::{self, Frame, FrameSender, CONNECTION_BYTES};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::memory_budget::{MemoryBudget, MemoryReservation};
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 96 << 10;
/// TCP user timeout: the connection fails if the proxy does not acknowledge sent bytes within this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of messages queued for writing.
const SEND_QUEUE_CAPACITY: usize = 64;
/// How long the listener waits for the memory of a connection before it tries again.
const MEMORY_WAIT: Duration = Duration::from_millis(100);
const READ_BUFFER_BYTES: usize = 1 << 10;
/// The delay after a failed `accept`, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the address and spawns a thread that accepts connections while the process runs. Connections and messages take
/// their memory from `memory`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be spawned.
pub fn start(
    address: SocketAddrV4,
    events: &Arc<MailboxSender<Event>>,
    memory: MemoryBudget,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let events = events.clone();
    spawn("proxy", STACK_BYTES, move || {
        accept(&listener, &events, &memory)
    })?;
    Ok(())
}

fn accept(listener: &TcpListener, events: &Arc<MailboxSender<Event>>, memory: &MemoryBudget) {
    let mut last_id = 0;
    loop {
        // Connections wait in the accept queue while there is no memory for them.
        let deadline = Instant::now() + MEMORY_WAIT;
        let Some(reserved) = memory.reserve_until(CONNECTION_BYTES, deadline) else {
            continue;
        };
        let Ok((stream, _)) = listener.accept() else {
            sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        last_id += 1;
        if let Err(e) = start_reader(last_id, stream, events, reserved, memory) {
            log::warn!("event=reader_not_started why=\"{e}\"");
        }
    }
}

fn start_reader(
    id: u64,
    stream: TcpStream,
    events: &Arc<MailboxSender<Event>>,
    reserved: MemoryReservation,
    memory: &MemoryBudget,
) -> io::Result<()> {
    let stream = Arc::new(stream);
    // The peer may already have closed the connection, which is not an error of the agent.
    let Ok(link) = FrameSender::from_stream(stream.clone(), ACK_TIMEOUT, SEND_QUEUE_CAPACITY)
    else {
        return Ok(());
    };
    events.send(Event::ProxyConnected { id, link }, None);
    let (events, memory) = (events.clone(), memory.clone());
    spawn("reader", STACK_BYTES, move || {
        receive(id, &stream, &events, &memory);
        drop(reserved);
    })?;
    Ok(())
}

/// Forwards messages to the coordinator until the connection ends.
fn receive(id: u64, stream: &TcpStream, events: &MailboxSender<Event>, budget: &MemoryBudget) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(frame) = frames::read_frame_within::<ToControl>(&mut reader, budget) {
        let Frame { message, memory } = frame;
        let event = Event::ProxyMessage {
            id,
            message,
            memory,
        };
        events.send(event, None);
    }
    events.send(Event::ProxyDisconnected { id }, None);
}
