//! Simulated agents: they connect to control, send heartbeats, and receive and acknowledge updates with the real messages
//! over real connections, and apply updates at once. There is no proxy behind them, and they do not gossip. They leave a
//! control node for the same reasons as real agents.

use crate::fleet_data::proxy_addr;
use crate::fleet_size::zone;
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, StateDigest, StateSection, ToControl, SECTION_KINDS,
};
use aspendrum_net::frames;
use aspendrum_net::threads::{lock, spawn};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 256 << 10;
const READ_BUFFER_BYTES: usize = 4 << 10;
// The times of a real agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Until the first answer that tells what a majority holds.
const FIRST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
/// A control node that sends nothing for so long is left.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);
/// A control node that has not reached a majority for so long is left.
const STALE_AFTER: Duration = Duration::from_millis(1300);
/// An agent reconnects for a missed update at most this often.
const UPDATE_GAP_INTERVAL: Duration = Duration::from_secs(1);
/// How often it is looked which agents have something to do.
const TICK: Duration = Duration::from_millis(5);
/// The kind of frames that are no updates. Updates have the kinds of their sections, which are lower.
pub const HEARTBEAT_KIND: usize = SECTION_KINDS;
/// Kinds of frames.
pub const FRAME_KINDS: usize = SECTION_KINDS + 1;

/// The state that an agent has applied.
#[derive(Clone, Copy, Default)]
pub struct AppliedState {
    /// The version of the configuration.
    pub config_version: u32,
    /// When that version was received.
    pub config_received_at: Option<Instant>,
    /// Proxies that are ready.
    pub ready_proxies: usize,
    /// Servers that drain.
    pub draining_servers: usize,
}

impl AppliedState {
    fn apply(&mut self, section: StateSection, now: Instant) {
        match section {
            StateSection::Config { version, .. } if version > self.config_version => {
                self.config_version = version;
                self.config_received_at = Some(now);
            }
            StateSection::Servers { list, .. } => {
                self.draining_servers = list.iter().filter(|server| server.draining).count();
            }
            StateSection::Proxies(proxies) => {
                self.ready_proxies = proxies.iter().filter(|proxy| proxy.is_ready()).count();
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct Session {
    stream: Option<Arc<TcpStream>>,
    connected_at: Option<Instant>,
    received_at: Option<Instant>,
    /// As of when a majority of control held nothing newer.
    confirmed_as_of: Option<Instant>,
    update_gap_at: Option<Instant>,
    heartbeat_sent_at: Option<Instant>,
    digest: StateDigest,
    applied: AppliedState,
}

impl Session {
    fn disconnect(&self) {
        if let Some(stream) = &self.stream {
            // The control node may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// What all agents of a fleet count together.
#[derive(Default)]
pub struct FleetCounters {
    /// Bytes received, by the kind of frame.
    pub received_bytes: [AtomicU64; FRAME_KINDS],
    /// Frames received, by their kind.
    pub received_frames: [AtomicU64; FRAME_KINDS],
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Connections opened.
    pub connections: AtomicU64,
    /// Connections ended because nothing was received.
    pub silence_timeouts: AtomicU32,
    /// Connections ended because the control node had no majority.
    pub stale_disconnects: AtomicU32,
    /// Connections ended because an update was missed.
    pub update_gaps: AtomicU32,
}

/// Counts the bytes that are read.
struct CountingReader<'s> {
    reader: BufReader<&'s TcpStream>,
    bytes: u64,
}

impl Read for CountingReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let bytes = self.reader.read(buffer)?;
        self.bytes += bytes as u64;
        Ok(bytes)
    }
}

/// A simulated agent.
pub struct SimulatedAgent {
    number: usize,
    /// Heartbeats tell times since then.
    epoch: Instant,
    session: Mutex<Session>,
    /// Whether it is running; a stopped one has no connection.
    is_running: AtomicBool,
    counters: Arc<FleetCounters>,
}

impl SimulatedAgent {
    /// The state that it has applied.
    pub fn applied(&self) -> AppliedState {
        lock(&self.session).applied
    }

    /// Whether it is connected to a control node that reaches a majority.
    pub fn is_connected(&self) -> bool {
        let session = lock(&self.session);
        let is_confirmed = |at: Instant| at.elapsed() < STALE_AFTER;
        session.stream.is_some() && session.confirmed_as_of.is_some_and(is_confirmed)
    }

    /// Starts it without any state.
    pub fn start(&self) {
        self.is_running.store(true, Relaxed);
    }

    /// Stops it. It forgets its state.
    pub fn stop(&self) {
        self.is_running.store(false, Relaxed);
        let mut session = lock(&self.session);
        session.disconnect();
        *session = Session::default();
    }

    /// Connects to the next control node whenever a connection ends.
    fn stay_connected(&self, control_nodes: &[SocketAddr]) {
        let mut next = self.number;
        loop {
            if self.is_running.load(Relaxed) {
                self.run_session(control_nodes[next % control_nodes.len()]);
                next += 1;
            }
            sleep(RECONNECT_PAUSE);
        }
    }

    fn run_session(&self, control_node: SocketAddr) {
        let Ok(stream) = TcpStream::connect_timeout(&control_node, CONNECT_TIMEOUT) else {
            return;
        };
        // A connection that does not take the options only shows other figures.
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(SILENCE_TIMEOUT));
        let stream = Arc::new(stream);
        self.counters.connections.fetch_add(1, Relaxed);
        // Before the thread that sends heartbeats has the connection: the hello has to come first.
        self.send_on(&stream, self.hello());
        self.on_connected(stream.clone());
        let mut reader = CountingReader {
            reader: BufReader::with_capacity(READ_BUFFER_BYTES, &*stream),
            bytes: 0,
        };
        loop {
            let bytes_before = reader.bytes;
            let Ok(message) = frames::read_frame::<FromControl>(&mut reader) else {
                break;
            };
            self.on_message(message, reader.bytes - bytes_before);
        }
        let _ = stream.shutdown(Shutdown::Both);
        lock(&self.session).stream = None;
    }

    fn on_connected(&self, stream: Arc<TcpStream>) {
        let now = Some(Instant::now());
        let mut session = lock(&self.session);
        session.stream = Some(stream);
        session.connected_at = now;
        session.received_at = now;
        session.confirmed_as_of = None;
        session.heartbeat_sent_at = None;
    }

    fn hello(&self) -> ToControl {
        ToControl::Hello {
            host: format!("edge-{}", self.number),
            proxy_addr: proxy_addr(self.number),
            zone: zone(self.number),
        }
    }

    fn send(&self, message: ToControl) {
        let stream = lock(&self.session).stream.clone();
        if let Some(stream) = stream {
            self.send_on(&stream, message);
        }
    }

    fn send_on(&self, mut stream: &TcpStream, message: ToControl) {
        let bytes = frames::encode_frame(&Envelope::<()>::Agent(message));
        if stream.write_all(&bytes).is_ok() {
            let sent = bytes.len() as u64;
            self.counters.sent_bytes.fetch_add(sent, Relaxed);
        }
    }

    fn on_message(&self, message: FromControl, bytes: u64) {
        let now = Instant::now();
        let kind = match &message {
            FromControl::Update { section, .. } => section.kind(),
            FromControl::Heartbeat { .. } | FromControl::Resync => HEARTBEAT_KIND,
        };
        self.counters.received_bytes[kind].fetch_add(bytes, Relaxed);
        self.counters.received_frames[kind].fetch_add(1, Relaxed);
        lock(&self.session).received_at = Some(now);
        match message {
            FromControl::Update { number, section } => {
                lock(&self.session).applied.apply(section, now);
                self.send(ToControl::Applied { number });
            }
            FromControl::Heartbeat {
                sent_at_ms,
                majority_age: Some(age_ms),
                decided,
                ..
            } => {
                let asked_at = self.epoch + Duration::from_millis(sent_at_ms);
                let as_of = asked_at.checked_sub(Duration::from_millis(age_ms.into()));
                self.on_majority_report(decided, as_of, now);
            }
            FromControl::Heartbeat { .. } | FromControl::Resync => {}
        }
    }

    /// A majority of control held nothing newer than `decided` at `as_of`.
    fn on_majority_report(&self, decided: StateDigest, as_of: Option<Instant>, now: Instant) {
        let mut session = lock(&self.session);
        if decided.revision.config <= session.applied.config_version {
            // The digest of what a proxy would have applied, without a proxy.
            session.digest = decided;
            session.confirmed_as_of = session.confirmed_as_of.max(as_of);
            return;
        }
        let is_due = |at: Instant| at.elapsed() >= UPDATE_GAP_INTERVAL;
        if session.update_gap_at.is_none_or(is_due) {
            session.update_gap_at = Some(now);
            self.counters.update_gaps.fetch_add(1, Relaxed);
            session.disconnect();
        }
    }

    /// Ends a connection that is of no use, and sends a heartbeat when it is due.
    fn tick(&self) {
        if let Some(heartbeat) = self.due_heartbeat(Instant::now()) {
            self.send(heartbeat);
        }
    }

    fn due_heartbeat(&self, now: Instant) -> Option<ToControl> {
        let mut session = lock(&self.session);
        session.stream.as_ref()?;
        let is_over = |at: Option<Instant>, limit: Duration| at.is_none_or(|at| now - at > limit);
        let is_silent = is_over(session.received_at, SILENCE_TIMEOUT);
        let is_stale = is_over(session.connected_at, STALE_AFTER)
            && is_over(session.confirmed_as_of, STALE_AFTER);
        if is_silent || is_stale {
            let counter = if is_silent {
                &self.counters.silence_timeouts
            } else {
                &self.counters.stale_disconnects
            };
            counter.fetch_add(1, Relaxed);
            session.disconnect();
            session.stream = None;
            return None;
        }
        let interval = if session.confirmed_as_of.is_some() {
            HEARTBEAT_INTERVAL
        } else {
            FIRST_HEARTBEAT_INTERVAL
        };
        if !is_over(session.heartbeat_sent_at, interval) {
            return None;
        }
        session.heartbeat_sent_at = Some(now);
        Some(ToControl::Heartbeat {
            sent_at_ms: (now - self.epoch).as_millis() as u64,
            readiness: Readiness::Ready,
            applied: session.digest,
        })
    }
}

/// Creates that many agents, none of them started yet.
///
/// # Errors
/// A thread cannot be started.
pub fn spawn_agents(
    count: usize,
    control_nodes: &[SocketAddr],
    counters: &Arc<FleetCounters>,
) -> io::Result<Vec<Arc<SimulatedAgent>>> {
    let epoch = Instant::now();
    let mut agents = Vec::new();
    for number in 0..count {
        let agent = Arc::new(SimulatedAgent {
            number,
            epoch,
            session: Mutex::default(),
            is_running: AtomicBool::new(false),
            counters: counters.clone(),
        });
        let (connecting, control_nodes) = (agent.clone(), control_nodes.to_vec());
        spawn("agent", STACK_BYTES, move || {
            connecting.stay_connected(&control_nodes)
        })?;
        agents.push(agent);
    }
    let ticking = agents.clone();
    spawn("agent-ticks", STACK_BYTES, move || loop {
        ticking.iter().for_each(|agent| agent.tick());
        sleep(TICK);
    })?;
    Ok(agents)
}
