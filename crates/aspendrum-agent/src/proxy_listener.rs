//! Accepts the loopback connection of the proxy on this machine. A new connection replaces the previous one.

use crate::event::Event;
use aspendrum_model::message::ToControl;
use aspendrum_net::frames::{self, FrameSender};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK_BYTES: usize = 96 << 10;
/// TCP user timeout: the connection fails if the proxy does not acknowledge sent bytes within this time.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of messages queued for writing.
const SEND_QUEUE_CAPACITY: usize = 64;
const READ_BUFFER_BYTES: usize = 1 << 10;
/// The delay after a failed `accept`, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the address and spawns a thread that accepts connections while the process runs.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the thread cannot be spawned.
pub fn start(address: SocketAddrV4, events: &Arc<MailboxSender<Event>>) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let events = events.clone();
    spawn("proxy", STACK_BYTES, move || accept(&listener, &events))?;
    Ok(())
}

fn accept(listener: &TcpListener, events: &Arc<MailboxSender<Event>>) {
    let mut last_id = 0;
    loop {
        let Ok((stream, _)) = listener.accept() else {
            sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        last_id += 1;
        if let Err(e) = start_reader(last_id, stream, events) {
            log::warn!("event=reader_not_started why=\"{e}\"");
        }
    }
}

fn start_reader(id: u64, stream: TcpStream, events: &Arc<MailboxSender<Event>>) -> io::Result<()> {
    let stream = Arc::new(stream);
    // The peer may already have closed the connection, which is not an error of the agent.
    let Ok(link) = FrameSender::from_stream(stream.clone(), ACK_TIMEOUT, SEND_QUEUE_CAPACITY)
    else {
        return Ok(());
    };
    events.send(Event::ProxyConnected { id, link }, None);
    let events = events.clone();
    spawn("reader", STACK_BYTES, move || receive(id, &stream, &events))?;
    Ok(())
}

/// Forwards messages to the coordinator until the connection ends.
fn receive(id: u64, stream: &TcpStream, events: &MailboxSender<Event>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(message) = frames::read_frame::<ToControl>(&mut reader) {
        events.send(Event::ProxyMessage { id, message }, None);
    }
    events.send(Event::ProxyDisconnected { id }, None);
}
