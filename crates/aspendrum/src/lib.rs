//! The limiter on sockets, as a library: read a [`config::Config`], start a [`Limiter`], drain it in the end.
//! Every decision is the module's (`aspendrum_core`); docs/architecture.md tells who owns what.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod backoff;
pub mod client;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counter;
pub mod desk;
pub mod discovery;
pub mod http;
pub mod limits;
pub mod notes;
pub mod peers;
pub mod query;
pub mod resp;
pub mod roster;
pub mod shutdown;

use aspendrum_core::api::ListKind;
use aspendrum_net::disconnect_metrics::DisconnectMetrics;
use aspendrum_net::disconnects::DisconnectWatcher;
use aspendrum_net::pool::Pool;
use aspendrum_net::threads::spawn;
use aspendrum_net::worker_pool::WorkerPool;
use backoff::Backoff;
use clients::Clients;
use clock::Clock;
use config::Config;
use counter::Counter;
use crossbeam_channel::{bounded, Sender};
use desk::Desk;
use discovery::{Agent, Follower};
use http::Lanes;
use limits::Limits;
use notes::{Door, Note, Wish};
use peers::Peers;
use socket2::SockRef;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// What the limiter's threads share.
pub struct Shop {
    pub limits: Arc<Limits>,
    pub lanes: Lanes,
    pub door: Arc<Door>,
    pub pool: Arc<Pool>,
    pub clients: Clients,
    /// Whether clients are still there, and what became of queries whose clients are not.
    pub watch: DisconnectWatcher,
    pub departures: DisconnectMetrics,
    workers: WorkerPool,
    started: Instant,
    /// When a connection was last taken in, as `age` tells it.
    accepted: AtomicU64,
    draining: AtomicBool,
    stopped: AtomicBool,
}

impl Shop {
    /// Milliseconds since the start.
    pub fn age(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// A limiter at work.
pub struct Limiter {
    shop: Arc<Shop>,
    addr: SocketAddr,
    agent: Arc<Agent>,
    wish: Sender<Wish>,
    counts: bool,
}

impl Limiter {
    pub fn start(config: Config) -> Result<Limiter, String> {
        let limits = Arc::new(Limits::of(&config));
        let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        // Bound first: the machine holds connections from here on, and each is taken in.
        let listener = TcpListener::bind(config.listen).map_err(failed("listen"))?;
        // The standard library lets 128 wait; a front that comes back with all its clients brings more,
        // and whom the machine turns away comes again a second later.
        let _ = SockRef::from(&listener).listen(limits.backlog);
        let addr = listener.local_addr().map_err(failed("listen"))?;

        // The desk's thread waits for the desk, which needs the door to itself.
        let (give, desk) = bounded::<Desk>(1);
        let start = |told| {
            spawn("desk", limits.stack, move || {
                let guard = DeskGuard;
                if let Ok(desk) = desk.recv() {
                    desk.run(&told);
                }
                std::mem::forget(guard);
            })
        };
        let notes = aspendrum_net::mailbox::spawn_receiver(limits.desk_queue, start)
            .map_err(failed("desk"))?;
        let door = Arc::new(Door::new(notes, Clock::start()));
        let shop = Arc::new(Shop {
            lanes: Lanes {
                groups: config.groups,
                plans: config.plans,
                semantics: config.settings.groups.iter().map(|g| g.semantics).collect(),
                instances: f64::from(config.settings.instances),
                units_top: config.settings.max_units,
                load_values: config.settings.load_values.clone(),
            },
            door: door.clone(),
            pool: Arc::new(Pool::new(limits.lines())),
            clients: Clients::default(),
            watch: DisconnectWatcher::default(),
            departures: DisconnectMetrics::default(),
            workers: WorkerPool::new(limits.stack, limits.idle_workers),
            started: Instant::now(),
            accepted: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            limits: limits.clone(),
        });

        let counts = config.counter.is_some();
        let counter = config
            .counter
            .map(|addr| Counter::start(addr, &door, &limits))
            .transpose();
        let counter = counter.map_err(failed("counter"))?;
        let (peers, all) = (config.peers, config.peers_all);
        let listen = config.peer_listen;
        let peers = listen
            .map(|listen| Peers::start(listen, peers, all, &door, limits.stack))
            .transpose();
        let peers = peers.map_err(failed("peer_listen"))?;

        // The list held before comes first of all, as the module expects it.
        let (version, empty) = (config.known.version, config.known.entries.is_empty());
        discovery::tell(&shop, ListKind::Cached, config.known);

        let (wish, wishes) = bounded(limits.orders);
        let desk = Desk::new(
            shop.clone(),
            &config.settings,
            config.seed,
            counter,
            wish.clone(),
            peers,
        );
        give.send(desk).map_err(|e| format!("desk: {e}"))?;
        let asks = config.settings.polls_discovery;
        let (names, own) = (config.names, shop.clone());
        let agent = Arc::new(Agent::at(config.discovery));
        let backoff = Backoff::new(limits.discovery_first, limits.discovery_top, config.seed);
        let (agent_too, fetch) = (agent.clone(), !asks || empty);
        let follower = Follower {
            shop: own,
            agent: agent_too,
            names,
            wishes,
            asks,
            fetch,
            version,
            backoff,
        };
        spawn("discovery", limits.stack, move || follower.run()).map_err(failed("discovery"))?;
        let own = shop.clone();
        let door = move || clients::accept(&own, &listener);
        spawn("door", limits.stack, door).map_err(failed("accept"))?;
        tracing::info!(limiter = config.name, %addr, "listens");
        Ok(Limiter {
            shop,
            addr,
            agent,
            wish,
            counts,
        })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Goes over to the addresses of a new configuration, serving throughout. Everything else in it is for
    /// the next start.
    pub fn reload(&self, config: &Config) -> Result<(), String> {
        if config.counter.is_some() != self.counts {
            return Err("setting Specifics.Counter cannot change while the limiter runs".into());
        }
        if let Some(counter) = config.counter {
            self.shop.door.tell(Note::CounterMoved { to: counter });
        }
        if self.agent.move_to(config.discovery) {
            // Where discovery is only asked, it may be waiting for a wish.
            let _ = self.wish.try_send(Wish::Fetch);
        }
        Ok(())
    }

    /// Answers all that it has taken, then stops.
    pub fn drain(self) {
        shutdown::drain(&self.shop);
        self.stop();
    }

    /// Stops at once.
    pub fn stop(self) {
        self.shop.stopped.store(true, Ordering::Release);
        self.shop.door.tell(Note::Stop);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.addr, self.shop.limits.connect_wait);
    }
}

/// Without its desk a limiter only sheds, for ever: better to end and be started again.
struct DeskGuard;

impl Drop for DeskGuard {
    fn drop(&mut self) {
        tracing::error!("the desk failed");
        std::process::exit(1);
    }
}
