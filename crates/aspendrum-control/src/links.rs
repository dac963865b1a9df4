//! Held connections: out to each other machine of control, in from them and from agents.

use crate::event::Event;
use crate::peer_message::PeerMessage;
use aspendrum_consensus::Place;
use aspendrum_model::message;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::Read;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

type Word = message::Envelope<PeerMessage>;

const STACK: usize = 96 << 10;
/// Between two tries to reach a machine.
const REDIAL: Duration = Duration::from_millis(100);
const DIAL_WAIT: Duration = Duration::from_millis(400);
/// Words that a link holds for a peer that does not read.
const ROOM: usize = 256;

/// A message to another machine of control, as it goes over a connection.
pub fn between(message: &PeerMessage) -> message::Envelope<&PeerMessage> {
    message::Envelope::Peer(message)
}

/// Keeps a connection to that machine for as long as it is wanted. The server is told of each new one.
pub fn hold(
    to: Place,
    addr: SocketAddrV4,
    silence: Duration,
    wanted: Arc<AtomicBool>,
    events: &Arc<MailboxSender<Event>>,
) -> std::io::Result<()> {
    let events = events.clone();
    spawn("peer", STACK, move || {
        while wanted.load(Ordering::Acquire) {
            if let Ok(stream) = Link::connect(addr, DIAL_WAIT) {
                if let Ok(link) = Link::from_stream(stream.clone(), silence, ROOM) {
                    events.send(
                        Event::PeerLink {
                            place: to,
                            link: Some(link),
                        },
                        None,
                    );
                    // The other side never says anything here: the read ends with the connection.
                    let _ = (&*stream).read(&mut [0]);
                    events.send(
                        Event::PeerLink {
                            place: to,
                            link: None,
                        },
                        None,
                    );
                }
            }
            sleep(REDIAL);
        }
    })?;
    Ok(())
}

/// Takes connections of control and of agents in.
pub fn listen(
    at: SocketAddrV4,
    silence: Duration,
    events: &Arc<MailboxSender<Event>>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let events = events.clone();
    spawn("listen", STACK, move || {
        let ids = AtomicU64::new(1);
        loop {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(20));
                continue;
            };
            let (id, events) = (ids.fetch_add(1, Ordering::Relaxed), events.clone());
            let started = spawn("reader", STACK, move || {
                read(id, Arc::new(stream), silence, &events);
                events.send(Event::AgentGone { id }, None);
            });
            if let Err(e) = started {
                log::warn!("event=reader_not_started why=\"{e}\"");
            }
        }
    })?;
    Ok(())
}

fn read(id: u64, stream: Arc<TcpStream>, silence: Duration, events: &MailboxSender<Event>) {
    // Whoever says nothing for so long has lost its link, or power.
    let _ = stream.set_read_timeout(Some(4 * silence));
    let mut from = std::io::BufReader::with_capacity(2 << 10, &*stream);
    let (mut place, mut agent) = (None, false);
    while let Ok(word) = frames::read_frame::<Word>(&mut from) {
        let event = match word {
            Word::Peer(message) => {
                if let PeerMessage::Hello(hello) = &message {
                    place = Some(hello.place);
                }
                let Some(from) = place else { return };
                Event::PeerSaid { from, message }
            }
            Word::Agent(message) => {
                if !agent {
                    let Ok(link) = Link::from_stream(stream.clone(), silence, ROOM) else {
                        return;
                    };
                    events.send(Event::AgentConnected { id, link }, None);
                    agent = true;
                }
                Event::AgentSaid { id, message }
            }
        };
        if !events.send(event, None) {
            return;
        }
    }
}
