//! Held connections: out to each other machine of control, in from them and from agents.

use crate::notes::Note;
use crate::words::Between;
use aspendrum_consensus::Place;
use aspendrum_model::news;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::hands::spawn;
use aspendrum_net::mail::Post;
use std::io::Read;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

pub type Word = news::Word<Between>;

const STACK: usize = 96 << 10;
/// Between two tries to reach a machine.
const REDIAL: Duration = Duration::from_millis(100);
const DIAL_WAIT: Duration = Duration::from_millis(400);
/// Words that a link holds for a peer that does not read.
const ROOM: usize = 256;

/// Keeps a link to that machine for as long as the process runs. The desk is told of each new one.
pub fn hold(
    to: Place,
    addr: SocketAddrV4,
    silence: Duration,
    notes: &Arc<Post<Note>>,
) -> std::io::Result<()> {
    let notes = notes.clone();
    spawn("hold", STACK, move || loop {
        if let Ok(stream) = Link::dial(addr, DIAL_WAIT) {
            if let Ok(link) = Link::over(stream.clone(), silence, ROOM) {
                notes.send(Note::Reached { place: to, link: Some(link) }, None);
                // The other side never says anything here: the read ends with the connection.
                let _ = (&*stream).read(&mut [0]);
                notes.send(Note::Reached { place: to, link: None }, None);
            }
        }
        sleep(REDIAL);
    })?;
    Ok(())
}

/// Takes connections of control and of agents in.
pub fn listen(at: SocketAddrV4, silence: Duration, notes: &Arc<Post<Note>>) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let notes = notes.clone();
    spawn("listen", STACK, move || {
        let ids = AtomicU64::new(1);
        loop {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(20));
                continue;
            };
            let (id, notes) = (ids.fetch_add(1, Ordering::Relaxed), notes.clone());
            let started = spawn("reader", STACK, move || {
                read(id, Arc::new(stream), silence, &notes);
                notes.send(Note::AgentGone { id }, None);
            });
            if let Err(e) = started {
                log::warn!("event=reader_not_started why=\"{e}\"");
            }
        }
    })?;
    Ok(())
}

fn read(id: u64, stream: Arc<TcpStream>, silence: Duration, notes: &Post<Note>) {
    // Whoever says nothing for so long has lost its link, or power.
    let _ = stream.set_read_timeout(Some(4 * silence));
    let mut from = std::io::BufReader::with_capacity(2 << 10, &*stream);
    let (mut place, mut agent) = (None, false);
    while let Ok(word) = frames::read::<Word>(&mut from) {
        let note = match word {
            Word::Between(said) => {
                if let Between::Hello { place: from, .. } = &said {
                    place = Some(*from);
                }
                let Some(from) = place else { return };
                Note::Heard { from, said }
            }
            Word::Up(said) => {
                if !agent {
                    let Ok(link) = Link::over(stream.clone(), silence, ROOM) else { return };
                    notes.send(Note::Agent { id, link }, None);
                    agent = true;
                }
                Note::AgentSaid { id, said }
            }
        };
        if !notes.send(note, None) {
            return;
        }
    }
}
