//! The shell of what agents lend each other: datagrams for words, a short connection for a snapshot.

use crate::notes::Note;
use aspendrum_gossip::GossipMessage;
use aspendrum_model::message::FromControl;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use crossbeam_channel::bounded;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const STACK: usize = 96 << 10;
/// A datagram of ours is shorter: eight neighbours and a stamp.
const LONGEST: usize = 256;
const DIAL_WAIT: Duration = Duration::from_millis(350);
/// A neighbour that says nothing more of its snapshot for so long is left.
const SILENCE: Duration = Duration::from_millis(1500);

#[derive(Clone)]
pub(crate) struct Lender {
    socket: Arc<UdpSocket>,
    settings: Settings,
    notes: Arc<MailboxSender<Note>>,
}

impl Lender {
    /// Listens for neighbours for as long as the process runs.
    pub(crate) fn open(
        settings: &Settings,
        notes: &Arc<MailboxSender<Note>>,
    ) -> std::io::Result<Lender> {
        let (words, snapshots) = (settings.gossip_port(), settings.snapshot_port());
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(settings.ip, words))?);
        let listener = TcpListener::bind(SocketAddrV4::new(settings.ip, snapshots))?;
        let (own, told) = (socket.clone(), notes.clone());
        spawn("neighbours", STACK, move || hear(&own, &told))?;
        let told = notes.clone();
        spawn("snapshots", STACK, move || loop {
            let Ok((mut stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(20));
                continue;
            };
            // One at a time: a neighbour that cannot wait asks another.
            let _ = stream.set_write_timeout(Some(SILENCE));
            let (answer, snapshot) = bounded(1);
            told.send(Note::Borrower(answer), None);
            if let Ok(bytes) = snapshot.recv_timeout(SILENCE) {
                let bytes: Vec<u8> = bytes;
                let _ = stream.write_all(&bytes);
            }
        })?;
        Ok(Lender {
            socket,
            settings: settings.clone(),
            notes: notes.clone(),
        })
    }

    pub(crate) fn say(&self, to: Ipv4Addr, word: &GossipMessage) {
        let mut space = [0; LONGEST];
        let port = self.settings.gossip_port();
        if let Ok(bytes) = postcard::to_slice(word, &mut space) {
            let _ = self
                .socket
                .send_to(bytes, self.settings.dial_addr(SocketAddrV4::new(to, port)));
        }
    }

    /// Asks that neighbour for all that it holds; the desk hears of each part.
    pub(crate) fn fetch(&self, from: Ipv4Addr) {
        let port = self.settings.snapshot_port();
        let (at, notes) = (
            self.settings.dial_addr(SocketAddrV4::new(from, port)),
            self.notes.clone(),
        );
        let fetch = move || {
            let Ok(stream) = Link::connect(at, DIAL_WAIT) else {
                return;
            };
            let _ = stream.set_read_timeout(Some(SILENCE));
            let mut from = BufReader::with_capacity(4 << 10, &*stream);
            while let Ok(FromControl::Update { section: part, .. }) =
                frames::read_frame::<FromControl>(&mut from)
            {
                notes.send(Note::Lent(part), None);
            }
        };
        if let Err(e) = spawn("fetch", STACK, fetch) {
            log::warn!("event=snapshot_not_asked why=\"{e}\"");
        }
    }
}

fn hear(socket: &UdpSocket, notes: &MailboxSender<Note>) {
    let mut space = [0; LONGEST];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut space) else {
            continue;
        };
        let (Ok(word), IpAddr::V4(from)) = (postcard::from_bytes(&space[..n]), from.ip()) else {
            continue;
        };
        notes.send(Note::Neighbour { from, word }, None);
    }
}
