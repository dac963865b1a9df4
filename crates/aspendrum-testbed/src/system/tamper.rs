//! A way between two processes of the system on which pushes go wrong: configurations are dropped, come late, come
//! behind the next one, or say something else by their number, while every other word passes.

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

/// What is done to configurations on their way.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    Drop,
    /// Later by [`LATE`].
    Delay,
    /// Behind the next one.
    Reorder,
    /// Its services changed places, under the same number.
    Torn,
}

pub const LATE: Duration = Duration::from_secs(20);
/// Words that may wait for a reader.
const ROOM: usize = 256;

pub struct Tamper {
    addr: SocketAddr,
    how: Arc<Mutex<Option<How>>>,
    task: AbortHandle,
}

impl Drop for Tamper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Tamper {
    /// Listens there and leads to `to`; what comes back from there is what can be tampered with. `services`: the two
    /// that a torn configuration mixes up.
    pub async fn start(
        at: IpAddr,
        to: SocketAddr,
        services: [&'static str; 2],
    ) -> io::Result<Tamper> {
        let listener = TcpListener::bind((at, 0)).await?;
        let addr = listener.local_addr()?;
        let how = Arc::new(Mutex::new(None));
        let own = how.clone();
        let run = async move {
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    continue;
                };
                tokio::spawn(carry(near, to, own.clone(), services));
            }
        };
        Ok(Tamper {
            addr,
            how,
            task: tokio::spawn(run).abort_handle(),
        })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn set(&self, how: Option<How>) {
        *lock(&self.how) = how;
    }
}

async fn carry(
    near: TcpStream,
    to: SocketAddr,
    how: Arc<Mutex<Option<How>>>,
    services: [&'static str; 2],
) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((mut near_in, near_out), (far_in, mut far_out)) = (near.into_split(), far.into_split());
    // Either direction's end is both ends'.
    tokio::select! {
        _ = tokio::io::copy(&mut near_in, &mut far_out) => {}
        _ = down(far_in, near_out, &how, services) => {}
    }
}

async fn down(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    how: &Mutex<Option<How>>,
    services: [&'static str; 2],
) -> io::Result<()> {
    let (late, mut later) = mpsc::channel::<Vec<u8>>(ROOM);
    let (words, mut read) = mpsc::channel::<Vec<u8>>(ROOM);
    let reader = async move {
        loop {
            let mut length = [0; 4];
            from.read_exact(&mut length).await?;
            let mut frame = length.to_vec();
            frame.resize(4 + u32::from_le_bytes(length) as usize, 0);
            from.read_exact(&mut frame[4..]).await?;
            if words.send(frame).await.is_err() {
                return io::Result::Ok(());
            }
        }
    };
    let writer = async move {
        let mut held: Option<Vec<u8>> = None;
        loop {
            let frame = tokio::select! {
                Some(frame) = later.recv() => {
                    to.write_all(&frame).await?;
                    continue;
                }
                frame = read.recv() => match frame {
                    Some(frame) => frame,
                    None => return io::Result::Ok(()),
                },
            };
            let how = *lock(how);
            let config = frames::read_frame::<FromControl>(&mut &frame[..])
                .ok()
                .filter(is_config);
            match (config, how) {
                (Some(_), Some(How::Drop)) => {}
                (Some(_), Some(How::Delay)) => {
                    let late = late.clone();
                    tokio::spawn(async move {
                        sleep(LATE).await;
                        let _ = late.send(frame).await;
                    });
                }
                (Some(_), Some(How::Reorder)) if held.is_none() => held = Some(frame),
                (Some(news), Some(How::Torn)) => {
                    to.write_all(&frames::encode_frame(&torn(news, services)))
                        .await?
                }
                (Some(_), _) => {
                    to.write_all(&frame).await?;
                    if let Some(before) = held.take() {
                        to.write_all(&before).await?;
                    }
                }
                (None, _) => to.write_all(&frame).await?,
            }
        }
    };
    tokio::select! {
        done = reader => done,
        done = writer => done,
    }
}

fn is_config(word: &FromControl) -> bool {
    matches!(
        word,
        FromControl::Update {
            section: StateSection::Config { .. },
            ..
        }
    )
}

fn torn(word: FromControl, [one, other]: [&str; 2]) -> FromControl {
    let FromControl::Update {
        number,
        section:
            StateSection::Config {
                version,
                compressed_text,
                checksum,
            },
    } = word
    else {
        return word;
    };
    let named = |s: &str| format!("\"svc\":\"{s}\"");
    let text =
        String::from_utf8(decompress(&compressed_text).unwrap_or_default()).unwrap_or_default();
    let text = text
        .replace(&named(one), "\"svc\":\"?\"")
        .replace(&named(other), &named(one));
    let text = text.replace("\"svc\":\"?\"", &named(other));
    FromControl::Update {
        number,
        section: StateSection::Config {
            version,
            compressed_text: compress(text.as_bytes()),
            checksum,
        },
    }
}
