//! The connections of a control node: outgoing ones to each other control node, and incoming ones from other control
//! nodes and from agents. A control node sends to another one only on its own outgoing connection.

use crate::event::{ConnectionId, Event};
use crate::peer_message::PeerMessage;
use aspendrum_consensus::NodeId;
use aspendrum_model::message::Envelope;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::{self, Read};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK_BYTES: usize = 96 << 10;
/// The time between two attempts to connect to a node.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait after a failed accept: no descriptor is free, and one may be in a moment.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How many messages a link queues for a receiver that does not read, before it closes the connection.
const LINK_CAPACITY: usize = 256;
/// A connection is closed after this many times the given time-out without a message.
const READ_TIMEOUT_FACTOR: u32 = 4;
const READ_BUFFER_BYTES: usize = 2 << 10;

/// Wraps a message as it is sent to another control node.
pub fn envelope(message: &PeerMessage) -> Envelope<&PeerMessage> {
    Envelope::Peer(message)
}

/// Keeps a connection to that node for as long as `keep_connected`. Each change of the connection becomes an event.
///
/// # Errors
/// The thread cannot be started.
pub fn keep_connected(
    node: NodeId,
    address: SocketAddrV4,
    peer_timeout: Duration,
    keep_connected: Arc<AtomicBool>,
    events: &Arc<MailboxSender<Event>>,
) -> io::Result<()> {
    let events = events.clone();
    spawn("peer", STACK_BYTES, move || {
        while keep_connected.load(Ordering::Acquire) {
            if let Ok(stream) = Link::connect(address, CONNECT_TIMEOUT) {
                hold_connection(node, stream, peer_timeout, &events);
            }
            sleep(RECONNECT_INTERVAL);
        }
    })?;
    Ok(())
}

/// Returns when the connection has ended.
fn hold_connection(
    node: NodeId,
    stream: Arc<TcpStream>,
    peer_timeout: Duration,
    events: &MailboxSender<Event>,
) {
    let Ok(link) = Link::from_stream(stream.clone(), peer_timeout, LINK_CAPACITY) else {
        return;
    };
    let link = Some(link);
    events.send(Event::PeerLink { node, link }, None);
    // The other node sends nothing on this connection, so the read returns when the connection ends.
    let _ = (&*stream).read(&mut [0]);
    events.send(Event::PeerLink { node, link: None }, None);
}

/// Accepts the connections of control nodes and of agents.
///
/// # Errors
/// The port cannot be opened, or the thread cannot be started.
pub fn listen(
    address: SocketAddrV4,
    peer_timeout: Duration,
    events: &Arc<MailboxSender<Event>>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let events = events.clone();
    spawn("listen", STACK_BYTES, move || {
        let next_id = AtomicU64::new(1);
        loop {
            let Ok((stream, _)) = listener.accept() else {
                sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            };
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let events = events.clone();
            let started = spawn("reader", STACK_BYTES, move || {
                read_messages(id, &Arc::new(stream), peer_timeout, &events);
                events.send(Event::Disconnected { id }, None);
            });
            if let Err(error) = started {
                log::warn!("event=reader_not_started why=\"{error}\"");
            }
        }
    })?;
    Ok(())
}

/// Turns the messages of a connection into events until the connection ends.
fn read_messages(
    id: ConnectionId,
    stream: &Arc<TcpStream>,
    peer_timeout: Duration,
    events: &MailboxSender<Event>,
) {
    // A sender without any message for this time has lost its connection or its power.
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT_FACTOR * peer_timeout));
    let mut reader = io::BufReader::with_capacity(READ_BUFFER_BYTES, &**stream);
    let (mut peer, mut is_agent) = (None, false);
    while let Ok(envelope) = frames::read_frame::<Envelope<PeerMessage>>(&mut reader) {
        let event = match envelope {
            Envelope::Peer(message) => {
                if let PeerMessage::Hello(hello) = &message {
                    peer = Some(hello.node);
                }
                let Some(from) = peer else {
                    return;
                };
                Event::PeerMessage { from, message }
            }
            Envelope::Agent(message) => {
                if !is_agent {
                    let link = Link::from_stream(stream.clone(), peer_timeout, LINK_CAPACITY);
                    let Ok(link) = link else {
                        return;
                    };
                    events.send(Event::AgentConnected { id, link }, None);
                    is_agent = true;
                }
                Event::AgentMessage { id, message }
            }
        };
        if !events.send(event, None) {
            return;
        }
    }
}
