//! The loopback connection to the proxy on this machine. It dials; there is one at a time.

use crate::notes::Note;
use aspendrum_model::message::ToControl;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io::BufReader;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK: usize = 96 << 10;
const SILENCE: Duration = Duration::from_secs(5);
const ROOM: usize = 64;

pub(crate) fn listen(at: SocketAddrV4, notes: &Arc<MailboxSender<Note>>) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let notes = notes.clone();
    spawn("proxy", STACK, move || {
        let mut id = 0;
        loop {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(20));
                continue;
            };
            id += 1;
            let stream = Arc::new(stream);
            let Ok(link) = Link::from_stream(stream.clone(), SILENCE, ROOM) else {
                continue;
            };
            let own = notes.clone();
            notes.send(Note::Proxy { id, link }, None);
            let started = spawn("reader", STACK, move || {
                let mut from = BufReader::with_capacity(1 << 10, &*stream);
                while let Ok(said) = frames::read_frame::<ToControl>(&mut from) {
                    own.send(Note::ProxySaid { id, said }, None);
                }
                own.send(Note::ProxyLost { id }, None);
            });
            if let Err(e) = started {
                log::warn!("event=reader_not_started why=\"{e}\"");
            }
        }
    })?;
    Ok(())
}
