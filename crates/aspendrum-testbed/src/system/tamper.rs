//! A relay between two processes of the system that drops, delays, reorders or corrupts configurations, and forwards every
//! other message unchanged.

use aspendrum_fake_services::lock;
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::message::{FromControl, StateSection};
use aspendrum_net::frames;
use serde::Deserialize;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// How configurations are tampered with.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Tampering {
    /// Configurations are dropped.
    Drop,
    /// Configurations are delayed by [`DELAY`].
    Delay,
    /// A configuration is forwarded after the next one.
    Reorder,
    /// Two services are swapped in configurations, without a change of version or checksum.
    #[serde(rename = "torn")]
    Corrupt,
}

/// The delay of configurations under [`Tampering::Delay`].
pub const DELAY: Duration = Duration::from_secs(20);
/// The maximum number of messages queued for the receiver.
const QUEUE_CAPACITY: usize = 256;
const LENGTH_BYTES: usize = 4;

/// The tampering in effect, shared by all connections of a relay.
type SharedTampering = Arc<Mutex<Option<Tampering>>>;

/// A relay that can tamper with configurations. It stops accepting connections when it is dropped.
pub struct TamperingRelay {
    address: SocketAddr,
    tampering: SharedTampering,
    task: AbortHandle,
}

impl Drop for TamperingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TamperingRelay {
    /// Listens on a free port of an address and relays connections to the destination, whose messages can be tampered with.
    /// `services` are the two services that are swapped in corrupted configurations.
    ///
    /// # Errors
    /// Returns the error of binding the listener.
    pub async fn start(
        ip: IpAddr,
        destination: SocketAddr,
        services: [&'static str; 2],
    ) -> io::Result<TamperingRelay> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let tampering = SharedTampering::default();
        let shared = tampering.clone();
        let accept = async move {
            loop {
                if let Ok((near, _)) = listener.accept().await {
                    tokio::spawn(relay_connection(
                        near,
                        destination,
                        shared.clone(),
                        services,
                    ));
                }
            }
        };
        let task = tokio::spawn(accept).abort_handle();
        Ok(TamperingRelay {
            address,
            tampering,
            task,
        })
    }

    /// Returns the address to connect to in place of the destination.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Sets how configurations are tampered with; `None` forwards them unchanged.
    pub fn set_tampering(&self, tampering: Option<Tampering>) {
        *lock(&self.tampering) = tampering;
    }
}

async fn relay_connection(
    near: TcpStream,
    destination: SocketAddr,
    tampering: SharedTampering,
    services: [&'static str; 2],
) {
    let Ok(far) = TcpStream::connect(destination).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((mut near_in, near_out), (far_in, mut far_out)) = (near.into_split(), far.into_split());
    let (frames, received) = mpsc::channel(QUEUE_CAPACITY);
    let (delayed, due) = mpsc::channel(QUEUE_CAPACITY);
    let writer = TamperingWriter {
        to: near_out,
        received,
        due,
        delayed,
        reordered: None,
        tampering,
        services,
    };
    // When either direction ends, the connection is closed in both.
    tokio::select! {
        _ = tokio::io::copy(&mut near_in, &mut far_out) => {}
        _ = read_frames(far_in, frames) => {}
        _ = writer.run() => {}
    }
}

async fn read_frames(mut from: OwnedReadHalf, frames: mpsc::Sender<Vec<u8>>) -> io::Result<()> {
    loop {
        let mut length = [0; LENGTH_BYTES];
        from.read_exact(&mut length).await?;
        let mut frame = length.to_vec();
        frame.resize(LENGTH_BYTES + u32::from_le_bytes(length) as usize, 0);
        from.read_exact(&mut frame[LENGTH_BYTES..]).await?;
        if frames.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

/// Forwards the messages of the destination, and tampers with configurations among them.
struct TamperingWriter {
    to: OwnedWriteHalf,
    /// Frames received from the destination.
    received: mpsc::Receiver<Vec<u8>>,
    /// Delayed frames that are due.
    due: mpsc::Receiver<Vec<u8>>,
    /// Sends delayed frames back once they are due.
    delayed: mpsc::Sender<Vec<u8>>,
    /// A frame that is forwarded after the next configuration.
    reordered: Option<Vec<u8>>,
    tampering: SharedTampering,
    services: [&'static str; 2],
}

impl TamperingWriter {
    async fn run(mut self) -> io::Result<()> {
        loop {
            tokio::select! {
                Some(frame) = self.due.recv() => self.to.write_all(&frame).await?,
                frame = self.received.recv() => match frame {
                    Some(frame) => self.write(frame).await?,
                    None => return Ok(()),
                },
            }
        }
    }

    async fn write(&mut self, frame: Vec<u8>) -> io::Result<()> {
        let message = frames::read_frame::<FromControl>(&mut &frame[..]).ok();
        let Some(config) = message.filter(is_config) else {
            return self.to.write_all(&frame).await;
        };
        let tampering = *lock(&self.tampering);
        match tampering {
            Some(Tampering::Drop) => Ok(()),
            Some(Tampering::Delay) => {
                self.delay(frame);
                Ok(())
            }
            Some(Tampering::Reorder) if self.reordered.is_none() => {
                self.reordered = Some(frame);
                Ok(())
            }
            Some(Tampering::Corrupt) => {
                let corrupt = corrupt(config, self.services);
                self.to.write_all(&frames::encode_frame(&corrupt)).await
            }
            Some(Tampering::Reorder) | None => {
                self.to.write_all(&frame).await?;
                match self.reordered.take() {
                    Some(previous) => self.to.write_all(&previous).await,
                    None => Ok(()),
                }
            }
        }
    }

    fn delay(&self, frame: Vec<u8>) {
        let delayed = self.delayed.clone();
        tokio::spawn(async move {
            sleep(DELAY).await;
            let _ = delayed.send(frame).await;
        });
    }
}

fn is_config(message: &FromControl) -> bool {
    matches!(
        message,
        FromControl::Update {
            section: StateSection::Config { .. },
            ..
        }
    )
}

/// Returns the update with the two services swapped.
fn corrupt(update: FromControl, [one, other]: [&str; 2]) -> FromControl {
    let FromControl::Update { number, section } = update else {
        return update;
    };
    let StateSection::Config {
        version,
        compressed_text,
        checksum,
    } = section
    else {
        return FromControl::Update { number, section };
    };
    let text = decompress(&compressed_text).unwrap_or_default();
    let text = swap_services(String::from_utf8(text).unwrap_or_default(), one, other);
    let compressed_text = compress(text.as_bytes());
    let section = StateSection::Config {
        version,
        compressed_text,
        checksum,
    };
    FromControl::Update { number, section }
}

fn swap_services(text: String, one: &str, other: &str) -> String {
    let field = |service: &str| format!("\"svc\":\"{service}\"");
    let placeholder = field("?");
    let text = text
        .replace(&field(one), &placeholder)
        .replace(&field(other), &field(one));
    text.replace(&placeholder, &field(other))
}
