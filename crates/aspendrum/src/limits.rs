//! All sizes, counts and times of the input and output in one place, filled at start and handed down.
//! What is decided about queries is not here but in the module.

use crate::clock::ms;
use crate::config::Config;
use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::pool::PoolLimits;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Descriptors: what clients may hold, what servers may hold; the rest is for the counter, discovery and
    /// the program's own.
    pub client_sockets: usize,
    pub server_sockets: usize,
    /// Sockets over the clients' share that are still answered, each with a shed.
    pub overflow: usize,
    pub spare_workers: usize,
    /// Connections that may wait with the machine to be taken in.
    pub backlog: i32,
    pub head: usize,
    pub body: usize,
    /// A ring's size at the start, and at the most: a whole message, with what this hop adds to its head.
    pub ring: usize,
    pub ring_top: usize,
    pub stack: usize,
    pub desk_queue: usize,
    pub orders: usize,
    pub lanes: usize,
    pub lane_queue: usize,
    /// No wait for a socket is shorter: the system takes none of nothing.
    pub shortest: Duration,
    pub idle_workers: Duration,
    /// From a connection's start, or a later query's first byte, to the query's last byte.
    pub slow_query: Duration,
    /// For writing an answer.
    pub slow_client: Duration,
    /// A connection on which nothing was asked for so long is closed.
    pub idle_client: Duration,
    /// The same while more than half of the clients' descriptors are taken.
    pub idle_crowded: Duration,
    pub linger: Duration,
    pub connect_wait: Duration,
    pub probe_wait: Duration,
    /// How long one write to a server may take, and how long one read waits before the time is looked at.
    pub server_write: Duration,
    pub server_read: Duration,
    pub idle_server: Duration,
    /// A query's own end if the desk does not say anything: so long after the client's time.
    pub desk_late: Duration,
    pub counter_wait: Duration,
    pub counter_idle: Duration,
    pub counter_silence: Duration,
    pub watch_hold: Duration,
    pub watch_late: Duration,
    /// Between calls to discovery after a failure, with jitter: the longest wait at first, and at most.
    pub discovery_first: Duration,
    pub discovery_top: Duration,
    pub sweep: Duration,
    /// After a SIGTERM: how long idle connections stay open, and how often it is looked whether all are gone.
    pub drain_open: Duration,
    pub drain_step: Duration,
    /// No connection is closed for room, or at the end, that has shown a sign of life since, or came since
    /// and has asked nothing yet.
    pub fresh: Duration,
    pub fresh_stranger: Duration,
    /// One that has asked before and was idle for so long is closed rather than a newcomer kept waiting.
    pub settled: Duration,
    /// A connection to a server rests for so long between two forwards: whatever comes behind an answer has
    /// come by then, and is not taken for the next one's.
    pub rest: Duration,
    pub accept_pause: Duration,
}

/// Of a second of a shared discovery, what one limiter's first call may count on.
const DISCOVERY_SHARE: Duration = Duration::from_millis(10);
const DISCOVERY_TOP: Duration = Duration::from_millis(10_000);
/// What one client with the largest query and answer costs at the most: bodies, rings, two stacks.
const CLIENT_KB: usize = 160;
/// Headers of one message; parsing needs the number where it is built.
pub const HEADERS: usize = 64;
/// Threads that answer connections for which there is no room.
const SPARE_WORKERS: usize = 4;

impl Limits {
    /// What the pool of connections to servers needs of them.
    pub fn lines(&self) -> PoolLimits {
        PoolLimits {
            max_connections: self.server_sockets,
            min_idle: self.rest,
            connection: ConnectionOptions {
                initial_buffer_bytes: self.ring,
                max_buffer_bytes: self.ring_top,
                min_timeout: self.shortest,
                write_timeout: self.server_write,
                read_timeout: self.server_read,
                idle_timeout: self.idle_server,
            },
        }
    }

    pub fn of(config: &Config) -> Limits {
        // The program's own: standard streams, listener, signals, counter, discovery, peers, and spare ones.
        let own = 40.min(config.sockets / 4);
        let free = config.sockets - own;
        let (head, body) = (8 << 10, 64 << 10);
        // Where lists come unasked, the agent on this machine answers at no cost.
        let s = &config.settings;
        let (soon, share) = (ms(100.0), DISCOVERY_SHARE.mul_f64(f64::from(s.instances)));
        let (first, top) = if s.polls_discovery {
            (soon.max(share), DISCOVERY_TOP)
        } else {
            (soon, soon)
        };
        Limits {
            client_sockets: (free / 2).min(config.memory_mb as usize * 1024 / CLIENT_KB),
            server_sockets: free / 8 * 3,
            overflow: free / 16,
            spare_workers: SPARE_WORKERS,
            backlog: 4096,
            head,
            body,
            ring: 1 << 10,
            ring_top: head + body + 512,
            stack: 128 << 10,
            desk_queue: 4096,
            orders: 8,
            lanes: 2,
            lane_queue: 1024,
            shortest: ms(1.0),
            idle_workers: ms(3000.0),
            slow_query: ms(2000.0),
            slow_client: ms(10_000.0),
            idle_client: ms(4000.0),
            idle_crowded: ms(500.0),
            linger: ms(200.0),
            connect_wait: config.connect_wait,
            probe_wait: config.connect_wait,
            server_write: config.connect_wait,
            server_read: ms(500.0),
            idle_server: config.keepalive / 2,
            desk_late: ms(20.0),
            counter_wait: ms(config.settings.counter_timeout),
            counter_idle: ms(2000.0),
            counter_silence: ms(1000.0),
            watch_hold: ms(5000.0),
            watch_late: ms(1000.0),
            discovery_first: first,
            discovery_top: if s.discovery_poll_limit > 0.0 {
                top.min(ms(s.discovery_poll_limit))
            } else {
                top
            },
            sweep: ms(1000.0),
            drain_open: ms(450.0),
            drain_step: ms(10.0),
            fresh: ms(150.0),
            fresh_stranger: ms(100.0),
            settled: ms(2000.0),
            rest: ms(10.0),
            accept_pause: ms(5.0),
        }
    }
}
