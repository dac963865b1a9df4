//! Framed connections between the processes of the system. A frame is the length of the message as a 4-byte
//! little-endian integer, followed by the message encoded with postcard.

use crate::mailbox::{self, MailboxReceiver, MailboxSender};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::threads::spawn;
use serde::de::DeserializeOwned;
use serde::Serialize;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum length of a message in a frame, which bounds the memory that a faulty sender can make a receiver
/// allocate.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
const LENGTH_BYTES: usize = 4;
/// The size of the first piece in which a frame is read.
const FIRST_PIECE_BYTES: usize = 16 << 10;
/// How often a message is held while it is decoded: as bytes and as values.
const FRAME_COPIES: usize = 2;
/// How long a frame waits for memory before its connection is closed.
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// The fixed memory of a connection with a reader and a writer thread: the used parts of their stacks, and buffers.
pub const CONNECTION_BYTES: usize = 32 << 10;
const WRITER_STACK_BYTES: usize = 96 << 10;

/// Encodes a message as a frame. A message that cannot be encoded results in an empty frame, which receivers reject.
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// A received message, with the memory reserved for it until it has been handled.
pub struct Frame<T> {
    /// The message.
    pub message: T,
    /// The reservation of its memory.
    pub memory: MemoryReservation,
}

/// Reads one frame.
///
/// # Errors
/// Returns the error of the read, `UnexpectedEof` if the input ends within the frame, or `InvalidData` if the frame is
/// too long or cannot be decoded.
pub fn read_frame<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<T> {
    read_frame_within(from, &MemoryBudget::unlimited()).map(|frame| frame.message)
}

/// Reads one frame, whose memory is reserved as its bytes arrive.
///
/// # Errors
/// As [`read_frame`], and `QuotaExceeded` if the budget has no room for the frame in time.
pub fn read_frame_within<T: DeserializeOwned>(
    from: &mut impl Read,
    budget: &MemoryBudget,
) -> io::Result<Frame<T>> {
    let mut length = [0; LENGTH_BYTES];
    from.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut memory = budget.reservation();
    let body = read_body(from, length, &mut memory)?;
    let message = postcard::from_bytes(&body).map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(Frame { message, memory })
}

/// Reads the body of a frame in pieces that at most double its length.
fn read_body(
    from: &mut impl Read,
    length: usize,
    memory: &mut MemoryReservation,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    while body.len() < length {
        let piece = body.len().max(FIRST_PIECE_BYTES).min(length - body.len());
        if !memory.extend_until(FRAME_COPIES * piece, Instant::now() + MEMORY_WAIT) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        body.reserve_exact(piece);
        let read = from.take(piece as u64).read_to_end(&mut body)?;
        if read < piece {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(body)
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
