//! Framed connections between the processes of the system. A frame is the length of the message as a 4-byte
//! little-endian integer, followed by the message encoded with postcard.

use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::threads::spawn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The maximum length of a message in a frame, which bounds the memory that a faulty sender can make a receiver
/// allocate.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
const LENGTH_BYTES: usize = 4;
const WRITER_STACK_BYTES: usize = 96 << 10;

/// Encodes a message as a frame. A message that cannot be encoded results in an empty frame, which receivers reject.
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// Reads one frame.
///
/// # Errors
/// Returns the error of the read, `UnexpectedEof` if the input ends within the frame, or `InvalidData` if the frame is
/// too long or cannot be decoded.
pub fn read_frame<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<T> {
    let mut length = [0; LENGTH_BYTES];
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

/// The sending half of a framed connection. Sending never blocks: if the peer reads too slowly and the queue is full,
/// the connection is closed.
pub struct FrameSender {
    /// Encoded frames for the writer thread. An empty vector, which encoding never produces, ends the connection.
    frames: MailboxSender<Vec<u8>>,
    stream: Arc<TcpStream>,
    /// Whether [`FrameSender::close_after_flush`] was called, so that the writer thread closes the connection after the
    /// queued frames.
    is_finishing: AtomicBool,
}

impl FrameSender {
    /// Creates the sending half of a connection and spawns its writer thread. The connection fails if sent bytes remain
    /// unacknowledged for longer than `ack_timeout` (`TCP_USER_TIMEOUT`). At most `capacity` messages can be queued.
    ///
    /// # Errors
    /// Returns an error if a socket option cannot be set or the thread cannot be spawned.
    pub fn from_stream(
        stream: Arc<TcpStream>,
        ack_timeout: Duration,
        capacity: usize,
    ) -> io::Result<FrameSender> {
        stream.set_nodelay(true)?;
        let _ = SockRef::from(&*stream).set_tcp_user_timeout(Some(ack_timeout));
        let written = stream.clone();
        let frames = mailbox::spawn_receiver(capacity, move |frames| {
            spawn("link", WRITER_STACK_BYTES, move || {
                write_frames(&frames, &written)
            })
        })?;
        Ok(FrameSender {
            frames,
            stream,
            is_finishing: AtomicBool::new(false),
        })
    }

    /// Connects to a peer.
    ///
    /// # Errors
    /// Returns the error of the connection attempt.
    pub fn connect(peer: SocketAddrV4, timeout: Duration) -> io::Result<Arc<TcpStream>> {
        TcpStream::connect_timeout(&peer.into(), timeout).map(Arc::new)
    }

    /// Queues a message without blocking. If the queue is full, the connection is closed.
    pub fn send<T: Serialize>(&self, message: &T) {
        if self.frames.try_send(encode_frame(message)).is_err() {
            self.close();
        }
    }

    /// Closes the connection after all queued messages have been written, or immediately if the queue is full.
    pub fn close_after_flush(&self) {
        if self.frames.try_send(Vec::new()).is_ok() {
            self.is_finishing.store(true, Ordering::Release);
        } else {
            self.close();
        }
    }

    /// Closes the connection immediately.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The body of the writer thread.
fn write_frames(frames: &MailboxReceiver<Vec<u8>>, mut stream: &TcpStream) {
    while let Ok(frame) = frames.recv_deadline(None) {
        if frame.is_empty() || stream.write_all(&frame).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

impl Drop for FrameSender {
    fn drop(&mut self) {
        if !self.is_finishing.load(Ordering::Acquire) {
            self.close();
        }
        self.frames.close();
    }
}
