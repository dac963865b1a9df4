//! The limiter processes of a run: starting, signalling and stopping them.

use super::error::{Failure, RunError};
use super::fleet::Fleet;
use super::outcome::ResourceUsage;
use crate::config::{self, LimiterAddresses};
use crate::process::Process;
use aspendrum_checker::Millis;
use nix::sys::signal::Signal;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The time within which a limiter must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The time within which a limiter must exit after the SIGTERM at the end of a run.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between a limiter closing its listener and the exit of its process.
const LISTENER_CLOSED_BEFORE_EXIT: Millis = 100.0;

/// One limiter of the fleet, across process restarts.
#[derive(Default)]
pub(super) struct LimiterSlot {
    process: Option<Process>,
    /// The number of processes started so far.
    starts: u64,
}

impl Fleet {
    /// Starts all limiters, and waits until they are ready.
    ///
    /// # Errors
    /// [`RunError`] if a limiter cannot be started or doesn't become ready.
    pub(super) async fn start_limiters(self: &Arc<Fleet>) -> Result<(), RunError> {
        let mut starts = JoinSet::new();
        for limiter in 0..self.limiters.len() {
            let fleet = self.clone();
            starts.spawn(async move {
                let mut slot = fleet.limiters[limiter].lock().await;
                fleet.start_process(limiter, &mut slot).await
            });
        }
        starts.join_all().await.into_iter().collect()
    }

    async fn start_process(&self, limiter: usize, slot: &mut LimiterSlot) -> Result<(), RunError> {
        slot.starts += 1;
        let started = self.spawn(limiter, slot.starts);
        let process = started.map_err(|source| RunError::Spawn { limiter, source })?;
        let process = slot.process.insert(process);
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready(limiter).await {
                return Ok(());
            }
            if let Some(status) = process.exit_status() {
                slot.process = None;
                return Err(RunError::ExitedDuringStartup { limiter, status });
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(RunError::ReadyTimeout {
            limiter,
            timeout: READY_TIMEOUT,
        })
    }

    /// Writes the configuration of a limiter, and starts its process.
    fn spawn(&self, limiter: usize, start_count: u64) -> io::Result<Process> {
        let seed = self.scenario.seed << 32 | (limiter as u64) << 16 | start_count;
        let servers = self.links.server_addresses(limiter);
        let addresses = LimiterAddresses {
            listen: self.addresses.client_listener(limiter),
            discovery: self.links.discovery[limiter].addr(),
            counter: self.links.counter[limiter].addr(),
            peer_listen: self.addresses.peer_listener(limiter),
            peers: self.links.mesh.peers(limiter)?,
            broadcast: self.links.mesh.broadcast_addr(limiter)?,
            initial_list: self.services.discovery.initial_list(&servers),
        };
        let config = config::limiter_config(&self.scenario, limiter, seed, &addresses);
        let file = self.folder.join(format!("n{limiter}.json"));
        std::fs::write(&file, config.to_string())?;
        Process::start(&self.program, &file, &self.log_file(limiter))
    }

    fn log_file(&self, limiter: usize) -> PathBuf {
        self.folder.join(format!("n{limiter}.log"))
    }

    /// Whether the limiter's readiness endpoint returns 200.
    async fn is_ready(&self, limiter: usize) -> bool {
        let request = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let exchange = async {
            let mut stream = TcpStream::connect(self.addresses.client_listener(limiter)).await?;
            stream.write_all(request).await?;
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await?;
            Ok::<bool, io::Error>(response.starts_with(b"HTTP/1.1 200"))
        };
        matches!(timeout(HEALTH_CHECK_TIMEOUT, exchange).await, Ok(Ok(true)))
    }

    /// Sends SIGKILL or SIGTERM to a limiter, and waits until its process has exited.
    pub(super) async fn stop_limiter(&self, limiter: usize, signal: Signal) {
        let mut slot = self.limiters[limiter].lock().await;
        let Some(mut process) = slot.process.take() else {
            return;
        };
        let signalled_at = self.clock.now();
        let _ = process.signal(signal);
        let ended = process.wait().await;
        let exempt_from = match signal {
            // Queries in flight are lost from the moment of the signal.
            Signal::SIGKILL => signalled_at,
            // A graceful shutdown answers every query that was accepted before the listener closed.
            _ => self.clock.now() - LISTENER_CLOSED_BEFORE_EXIT,
        };
        self.exemptions.begin(limiter, exempt_from);
        match ended {
            Ok(status) if signal == Signal::SIGTERM && !status.success() => {
                self.record_failure(Failure::UncleanExit { limiter, status });
            }
            _ => {}
        }
    }

    /// Starts a limiter again unless it is running.
    pub(super) async fn restart_limiter(&self, limiter: usize) {
        let mut slot = self.limiters[limiter].lock().await;
        if slot.process.is_some() {
            return;
        }
        match self.start_process(limiter, &mut slot).await {
            Ok(()) => self.exemptions.end(limiter, self.clock.now()),
            Err(error) => self.record_failure(Failure::Restart(error)),
        }
    }

    /// Sends SIGSTOP to a limiter.
    pub(super) async fn pause_limiter(&self, limiter: usize) {
        let slot = self.limiters[limiter].lock().await;
        if let Some(process) = &slot.process {
            self.exemptions.begin(limiter, self.clock.now());
            self.send_signal(limiter, process, Signal::SIGSTOP);
        }
    }

    /// Sends SIGCONT to a limiter.
    pub(super) async fn resume_limiter(&self, limiter: usize) {
        let slot = self.limiters[limiter].lock().await;
        if let Some(process) = &slot.process {
            self.send_signal(limiter, process, Signal::SIGCONT);
            self.exemptions.end(limiter, self.clock.now());
        }
    }

    fn send_signal(&self, limiter: usize, process: &Process, signal: Signal) {
        if let Err(source) = process.signal(signal) {
            self.record_failure(Failure::Process { limiter, source });
        }
    }

    /// Returns the resource usage of the running limiters. Records a failure for each limiter that has exited unexpectedly.
    pub(super) async fn usage(&self) -> ResourceUsage {
        let mut usage = ResourceUsage::default();
        for (limiter, slot) in self.limiters.iter().enumerate() {
            let mut slot = slot.lock().await;
            let Some(process) = slot.process.as_mut() else {
                continue;
            };
            if let Some(status) = process.exit_status() {
                self.record_failure(Failure::UnexpectedExit { limiter, status });
                slot.process = None;
                continue;
            }
            usage.memory_kb.extend(process.resident_memory_kb());
            usage.cpu_s += process.cpu_seconds().unwrap_or(0.0);
        }
        usage
    }

    /// Shuts all limiters down with SIGTERM, and records a failure for each log that has an error.
    pub(super) async fn shut_down_limiters(self: &Arc<Fleet>) {
        let mut shutdowns = JoinSet::new();
        for limiter in 0..self.limiters.len() {
            let fleet = self.clone();
            shutdowns.spawn(async move { fleet.shut_down_limiter(limiter).await });
        }
        shutdowns.join_all().await;
        for limiter in 0..self.limiters.len() {
            let log = std::fs::read_to_string(self.log_file(limiter)).unwrap_or_default();
            if let Some(line) = log.lines().find(|line| is_error_line(line)) {
                let line = line.to_string();
                self.record_failure(Failure::LoggedError { limiter, line });
            }
        }
    }

    async fn shut_down_limiter(&self, limiter: usize) {
        let Some(mut process) = self.limiters[limiter].lock().await.process.take() else {
            return;
        };
        let _ = process.signal(Signal::SIGCONT);
        let _ = process.signal(Signal::SIGTERM);
        match timeout(EXIT_TIMEOUT, process.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(Ok(status)) => self.record_failure(Failure::UncleanExit { limiter, status }),
            Ok(Err(source)) => self.record_failure(Failure::Process { limiter, source }),
            Err(_) => {
                self.record_failure(Failure::ShutdownTimeout {
                    limiter,
                    timeout: EXIT_TIMEOUT,
                });
                process.kill().await;
            }
        }
    }
}

/// Whether a line of a limiter's log is at level `ERROR` or reports a panic (panics are logged as plain text).
fn is_error_line(line: &str) -> bool {
    match serde_json::from_str::<serde_json::Value>(line) {
        Ok(entry) => entry["level"] == "ERROR",
        Err(_) => line.contains("panicked at"),
    }
}
