//! The loopback connection to the proxy on this machine. The proxy dials; the last connection counts.

use crate::event::Event;
use aspendrum_model::message::ToControl;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK_BYTES: usize = 96 << 10;
/// TCP user time-out: the connection ends if the proxy acknowledges no bytes within this time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages that may wait to be written.
const QUEUE_LENGTH: usize = 64;
const READ_BUFFER_BYTES: usize = 1 << 10;
/// After a connection could not be accepted: no descriptor is free, and one may be in a moment.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens for as long as the process runs.
///
/// # Errors
///
/// The address cannot be bound, or no thread can be started.
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
            sleep(ACCEPT_PAUSE);
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
    // A connection that ended at once is no fault of ours.
    let Ok(link) = Link::from_stream(stream.clone(), ACKNOWLEDGE_TIMEOUT, QUEUE_LENGTH) else {
        return Ok(());
    };
    events.send(Event::ProxyConnected { id, link }, None);
    let events = events.clone();
    spawn("reader", STACK_BYTES, move || receive(id, &stream, &events))?;
    Ok(())
}

/// Passes messages on until the connection ends.
fn receive(id: u64, stream: &TcpStream, events: &MailboxSender<Event>) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(message) = frames::read_frame::<ToControl>(&mut reader) {
        events.send(Event::ProxyMessage { id, message }, None);
    }
    events.send(Event::ProxyDisconnected { id }, None);
}
