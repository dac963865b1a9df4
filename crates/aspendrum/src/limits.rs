//! Sizes, counts and durations that bound the limiter's I/O, computed from the configuration at startup.
//!
//! Limits that affect admission decisions are in `aspendrum_core`.

use crate::clock::duration_from_millis;
use crate::config::Config;
use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::pool::PoolLimits;
use std::time::Duration;

/// All limits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients.
    pub clients: ClientLimits,
    /// HTTP messages.
    pub messages: MessageLimits,
    /// The buffer for one direction of a connection.
    pub buffers: BufferLimits,
    /// Connections to servers.
    pub servers: ServerLimits,
    /// Calls to the counter.
    pub counter: CounterLimits,
    /// Requests to discovery.
    pub discovery: DiscoveryLimits,
    /// The dispatcher's mailboxes and timers.
    pub dispatcher: DispatcherLimits,
    /// Graceful shutdown.
    pub drain: DrainLimits,
    /// Threads.
    pub threads: ThreadLimits,
    /// The minimum socket timeout. The operating system does not accept a timeout of zero.
    pub min_socket_timeout: Duration,
}

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// The maximum number of connections that are served.
    pub max_connections: usize,
    /// The number of connections beyond [`Self::max_connections`] that still get a response, which is an error.
    pub overflow: usize,
    /// The number of threads that respond on overflow connections.
    pub overflow_threads: usize,
    /// The listen backlog.
    pub backlog: i32,
    /// The delay before accepting again after a failed accept, and the polling interval while waiting for capacity.
    pub accept_pause: Duration,
    /// The timeout for reading a request, from accepting the connection (first request) or from the request's first
    /// byte (later requests).
    pub request_timeout: Duration,
    /// The timeout for writing a response.
    pub write_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Duration,
    /// The idle timeout while more than half of [`Self::max_connections`] are open.
    pub reduced_idle_timeout: Duration,
    /// How long a connection is read after its final response. Closing it with unread data would reset the connection
    /// before the client has read the response.
    pub linger: Duration,
    /// The minimum idle time before a connection may be closed to make room. A client that was active more recently may
    /// be about to send a request.
    pub min_idle: Duration,
    /// The minimum age before a connection without any request may be closed to make room.
    pub min_unused_age: Duration,
    /// Like [`Self::min_idle`], while there are also connections without any request.
    pub min_idle_with_unused: Duration,
}

/// Buffer sizes.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// The initial size.
    pub initial_bytes: usize,
    /// The maximum size: a complete message, including headers added by this hop.
    pub max_bytes: usize,
}

/// Limits of connections to servers.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The maximum number of connections to all servers together.
    pub max_connections: usize,
    /// The timeout for connecting.
    pub connect_timeout: Duration,
    /// The timeout of a health check, from connecting to the last byte of the response.
    pub health_check_timeout: Duration,
    /// The timeout of one read, after which the deadline is checked.
    pub read_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Duration,
    /// The minimum idle time between two requests on a connection. Stray bytes after a response arrive within this
    /// time, so that they are not read as the next response.
    pub min_idle: Duration,
}

/// Limits of calls to the counter.
#[derive(Clone, Debug)]
pub struct CounterLimits {
    /// The number of connections to the counter.
    pub connections: usize,
    /// The maximum number of calls that wait for a connection.
    pub max_queued: usize,
    /// The timeout of a call.
    pub timeout: Duration,
    /// How long a connection may be idle before it is replaced at the next call.
    pub idle_timeout: Duration,
    /// How long a connection with pending calls may receive nothing before it is closed.
    pub silence_timeout: Duration,
}

/// Limits of requests to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// How long discovery may hold a watch request before responding.
    pub watch_hold: Duration,
    /// The response timeout, in addition to the hold time.
    pub response_timeout: Duration,
    /// The maximum delay after the first failure.
    pub initial_backoff: Duration,
    /// The maximum delay after any failure.
    pub max_backoff: Duration,
}

/// Limits of the dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherLimits {
    /// The capacity of the dispatcher's mailbox.
    pub max_queued_events: usize,
    /// The capacity of the mailbox for one request's decisions, and of the queue of discovery requests.
    pub max_queued_decisions: usize,
    /// How long after the client's deadline a request ends if no decision has arrived.
    pub decision_grace: Duration,
    /// The interval between two checks for expired server connections.
    pub expiry_interval: Duration,
}

/// Limits of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct DrainLimits {
    /// How long idle connections are kept open after the shutdown begins.
    pub idle_grace: Duration,
    /// The interval between two checks whether all connections are closed.
    pub check_interval: Duration,
}

/// Limits of threads.
#[derive(Clone, Debug)]
pub struct ThreadLimits {
    /// The stack size of each thread.
    pub stack_bytes: usize,
    /// How long a worker thread may be idle before it ends.
    pub idle_timeout: Duration,
}

/// The maximum number of header fields of a message.
pub const MAX_HEADERS: usize = 64;
/// The memory needed for one client with a request and response of maximum size: bodies, buffers and two thread stacks.
const MAX_CLIENT_MEMORY_KIB: usize = 160;
/// File descriptors reserved for standard streams, listener, signals, counter, discovery and peers, with some spare.
const RESERVED_DESCRIPTORS: usize = 40;
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_BODY_BYTES: usize = 64 << 10;
/// The maximum number of bytes that this hop adds to the head of a message.
const MAX_ADDED_HEAD_BYTES: usize = 512;
/// The initial backoff per limiter of the fleet, which spreads the first requests to a shared discovery service.
const DISCOVERY_BACKOFF_PER_LIMITER: Duration = Duration::from_millis(10);
const MAX_SHARED_DISCOVERY_BACKOFF: Duration = Duration::from_millis(10_000);
/// When discovery pushes its lists, requests are cheap because the agent on the local machine answers them.
const LOCAL_DISCOVERY_BACKOFF: Duration = Duration::from_millis(100);

impl Limits {
    /// Computes the limits from a configuration.
    pub fn new(config: &Config) -> Limits {
        let reserved_descriptors = RESERVED_DESCRIPTORS.min(config.max_descriptors / 4);
        let descriptors = config.max_descriptors - reserved_descriptors;
        Limits {
            clients: ClientLimits::new(descriptors, config.memory_mb as usize),
            messages: MessageLimits {
                head_bytes: MAX_HEAD_BYTES,
                body_bytes: MAX_BODY_BYTES,
            },
            buffers: BufferLimits {
                initial_bytes: 1 << 10,
                max_bytes: MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_ADDED_HEAD_BYTES,
            },
            servers: ServerLimits::new(descriptors, config),
            counter: CounterLimits {
                connections: 2,
                max_queued: 1024,
                timeout: duration_from_millis(config.settings.counter_timeout),
                idle_timeout: Duration::from_millis(2000),
                silence_timeout: Duration::from_millis(1000),
            },
            discovery: DiscoveryLimits::new(config),
            dispatcher: DispatcherLimits {
                max_queued_events: 4096,
                max_queued_decisions: 8,
                decision_grace: Duration::from_millis(20),
                expiry_interval: Duration::from_millis(1000),
            },
            drain: DrainLimits {
                idle_grace: Duration::from_millis(450),
                check_interval: Duration::from_millis(10),
            },
            threads: ThreadLimits {
                stack_bytes: 128 << 10,
                idle_timeout: Duration::from_millis(3000),
            },
            min_socket_timeout: Duration::from_millis(1),
        }
    }

    /// Returns the limits of the server connection pool.
    pub fn pool_limits(&self) -> PoolLimits {
        PoolLimits {
            max_connections: self.servers.max_connections,
            min_idle: self.servers.min_idle,
            connection: ConnectionOptions {
                initial_buffer_bytes: self.buffers.initial_bytes,
                max_buffer_bytes: self.buffers.max_bytes,
                min_timeout: self.min_socket_timeout,
                read_timeout: self.servers.read_timeout,
                idle_timeout: self.servers.idle_timeout,
                // Messages are small, and the number of clients is limited by the memory for each.
                memory: MemoryBudget::unlimited(),
            },
        }
    }
}

impl ClientLimits {
    fn new(descriptors: usize, memory_mb: usize) -> ClientLimits {
        ClientLimits {
            max_connections: (descriptors / 2).min(memory_mb * 1024 / MAX_CLIENT_MEMORY_KIB),
            overflow: descriptors / 16,
            overflow_threads: 4,
            backlog: 4096,
            accept_pause: Duration::from_millis(5),
            request_timeout: Duration::from_millis(2000),
            write_timeout: Duration::from_millis(10_000),
            idle_timeout: Duration::from_millis(4000),
            reduced_idle_timeout: Duration::from_millis(500),
            linger: Duration::from_millis(200),
            min_idle: Duration::from_millis(150),
            min_unused_age: Duration::from_millis(100),
            min_idle_with_unused: Duration::from_millis(2000),
        }
    }
}

impl ServerLimits {
    fn new(descriptors: usize, config: &Config) -> ServerLimits {
        ServerLimits {
            max_connections: descriptors / 8 * 3,
            connect_timeout: config.connect_timeout,
            health_check_timeout: config.connect_timeout,
            read_timeout: Duration::from_millis(500),
            idle_timeout: config.server_keepalive / 2,
            min_idle: Duration::from_millis(10),
        }
    }
}

impl DiscoveryLimits {
    fn new(config: &Config) -> DiscoveryLimits {
        let settings = &config.settings;
        let (initial_backoff, max_backoff) = if settings.polls_discovery {
            let fleet_share = DISCOVERY_BACKOFF_PER_LIMITER.mul_f64(f64::from(settings.instances));
            (
                LOCAL_DISCOVERY_BACKOFF.max(fleet_share),
                MAX_SHARED_DISCOVERY_BACKOFF,
            )
        } else {
            (LOCAL_DISCOVERY_BACKOFF, LOCAL_DISCOVERY_BACKOFF)
        };
        let has_deadline = settings.discovery_poll_limit > 0.0;
        let deadline = duration_from_millis(settings.discovery_poll_limit);
        DiscoveryLimits {
            watch_hold: Duration::from_millis(5000),
            response_timeout: Duration::from_millis(1000),
            initial_backoff,
            max_backoff: if has_deadline {
                max_backoff.min(deadline)
            } else {
                max_backoff
            },
        }
    }
}
