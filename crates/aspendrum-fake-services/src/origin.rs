//! Servers of the system, as `PROTOCOL` words them: a name for each life, slots and a short queue, health checks,
//! and the ways they fail. What each ran is told by the try's id.

use crate::host::Host;
use crate::{http, lock, Clock};
use aspendrum_checker::system::Execution;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

/// What a server is like.
#[derive(Clone, Debug)]
pub struct Figures {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that may wait for a slot; more are turned away.
    pub queue: usize,
    pub work_ms: f64,
    /// It drops a request when its connection closes, as most servers do.
    pub drops: bool,
}

/// The ways of failing that can stand at the same time; shares are of requests, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ails {
    /// Answered with a 500 of its own behind the work.
    pub failing: f64,
    /// The connection is reset before the request counts as taken, and behind the work.
    pub deaf: f64,
    pub resetting: f64,
    /// It works and never answers.
    pub hanging: f64,
    /// Work takes so many times as long; 0 stands for 1.
    pub slow: f64,
    /// It turns everything away and ends what it has.
    pub draining: bool,
    /// It turns everything away unread, and is well.
    pub full: bool,
    /// Nothing of what it runs goes on.
    pub stalled: bool,
}

/// All servers' record of what ran.
pub struct Record {
    clock: Clock,
    runs: Mutex<Vec<Execution>>,
}

impl Record {
    pub fn new(clock: Clock) -> Arc<Record> {
        Arc::new(Record {
            clock,
            runs: Mutex::default(),
        })
    }

    pub fn runs(&self) -> Vec<Execution> {
        lock(&self.runs).clone()
    }

    /// A run begins that takes so many milliseconds; it ends when what is returned is dropped.
    fn begin(&self, run: Execution, work_ms: f64) -> Running<'_> {
        let at = self.clock.now();
        let mut runs = lock(&self.runs);
        runs.push(Execution {
            started_at: at,
            ended_at: f64::INFINITY,
            would_end_at: at + work_ms,
            ..run
        });
        Running {
            record: self,
            number: runs.len() - 1,
        }
    }
}

/// A run that is under way.
struct Running<'a> {
    record: &'a Record,
    number: usize,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.record.clock.now();
        lock(&self.record.runs)[self.number].ended_at = now;
    }
}

pub struct Origin {
    host: Host,
    number: usize,
    figures: Figures,
    record: Arc<Record>,
    state: Mutex<State>,
    slots: Semaphore,
    ails: watch::Sender<Ails>,
}

struct State {
    life: u32,
    up: bool,
    in_hand: usize,
    rng: SmallRng,
}

/// What came of a request.
enum Came {
    Answer(Vec<u8>),
    Reset,
    Nothing,
}

impl Origin {
    /// Listens at that loopback address from now on.
    pub async fn start(
        at: IpAddr,
        number: usize,
        figures: Figures,
        record: Arc<Record>,
    ) -> io::Result<Arc<Origin>> {
        let (host, listener) = Host::bind(at).await?;
        let state = State {
            life: 1,
            up: true,
            in_hand: 0,
            rng: SmallRng::seed_from_u64(number as u64 ^ 0x5eed),
        };
        let slots = Semaphore::new(figures.slots);
        let (state, ails) = (Mutex::new(state), watch::Sender::default());
        let origin = Arc::new(Origin {
            host,
            number,
            figures,
            record,
            state,
            slots,
            ails,
        });
        origin.listen(listener);
        Ok(origin)
    }

    fn listen(self: &Arc<Origin>, listener: TcpListener) {
        let own = self.clone();
        self.host
            .listen(listener, move |stream| own.clone().serve(stream));
    }

    pub fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// The name of its present life.
    pub fn uid(&self) -> String {
        format!("i-{}-{}", self.number, lock(&self.state).life)
    }

    pub fn up(&self) -> bool {
        lock(&self.state).up
    }

    pub fn ails(&self) -> Ails {
        *self.ails.borrow()
    }

    pub fn ail(&self, how: impl FnOnce(&mut Ails)) {
        self.ails.send_modify(how);
    }

    pub fn die(&self) {
        if self.host.die() {
            lock(&self.state).up = false;
        }
    }

    /// A new life at the same address.
    pub async fn back(self: &Arc<Origin>) -> io::Result<()> {
        let Some(listener) = self.host.back().await? else {
            return Ok(());
        };
        {
            let mut state = lock(&self.state);
            (state.life, state.up, state.in_hand) = (state.life + 1, true, 0);
        }
        self.host.begin();
        self.listen(listener);
        Ok(())
    }

    async fn serve(self: Arc<Origin>, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(call)) = http::next(&mut stream, &mut rest, true).await {
            let came = match call.line.1.as_str() {
                "/healthz" => Came::Answer(self.health()),
                _ => self.request(&call, &stream).await,
            };
            match came {
                Came::Answer(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
                Came::Reset => return,
                Came::Nothing => std::future::pending().await,
            }
        }
        let _ = socket2::SockRef::from(&stream).set_linger(None);
    }

    fn load(&self) -> String {
        let (in_hand, slots) = (lock(&self.state).in_hand, self.figures.slots);
        format!(
            "{},{},{slots}",
            in_hand.min(slots),
            in_hand.saturating_sub(slots)
        )
    }

    fn health(&self) -> Vec<u8> {
        let status = if self.ails().draining { 503 } else { 200 };
        http::answer(
            status,
            &[("Server-Id", &self.uid()), ("Server-Load", &self.load())],
            b"",
        )
    }

    /// Work that takes so long, and longer while nothing goes on.
    async fn work(&self, work_ms: f64) {
        sleep(Duration::from_secs_f64(work_ms / 1000.0)).await;
        // The sender lives as long as the server, so that the wait cannot fail.
        let _ = self.ails.subscribe().wait_for(|ails| !ails.stalled).await;
    }

    async fn request(&self, call: &http::Message, stream: &TcpStream) -> Came {
        let not_run = |status| Came::Answer(http::answer(status, &[("Not-Run", "1")], b""));
        let arrived = self.record.clock.now();
        let Some(id) = call
            .header("Try-Id")
            .and_then(|t| u64::from_str_radix(t, 16).ok())
        else {
            return not_run(400);
        };
        if call
            .header("Want-Server")
            .is_some_and(|wanted| wanted != self.uid())
        {
            return not_run(421);
        }
        let (ails, chance) = (self.ails(), lock(&self.state).rng.random::<f64>());
        if chance < ails.deaf {
            return Came::Reset;
        }
        let full = lock(&self.state).in_hand >= self.figures.slots + self.figures.queue;
        if full || ails.draining || ails.full {
            return not_run(503);
        }
        let chance = chance - ails.deaf;
        lock(&self.state).in_hand += 1;
        let leave = Leave(self);
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = closed(stream), if self.figures.drops => return Came::Reset,
        };
        let Ok(slot) = slot else { return Came::Reset };
        let spread = lock(&self.state).rng.random_range(0.5..1.5);
        let work_ms = self.figures.work_ms * spread * ails.slow.max(1.0);
        let run = Execution {
            id,
            server_uid: self.uid(),
            service: self.figures.service.clone(),
            zone: self.figures.zone.clone(),
            tenant: call.header("Tenant").map(str::to_string),
            arrived_at: arrived,
            started_at: 0.0,
            ended_at: 0.0,
            would_end_at: 0.0,
            drops_on_close: self.figures.drops,
        };
        let running = self.record.begin(run, work_ms);
        tokio::select! {
            () = self.work(work_ms) => {}
            () = closed(stream), if self.figures.drops => return Came::Reset,
        }
        drop(running);
        drop((slot, leave));
        let (failing, resetting) = (ails.failing, ails.failing + ails.resetting);
        if chance >= resetting && chance < resetting + ails.hanging {
            return Came::Nothing;
        }
        if chance >= failing && chance < resetting {
            return Came::Reset;
        }
        let (text, load) = (format!("{id:016x}"), self.load());
        let headers = [
            ("Try-Id", text.as_str()),
            ("Seal", "1"),
            ("Server-Load", &load),
        ];
        let status = if chance < failing { 500 } else { 200 };
        Came::Answer(http::answer(status, &headers, text.as_bytes()))
    }
}

/// Returns once the other side has closed the connection, or its sending side.
async fn closed(stream: &TcpStream) {
    match stream.peek(&mut [0]).await {
        Ok(0) | Err(_) => {}
        // Something was sent ahead, and hides what comes behind it.
        Ok(_) => std::future::pending().await,
    }
}

struct Leave<'a>(&'a Origin);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_hand = state.in_hand.saturating_sub(1);
    }
}
