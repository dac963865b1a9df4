//! A fake of the system's servers: an identity for each incarnation, slots and a short queue, health checks, and the ways
//! they fail. What each ran is recorded by the attempt's id.

use crate::fake_process::FakeProcess;
use crate::http::{encode_response, read_message, Message, MessageKind};
use crate::{lock, Clock, MILLIS_PER_SECOND};
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
pub struct OriginOptions {
    /// Its service.
    pub service: String,
    /// The zone that it is in.
    pub zone: String,
    /// How many requests it runs at once.
    pub slots: usize,
    /// How many requests may wait for a slot; more are rejected.
    pub queue_capacity: usize,
    /// The mean time that a request takes, in milliseconds.
    pub work_ms: f64,
    /// Whether it drops a request when its connection closes, as most servers do.
    pub drops_on_close: bool,
}

/// The ways of failing that can hold at the same time. Shares are of requests, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OriginFaults {
    /// Answered with a 500 of its own, after the work.
    pub error_share: f64,
    /// The connection is reset before the work.
    pub early_reset_share: f64,
    /// The connection is reset after the work.
    pub late_reset_share: f64,
    /// Not answered, after the work.
    pub no_response_share: f64,
    /// Work takes so many times as long; 0 counts as 1.
    pub slowdown: f64,
    /// It rejects all requests, and ends those that it has.
    pub is_draining: bool,
    /// It rejects all requests, and is healthy.
    pub is_full: bool,
    /// Nothing that it runs makes progress.
    pub is_stalled: bool,
}

/// The record of all executions at all servers of a run.
pub struct ExecutionLog {
    clock: Clock,
    executions: Mutex<Vec<Execution>>,
}

impl ExecutionLog {
    /// An empty record.
    pub fn new(clock: Clock) -> Arc<ExecutionLog> {
        Arc::new(ExecutionLog {
            clock,
            executions: Mutex::default(),
        })
    }

    /// All executions so far; those in progress end at infinity.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Records an execution that takes so many milliseconds. It ends when the result is dropped.
    fn begin(&self, execution: Execution, work_ms: f64) -> RunningExecution<'_> {
        let started_at = self.clock.now();
        let mut executions = lock(&self.executions);
        executions.push(Execution {
            started_at,
            ended_at: f64::INFINITY,
            would_end_at: started_at + work_ms,
            ..execution
        });
        RunningExecution {
            log: self,
            index: executions.len() - 1,
        }
    }
}

struct RunningExecution<'a> {
    log: &'a ExecutionLog,
    index: usize,
}

impl Drop for RunningExecution<'_> {
    fn drop(&mut self) {
        let now = self.log.clock.now();
        lock(&self.log.executions)[self.index].ended_at = now;
    }
}

/// A fake server.
pub struct OriginServer {
    process: FakeProcess,
    number: usize,
    options: OriginOptions,
    log: Arc<ExecutionLog>,
    state: Mutex<State>,
    slots: Semaphore,
    faults: watch::Sender<OriginFaults>,
}

struct State {
    incarnation: u32,
    is_up: bool,
    /// Requests that run or wait.
    in_progress: usize,
    rng: SmallRng,
}

/// Each server draws numbers of its own, the same in each run.
const SEED: u64 = 0x5eed;
/// The spread of the time that requests take.
const WORK_SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// What the client sees of a request.
enum Reply {
    Response(Vec<u8>),
    Reset,
    Nothing,
}

/// A response by which the client knows that the request has not run.
fn not_run(status: u16) -> Reply {
    Reply::Response(encode_response(status, &[("Not-Run", "1")], b""))
}

impl OriginServer {
    /// Starts it at a free port of that address.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(
        ip: IpAddr,
        number: usize,
        options: OriginOptions,
        log: Arc<ExecutionLog>,
    ) -> io::Result<Arc<OriginServer>> {
        let (process, listener) = FakeProcess::bind(ip).await?;
        let state = State {
            incarnation: 1,
            is_up: true,
            in_progress: 0,
            rng: SmallRng::seed_from_u64(number as u64 ^ SEED),
        };
        let origin = Arc::new(OriginServer {
            process,
            number,
            slots: Semaphore::new(options.slots),
            options,
            log,
            state: Mutex::new(state),
            faults: watch::Sender::default(),
        });
        origin.listen(listener);
        Ok(origin)
    }

    fn listen(self: &Arc<OriginServer>, listener: TcpListener) {
        let served = self.clone();
        self.process
            .listen(listener, move |stream| served.clone().serve(stream));
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.address()
    }

    /// What it is like.
    pub fn options(&self) -> &OriginOptions {
        &self.options
    }

    /// The identity of its present incarnation.
    pub fn uid(&self) -> String {
        format!("i-{}-{}", self.number, lock(&self.state).incarnation)
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        lock(&self.state).is_up
    }

    /// How it fails at present.
    pub fn faults(&self) -> OriginFaults {
        *self.faults.borrow()
    }

    /// Changes how it fails.
    pub fn change_faults(&self, change: impl FnOnce(&mut OriginFaults)) {
        self.faults.send_modify(change);
    }

    /// Kills its process: connections are reset and new ones refused.
    pub fn kill(&self) {
        if self.process.kill() {
            lock(&self.state).is_up = false;
        }
    }

    /// Restarts it at the same address, unless it is up.
    ///
    /// # Errors
    /// The address cannot be bound again.
    pub async fn restart(self: &Arc<OriginServer>) -> io::Result<()> {
        let Some(listener) = self.process.begin_restart().await? else {
            return Ok(());
        };
        {
            let mut state = lock(&self.state);
            state.incarnation += 1;
            (state.is_up, state.in_progress) = (true, 0);
        }
        self.process.complete_restart();
        self.listen(listener);
        Ok(())
    }

    async fn serve(self: Arc<OriginServer>, mut stream: TcpStream) {
        let mut unread = Vec::new();
        let kind = MessageKind::Request;
        while let Ok(Some(call)) = read_message(&mut stream, &mut unread, kind).await {
            let reply = match call.target() {
                "/healthz" => Reply::Response(self.health()),
                _ => self.request(&call, &stream).await,
            };
            match reply {
                Reply::Response(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
                Reply::Reset => return,
                Reply::Nothing => std::future::pending().await,
            }
        }
        // An orderly end, no reset.
        let _ = socket2::SockRef::from(&stream).set_linger(None);
    }

    fn load(&self) -> String {
        let (in_progress, slots) = (lock(&self.state).in_progress, self.options.slots);
        let (running, waiting) = (in_progress.min(slots), in_progress.saturating_sub(slots));
        format!("{running},{waiting},{slots}")
    }

    fn health(&self) -> Vec<u8> {
        let status = if self.faults().is_draining { 503 } else { 200 };
        let headers = [("Server-Id", self.uid()), ("Server-Load", self.load())];
        encode_response(
            status,
            &headers
                .each_ref()
                .map(|(name, value)| (*name, value.as_str())),
            b"",
        )
    }

    /// Waits so long, and longer while it is stalled.
    async fn work(&self, work_ms: f64) {
        sleep(Duration::from_secs_f64(work_ms / MILLIS_PER_SECOND)).await;
        // The sender lives as long as the server, so that this does not fail.
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| !faults.is_stalled)
            .await;
    }

    async fn request(&self, call: &Message, stream: &TcpStream) -> Reply {
        let arrived_at = self.log.clock.now();
        let id = call
            .header("Try-Id")
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        let Some(id) = id else { return not_run(400) };
        if call
            .header("Want-Server")
            .is_some_and(|wanted| wanted != self.uid())
        {
            return not_run(421);
        }
        let (faults, chance) = (self.faults(), lock(&self.state).rng.random::<f64>());
        if chance < faults.early_reset_share {
            return Reply::Reset;
        }
        let capacity = self.options.slots + self.options.queue_capacity;
        let is_full = lock(&self.state).in_progress >= capacity;
        if is_full || faults.is_draining || faults.is_full {
            return not_run(503);
        }
        let chance = chance - faults.early_reset_share;
        let execution = self.execution(id, call, arrived_at);
        if !self.run(execution, &faults, stream).await {
            return Reply::Reset;
        }
        self.reply(id, &faults, chance)
    }

    fn execution(&self, id: u64, call: &Message, arrived_at: f64) -> Execution {
        Execution {
            id,
            server_uid: self.uid(),
            service: self.options.service.clone(),
            zone: self.options.zone.clone(),
            tenant: call.header("Tenant").map(str::to_string),
            arrived_at,
            started_at: 0.0,
            ended_at: 0.0,
            would_end_at: 0.0,
            drops_on_close: self.options.drops_on_close,
        }
    }

    /// Waits for a slot, and runs the request. False: it was dropped, since its connection closed.
    async fn run(&self, execution: Execution, faults: &OriginFaults, stream: &TcpStream) -> bool {
        lock(&self.state).in_progress += 1;
        let in_progress = InProgress(self);
        let drops = self.options.drops_on_close;
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = wait_for_close(stream), if drops => return false,
        };
        let Ok(slot) = slot else { return false };
        let spread = lock(&self.state).rng.random_range(WORK_SPREAD);
        let work_ms = self.options.work_ms * spread * faults.slowdown.max(1.0);
        let execution = Execution {
            server_uid: self.uid(),
            ..execution
        };
        let running = self.log.begin(execution, work_ms);
        tokio::select! {
            () = self.work(work_ms) => {}
            () = wait_for_close(stream), if drops => return false,
        }
        drop(running);
        drop((slot, in_progress));
        true
    }

    /// What the client sees of a request that has run. `chance` decides on faults.
    fn reply(&self, id: u64, faults: &OriginFaults, chance: f64) -> Reply {
        let error_end = faults.error_share;
        let reset_end = error_end + faults.late_reset_share;
        if chance >= reset_end && chance < reset_end + faults.no_response_share {
            return Reply::Nothing;
        }
        if chance >= error_end && chance < reset_end {
            return Reply::Reset;
        }
        let (id, load) = (format!("{id:016x}"), self.load());
        let headers = [
            ("Try-Id", id.as_str()),
            ("Seal", "1"),
            ("Server-Load", &load),
        ];
        let status = if chance < error_end { 500 } else { 200 };
        Reply::Response(encode_response(status, &headers, id.as_bytes()))
    }
}

/// Returns once the peer has closed the connection, or its sending side.
async fn wait_for_close(stream: &TcpStream) {
    match stream.peek(&mut [0]).await {
        Ok(0) | Err(_) => {}
        // A next request was sent ahead, and hides what follows.
        Ok(_) => std::future::pending().await,
    }
}

/// Counts a request as in progress until it is dropped.
struct InProgress<'a>(&'a OriginServer);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_progress = state.in_progress.saturating_sub(1);
    }
}
