//! Held connections between our own processes: frames of postcard behind a length of four bytes.

use crate::mailbox::{self, MailboxSender};
use crate::workers::spawn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// No frame is longer: a sender of nonsense must not make a reader take memory without end.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
const STACK: usize = 96 << 10;

/// A frame's bytes. What cannot be written as one is empty, and a link ends on it.
pub fn encode_frame<T: Serialize>(word: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(word).unwrap_or_default();
    let mut out = (body.len() as u32).to_le_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// Reads one frame. `InvalidData`: it is too long, or no word of ours.
pub fn read_frame<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = Vec::new();
    from.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&body).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// The writing side of a held connection. Whoever says something never waits: a peer that does not read loses
/// the link.
pub struct Link {
    post: MailboxSender<Vec<u8>>,
    stream: Arc<TcpStream>,
    /// The writing side ends it, behind what is still to be written.
    finished: AtomicBool,
}

impl Link {
    /// `silence`: so long may bytes stay without the peer's acknowledgement.
    pub fn from_stream(stream: Arc<TcpStream>, silence: Duration, room: usize) -> io::Result<Link> {
        stream.set_nodelay(true)?;
        let _ = SockRef::from(&*stream).set_tcp_user_timeout(Some(silence));
        let own = stream.clone();
        let post =
            mailbox::spawn_receiver(room, move |inbox: mailbox::MailboxReceiver<Vec<u8>>| {
                spawn("link", STACK, move || {
                    while let Ok(bytes) = inbox.recv_deadline(None) {
                        if bytes.is_empty() || (&*own).write_all(&bytes).is_err() {
                            break;
                        }
                    }
                    let _ = own.shutdown(Shutdown::Both);
                })
            })?;
        Ok(Link {
            post,
            stream,
            finished: AtomicBool::new(false),
        })
    }

    pub fn dial(to: SocketAddrV4, wait: Duration) -> io::Result<Arc<TcpStream>> {
        TcpStream::connect_timeout(&to.into(), wait).map(Arc::new)
    }

    pub fn send<T: Serialize>(&self, word: &T) {
        if self.post.try_send(encode_frame(word)).is_err() {
            self.end();
        }
    }

    /// Ends the connection behind all that was said.
    pub fn finish(&self) {
        if self.post.try_send(Vec::new()).is_ok() {
            self.finished.store(true, Ordering::Release);
        } else {
            self.end();
        }
    }

    pub fn end(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if !self.finished.load(Ordering::Acquire) {
            self.end();
        }
        self.post.close();
    }
}
