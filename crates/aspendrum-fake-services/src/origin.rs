//! A fake of the system's servers, with an id for each incarnation, slots with a short queue, health checks, and
//! faults. Every execution is recorded by the id of its attempt.

use crate::fake_process::FakeProcess;
use crate::http::{encode_response, read_body, read_head, Message, MessageKind};
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

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct OriginOptions {
    /// The service of the server.
    pub service: String,
    /// The zone of the server.
    pub zone: String,
    /// The number of requests that run concurrently.
    pub slots: usize,
    /// The number of requests that may wait for a slot. Further ones are rejected.
    pub queue_capacity: usize,
    /// The mean duration of a request, in milliseconds.
    pub work_ms: f64,
    /// Whether the server aborts a request when its connection closes, as most servers do.
    pub aborts_on_close: bool,
}

/// The faults of a server, which can be combined. Shares are of requests, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OriginFaults {
    /// The share of requests that get a 500 response after the work.
    pub error_share: f64,
    /// The share of requests whose connection is reset before the work.
    pub early_reset_share: f64,
    /// The share of requests whose connection is reset after the work.
    pub late_reset_share: f64,
    /// The share of requests that get no response after the work.
    pub no_response_share: f64,
    /// The share of requests with long bodies that are executed and answered before their body is read. The server reads it
    /// later, or resets the connection.
    pub early_answer_share: f64,
    /// The factor by which work takes longer; values below 1 count as 1.
    pub slowdown: f64,
    /// Rejects new requests, completes the accepted ones, and fails health checks.
    pub is_draining: bool,
    /// Rejects all requests, but passes health checks.
    pub is_full: bool,
    /// No running request completes.
    pub is_stalled: bool,
}

/// The record of all executions at all servers of a run.
pub struct ExecutionLog {
    clock: Clock,
    executions: Mutex<Vec<Execution>>,
}

impl ExecutionLog {
    /// Creates an empty record.
    pub fn new(clock: Clock) -> Arc<ExecutionLog> {
        Arc::new(ExecutionLog {
            clock,
            executions: Mutex::default(),
        })
    }

    /// Returns all executions so far. Those in progress have an infinite end time.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Records the start of an execution that takes `work_ms`. The execution ends when the result is dropped.
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
    /// The number of requests that run or wait for a slot.
    in_progress: usize,
    rng: SmallRng,
}

/// Combined with the server's number, so that each server draws its own sequence, the same in each run.
const SEED: u64 = 0x5eed;
/// The range of a request's duration, as multiples of the mean.
const WORK_SPREAD: std::ops::Range<f64> = 0.5..1.5;

const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The size from which a body is long: a peer that does not read keeps its sender from sending all of it.
const LONG_BODY_BYTES: usize = 1 << 20;
/// The time from an early answer until the server reads the rest of the request.
const LATE_READ_DELAY: Duration = Duration::from_secs(3);

/// The reply to a request.
enum Reply {
    Response(Vec<u8>),
    Reset,
    NoResponse,
}

/// Returns a response with the promise that the request has not run.
fn not_run(status: u16) -> Reply {
    Reply::Response(encode_response(status, &[("Not-Run", "1")], b""))
}

impl OriginServer {
    /// Starts a server at a free port of `ip`.
    ///
    /// # Errors
    /// Fails if no port is free.
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

    /// Returns the address at which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the configuration of the server.
    pub fn options(&self) -> &OriginOptions {
        &self.options
    }

    /// Returns the uid of the current incarnation.
    pub fn uid(&self) -> String {
        format!("i-{}-{}", self.number, lock(&self.state).incarnation)
    }

    /// Returns whether the process is up.
    pub fn is_up(&self) -> bool {
        lock(&self.state).is_up
    }

    /// Returns the current faults.
    pub fn faults(&self) -> OriginFaults {
        *self.faults.borrow()
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut OriginFaults)) {
        self.faults.send_modify(change);
    }

    /// Kills the process: connections are reset and new ones refused.
    pub fn kill(&self) {
        if self.process.kill() {
            lock(&self.state).is_up = false;
        }
    }

    /// Restarts the process at the same address, unless it is up.
    ///
    /// # Errors
    /// Fails if the address cannot be bound again.
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
        // A larger buffer would take most of a long body that the server does not read.
        let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let mut unread = Vec::new();
        let kind = MessageKind::Request;
        while let Ok(Some((mut call, length))) = read_head(&mut stream, &mut unread, kind).await {
            let answers_early = length >= LONG_BODY_BYTES && self.draw_early_answer();
            if !answers_early {
                match read_body(&mut stream, &mut unread, length).await {
                    Ok(body) => call.body = body,
                    Err(_) => break,
                }
            }
            let reply = match call.target() {
                "/healthz" => Reply::Response(self.health_response()),
                _ => self.handle_request(&call, &stream).await,
            };
            match reply {
                Reply::Response(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
                Reply::Reset => return,
                Reply::NoResponse => std::future::pending().await,
            }
            if answers_early {
                if lock(&self.state).rng.random() {
                    return;
                }
                sleep(LATE_READ_DELAY).await;
                if read_body(&mut stream, &mut unread, length).await.is_err() {
                    break;
                }
            }
        }
        // Closes the connection without a reset.
        let _ = socket2::SockRef::from(&stream).set_linger(None);
    }

    fn draw_early_answer(&self) -> bool {
        let share = self.faults().early_answer_share;
        share > 0.0 && lock(&self.state).rng.random::<f64>() < share
    }

    fn load(&self) -> String {
        let (in_progress, slots) = (lock(&self.state).in_progress, self.options.slots);
        let (running, waiting) = (in_progress.min(slots), in_progress.saturating_sub(slots));
        format!("{running},{waiting},{slots}")
    }

    fn health_response(&self) -> Vec<u8> {
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

    /// Waits for `work_ms`, and for the end of a stall.
    async fn work(&self, work_ms: f64) {
        sleep(Duration::from_secs_f64(work_ms / MILLIS_PER_SECOND)).await;
        // The sender lives as long as the server, so this cannot fail.
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| !faults.is_stalled)
            .await;
    }

    async fn handle_request(&self, call: &Message, stream: &TcpStream) -> Reply {
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
            aborts_on_close: self.options.aborts_on_close,
        }
    }

    /// Waits for a slot and runs the request. Returns false if it was aborted because its connection closed.
    async fn run(&self, execution: Execution, faults: &OriginFaults, stream: &TcpStream) -> bool {
        lock(&self.state).in_progress += 1;
        let in_progress = InProgress(self);
        let aborts_on_close = self.options.aborts_on_close;
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = wait_for_close(stream), if aborts_on_close => return false,
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
            () = wait_for_close(stream), if aborts_on_close => return false,
        }
        drop(running);
        drop((slot, in_progress));
        true
    }

    /// Returns the reply to a request that has run. `chance` selects the fault.
    fn reply(&self, id: u64, faults: &OriginFaults, chance: f64) -> Reply {
        let error_end = faults.error_share;
        let reset_end = error_end + faults.late_reset_share;
        if chance >= reset_end && chance < reset_end + faults.no_response_share {
            return Reply::NoResponse;
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
        // The client sent a pipelined request, which hides a close behind it.
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
