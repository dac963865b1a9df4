//! The TCP connections of a control node: outgoing connections to the other control nodes, and incoming connections
//! from other control nodes and from agents. A control node sends messages to another one only on its outgoing
//! connection.

use crate::event::{ConnectionId, Event};
use crate::peer_message::PeerMessage;
use aspendrum_consensus::NodeId;
use aspendrum_model::message::Envelope;
use aspendrum_net::frames::{self, FrameSender, CONNECTION_BYTES};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::threads::spawn;
use std::io::{self, Read};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 96 << 10;
/// The delay before the next attempt to connect to a node.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay after a failed accept. The usual cause is a shortage of file descriptors, which may be brief.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The number of messages that a link queues for a slow receiver before it closes the connection.
const LINK_CAPACITY: usize = 256;
/// The read timeout of an incoming connection, as a multiple of the peer timeout.
const READ_TIMEOUT_FACTOR: u32 = 4;
/// How long the listener waits for the memory of a connection before it tries again.
const MEMORY_WAIT: Duration = Duration::from_millis(100);
const READ_BUFFER_BYTES: usize = 2 << 10;

/// Wraps a message for another control node in the envelope in which it is sent.
pub fn envelope(message: &PeerMessage) -> Envelope<&PeerMessage> {
    Envelope::Peer(message)
}

/// Starts a thread that maintains a connection to `node` while `keep_connected` is true. It sends an
/// [`Event::PeerLink`] whenever the connection is established or lost.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn maintain_connection(
    node: NodeId,
    address: SocketAddrV4,
    peer_timeout: Duration,
    keep_connected: Arc<AtomicBool>,
    events: &Arc<MailboxSender<Event>>,
) -> io::Result<()> {
    let events = events.clone();
    spawn("peer", STACK_BYTES, move || {
        while keep_connected.load(Ordering::Acquire) {
            if let Ok(stream) = FrameSender::connect(address, CONNECT_TIMEOUT) {
                run_connection(node, stream, peer_timeout, &events);
            }
            sleep(RECONNECT_INTERVAL);
        }
    })?;
    Ok(())
}

/// Announces an established connection, waits until it is lost, and announces that.
fn run_connection(
    node: NodeId,
    stream: Arc<TcpStream>,
    peer_timeout: Duration,
    events: &MailboxSender<Event>,
) {
    let Ok(link) = FrameSender::from_stream(stream.clone(), peer_timeout, LINK_CAPACITY) else {
        return;
    };
    let link = Some(link);
    events.send(Event::PeerLink { node, link }, None);
    // The other node never sends on this connection, so the read returns when the connection is closed.
    let _ = (&*stream).read(&mut [0]);
    events.send(Event::PeerLink { node, link: None }, None);
}

/// Starts a thread that accepts connections from control nodes and agents, and a reader thread for each connection.
/// Connections and messages take their memory from `memory`.
///
/// # Errors
/// Returns an error if the address cannot be bound or the thread cannot be started.
pub fn listen(
    address: SocketAddrV4,
    peer_timeout: Duration,
    events: &Arc<MailboxSender<Event>>,
    memory: MemoryBudget,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let events = events.clone();
    spawn("listen", STACK_BYTES, move || {
        let next_id = AtomicU64::new(1);
        loop {
            // Peers wait in the accept queue while there is no memory for their connections.
            let deadline = Instant::now() + MEMORY_WAIT;
            let Some(reserved) = memory.reserve_until(CONNECTION_BYTES, deadline) else {
                continue;
            };
            let Ok((stream, _)) = listener.accept() else {
                sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            };
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let (events, memory) = (events.clone(), memory.clone());
            let started = spawn("reader", STACK_BYTES, move || {
                read_messages(id, &Arc::new(stream), peer_timeout, &events, &memory);
                events.send(Event::Disconnected { id }, None);
                drop(reserved);
            });
            if let Err(error) = started {
                log::warn!("event=reader_not_started why=\"{error}\"");
            }
        }
    })?;
    Ok(())
}

/// Reads messages from a connection and sends them as events until the connection is closed. A control node must
/// identify itself with a Hello before any other message.
fn read_messages(
    id: ConnectionId,
    stream: &Arc<TcpStream>,
    peer_timeout: Duration,
    events: &MailboxSender<Event>,
    memory: &MemoryBudget,
) {
    // All senders send heartbeats, so silence for this time means that the connection or the sender is lost.
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT_FACTOR * peer_timeout));
    let mut reader = io::BufReader::with_capacity(READ_BUFFER_BYTES, &**stream);
    let (mut peer, mut is_agent) = (None, false);
    while let Ok(frame) = frames::read_frame_within::<Envelope<PeerMessage>>(&mut reader, memory) {
        let memory = frame.memory;
        let event = match frame.message {
            Envelope::Peer(message) => {
                if let PeerMessage::Hello(hello) = &message {
                    peer = Some(hello.node);
                }
                let Some(from) = peer else {
                    return;
                };
                Event::PeerMessage {
                    from,
                    message,
                    memory,
                }
            }
            Envelope::Agent(message) => {
                if !is_agent {
                    let link =
                        FrameSender::from_stream(stream.clone(), peer_timeout, LINK_CAPACITY);
                    let Ok(link) = link else {
                        return;
                    };
                    events.send(Event::AgentConnected { id, link }, None);
                    is_agent = true;
                }
                Event::AgentMessage {
                    id,
                    message,
                    memory,
                }
            }
        };
        if !events.send(event, None) {
            return;
        }
    }
}
