//! Simulated agents. They connect to control over TCP, use the real protocol to send heartbeats and to acknowledge
//! updates, and disconnect from a control node for the same reasons as real agents. They apply updates at once, since
//! they have no proxies, and they do not gossip.

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
// The timeouts and intervals are those of a real agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The heartbeat interval until the first report of what a majority holds.
const FIRST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
/// The agent disconnects from a control node that sends nothing for this long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1100);
/// The agent disconnects from a control node that has not reached a majority for this long.
const STALE_TIMEOUT: Duration = Duration::from_millis(1300);
/// The minimum interval between two disconnects of an agent because of missed updates.
const MIN_UPDATE_GAP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which all agents are checked for due heartbeats and timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The kind of frames that are not updates. The kinds of updates are those of their sections, which are lower.
pub const HEARTBEAT_KIND: usize = SECTION_KINDS;
/// The number of frame kinds.
pub const FRAME_KINDS: usize = SECTION_KINDS + 1;

/// The state that an agent has applied.
#[derive(Clone, Copy, Default)]
pub struct AppliedState {
    /// The version of the configuration; `None` before the first one.
    pub config_version: Option<u32>,
    /// The time at which that version was received.
    pub config_received_at: Option<Instant>,
    /// The number of ready proxies.
    pub ready_proxies: usize,
    /// The number of draining servers.
    pub draining_servers: usize,
}

impl AppliedState {
    fn apply(&mut self, section: StateSection, now: Instant) {
        match section {
            StateSection::Config { version, .. } if Some(version) > self.config_version => {
                self.config_version = Some(version);
                self.config_received_at = Some(now);
            }
            StateSection::Servers { list, .. } => {
                self.draining_servers = list.iter().filter(|server| server.is_draining).count();
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
    /// The latest time as of which a majority of control held nothing newer.
    confirmed_as_of: Option<Instant>,
    update_gap_at: Option<Instant>,
    heartbeat_sent_at: Option<Instant>,
    digest: StateDigest,
    applied: AppliedState,
}

impl Session {
    fn disconnect(&self) {
        if let Some(stream) = &self.stream {
            // Ignores the error: the control node may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Counters shared by all agents of a fleet.
#[derive(Default)]
pub struct FleetCounters {
    /// Bytes received, by frame kind.
    pub received_bytes: [AtomicU64; FRAME_KINDS],
    /// Frames received, by kind.
    pub received_frames: [AtomicU64; FRAME_KINDS],
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Connections opened.
    pub connections: AtomicU64,
    /// Connections closed because nothing was received within the timeout.
    pub silence_timeouts: AtomicU32,
    /// Connections closed because the control node did not reach a majority.
    pub stale_disconnects: AtomicU32,
    /// Connections closed because an update was missed.
    pub update_gaps: AtomicU32,
}

/// A reader that counts the bytes read.
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
    /// The reference point of the timestamps in heartbeats.
    epoch: Instant,
    session: Mutex<Session>,
    /// Whether the agent is running. A stopped agent does not connect.
    is_running: AtomicBool,
    counters: Arc<FleetCounters>,
}

impl SimulatedAgent {
    /// Returns the state that the agent has applied.
    pub fn applied(&self) -> AppliedState {
        lock(&self.session).applied
    }

    /// Whether the agent is connected to a control node that reaches a majority.
    pub fn is_connected(&self) -> bool {
        let session = lock(&self.session);
        let is_confirmed = |at: Instant| at.elapsed() < STALE_TIMEOUT;
        session.stream.is_some() && session.confirmed_as_of.is_some_and(is_confirmed)
    }

    /// Starts the agent without any state.
    pub fn start(&self) {
        self.is_running.store(true, Relaxed);
    }

    /// Stops the agent and discards its state.
    pub fn stop(&self) {
        self.is_running.store(false, Relaxed);
        let mut session = lock(&self.session);
        session.disconnect();
        *session = Session::default();
    }

    /// Connects to the control nodes in turn, to the next one whenever a connection ends.
    fn run_connections(&self, control_nodes: &[SocketAddr]) {
        let mut next = self.number;
        loop {
            if self.is_running.load(Relaxed) {
                self.run_session(control_nodes[next % control_nodes.len()]);
                next += 1;
            }
            sleep(RECONNECT_DELAY);
        }
    }

    fn run_session(&self, control_node: SocketAddr) {
        let Ok(stream) = TcpStream::connect_timeout(&control_node, CONNECT_TIMEOUT) else {
            return;
        };
        // Socket options are best effort: a failure only affects the figures.
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(SILENCE_TIMEOUT));
        let stream = Arc::new(stream);
        self.counters.connections.fetch_add(1, Relaxed);
        // Sent before the heartbeat thread can use the connection: the hello must be the first message.
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
            FromControl::HeartbeatReply { .. } | FromControl::Resync => HEARTBEAT_KIND,
        };
        self.counters.received_bytes[kind].fetch_add(bytes, Relaxed);
        self.counters.received_frames[kind].fetch_add(1, Relaxed);
        lock(&self.session).received_at = Some(now);
        match message {
            FromControl::Update { number, section } => {
                lock(&self.session).applied.apply(section, now);
                self.send(ToControl::Applied { number });
            }
            FromControl::HeartbeatReply {
                sent_at_ms,
                majority_age: Some(age_ms),
                decided,
                ..
            } => {
                let requested_at = self.epoch + Duration::from_millis(sent_at_ms);
                let as_of = requested_at.checked_sub(Duration::from_millis(age_ms.into()));
                self.on_majority_report(decided, as_of, now);
            }
            FromControl::HeartbeatReply { .. } | FromControl::Resync => {}
        }
    }

    /// Handles the report that a majority of control held nothing newer than `decided` at `as_of`.
    fn on_majority_report(&self, decided: StateDigest, as_of: Option<Instant>, now: Instant) {
        let mut session = lock(&self.session);
        if decided.revision.config <= session.applied.config_version {
            // There is no proxy to compute a digest of its applied state, so the decided digest is reported.
            session.digest = decided;
            session.confirmed_as_of = session.confirmed_as_of.max(as_of);
            return;
        }
        let is_due = |at: Instant| at.elapsed() >= MIN_UPDATE_GAP_INTERVAL;
        if session.update_gap_at.is_none_or(is_due) {
            session.update_gap_at = Some(now);
            self.counters.update_gaps.fetch_add(1, Relaxed);
            session.disconnect();
        }
    }

    /// Closes a silent or stale connection, or sends a heartbeat if one is due.
    fn tick(&self) {
        if let Some(heartbeat) = self.due_heartbeat(Instant::now()) {
            self.send(heartbeat);
        }
    }

    /// Returns the next heartbeat if it is due. Closes the connection instead if it is silent or stale.
    fn due_heartbeat(&self, now: Instant) -> Option<ToControl> {
        let mut session = lock(&self.session);
        session.stream.as_ref()?;
        let is_older = |at: Option<Instant>, limit: Duration| at.is_none_or(|at| now - at > limit);
        let is_silent = is_older(session.received_at, SILENCE_TIMEOUT);
        let is_stale = is_older(session.connected_at, STALE_TIMEOUT)
            && is_older(session.confirmed_as_of, STALE_TIMEOUT);
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
        if !is_older(session.heartbeat_sent_at, interval) {
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

/// Creates `count` agents and their threads. The agents do not connect until they are started.
///
/// # Errors
/// Returns an error if a thread cannot be started.
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
        let (connector, control_nodes) = (agent.clone(), control_nodes.to_vec());
        spawn("agent", STACK_BYTES, move || {
            connector.run_connections(&control_nodes)
        })?;
        agents.push(agent);
    }
    let ticked_agents = agents.clone();
    spawn("agent-ticks", STACK_BYTES, move || loop {
        ticked_agents.iter().for_each(|agent| agent.tick());
        sleep(TICK_INTERVAL);
    })?;
    Ok(agents)
}
