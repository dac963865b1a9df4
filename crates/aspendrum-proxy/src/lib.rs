//! The proxy of the system: carries clients' queries to servers. What it needs to know its agent tells it ahead
//! of time; what a query asks of others is its tenant's count.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod agent;
pub mod answer;
pub mod counts;
pub mod departures;
pub mod desk;
pub mod door;
pub mod drain;
pub mod query;
pub mod stacks;
pub mod standing;
pub mod trust;
pub mod wire;

use agent::Agent;
use aspendrum_model::message::{Readiness, StateDigest};
use aspendrum_model::settings::{Settings, SETTINGS_VARIABLE};
use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::disconnect_metrics::{DisconnectMetrics, DisconnectReporter};
use aspendrum_net::disconnects::DisconnectWatcher;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::pool::{Pool, PoolLimits};
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::{lock, spawn};
use aspendrum_net::worker_pool::WorkerPool;
use aspendrum_reconcile::{MajorityReport, SyncStatus};
use desk::{Desk, BEAT_MS};
use door::Clients;
use drain::Drain;
use standing::Stand;
use std::net::{IpAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use trust::Trust;

const STACK: usize = 128 << 10;
/// Beats to the agent.
const AGENT_EVERY: Duration = Duration::from_millis(250);
/// The same while it is not ready: it may be for want of a licence.
const AGENT_FIRST: Duration = Duration::from_millis(40);
/// An agent that said nothing for so long is gone, and with it the word of control.
const ALONE: Duration = Duration::from_millis(1200);
const SWEEP_EVERY: Duration = Duration::from_millis(1000);
/// Between two collations of the tables: a table that changed under its proxy shows within that.
const COLLATE_EVERY: Duration = Duration::from_millis(2000);
/// A server that does not take a connection for so long is passed over.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// Of the time in which a key that was taken away must be unknown everywhere, what a licence leaves for
/// clocks that drift and threads that wake late.
const LICENCE_MARGIN_MS: f64 = 250.0;
/// Between two looks at how far a planned end has come.
const DRAIN_STEP: Duration = Duration::from_millis(20);
/// For the connection by which a proxy that ends wakes its own listener.
const WAKE_WAIT: Duration = Duration::from_millis(200);

/// What the proxy's threads share.
pub struct Shop {
    pub desk: Desk,
    pub pool: Pool,
    pub clients: Clients,
    pub agent: Agent,
    pub workers: WorkerPool,
    pub stand: Stand,
    /// Whether clients are still there, and what became of requests whose clients are not.
    pub watch: DisconnectWatcher,
    pub departures: DisconnectMetrics,
    trust: Mutex<Trust>,
    pub connect_wait: Duration,
    begun: Instant,
    draining: AtomicBool,
    /// Milliseconds since the start, from which on no new request is taken.
    takes_until: AtomicU64,
    /// Milliseconds since the start, up to which keys are known to hold. Always, where none need be.
    licensed: AtomicU64,
    revoke_ms: Option<f64>,
    accepted: AtomicU64,
    /// When the agent last said that control is heard of.
    heard_at: AtomicU64,
}

impl Shop {
    /// `socket`: for counts.
    pub fn new(settings: &Settings, socket: UdpSocket) -> Shop {
        Shop {
            desk: Desk::new(settings, socket),
            pool: Pool::new(lines(settings)),
            clients: Clients::default(),
            agent: Agent::default(),
            workers: WorkerPool::new(STACK, Duration::from_secs(5)),
            trust: Mutex::default(),
            watch: DisconnectWatcher::default(),
            departures: DisconnectMetrics::default(),
            stand: Stand::new(settings.apply_deadline_ms, settings.unsettled_extension_ms),
            connect_wait: CONNECT_WAIT,
            begun: Instant::now(),
            draining: AtomicBool::new(false),
            takes_until: AtomicU64::new(u64::MAX),
            licensed: AtomicU64::new(0),
            revoke_ms: settings
                .enforces_revocation
                .then_some(settings.revocation_deadline_ms),
            accepted: AtomicU64::new(0),
            heard_at: AtomicU64::new(0),
        }
    }

    fn age(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// New requests are taken: it does not end, or has only begun to.
    pub fn takes_requests(&self) -> bool {
        self.age() < self.takes_until.load(Ordering::Acquire)
    }

    /// Begins a planned end. `grace`: the process is killed after that.
    pub fn begin_drain(&self, grace: Duration) -> Drain {
        let limits = self.desk.view().map(|v| {
            v.config
                .routes
                .iter()
                .map(|r| r.timeout_ms)
                .fold(0.0, f64::max)
        });
        let drain = Drain::new(grace.as_secs_f64() * 1000.0, limits.unwrap_or(0.0));
        self.takes_until
            .store(self.age() + drain.takes_until as u64, Ordering::Release);
        self.draining.store(true, Ordering::Release);
        drain
    }

    pub fn licensed(&self) -> bool {
        self.revoke_ms.is_none() || self.age() < self.licensed.load(Ordering::Acquire)
    }

    /// The agent's word: `age` milliseconds before it answered, a majority of control's disks held nothing above
    /// `of`. Counted from when it was asked, so that a word which came late does not count for more.
    pub fn told(&self, stamp: u64, age: Option<u32>, of: StateDigest, deserted: bool) {
        let word = age.map(|age| MajorityReport {
            decided: of,
            as_of: stamp as f64 - f64::from(age),
        });
        let standing = self.stand.told(self.age() as f64, word, deserted);
        // Keys are licensed by what is in force here, not by what was sent.
        let (Some(age), Some(revoke), SyncStatus::Current) = (age, self.revoke_ms, standing) else {
            return;
        };
        let end = stamp as f64 - f64::from(age) + revoke - LICENCE_MARGIN_MS;
        self.licensed
            .fetch_max(end.max(0.0) as u64, Ordering::AcqRel);
    }

    /// Collates the tables that queries go by.
    pub fn collate(&self) {
        self.stand.applied(self.age() as f64, self.desk.edition());
    }

    /// Whether a once-only query may leave for a server now: only while what is in force is what was decided.
    pub fn runs_once_only(&self) -> bool {
        self.stand.runs_once_only(self.age() as f64)
    }

    /// How long a connection may have rested for a once-only query.
    pub fn rest(&self) -> Duration {
        let most = lock(&self.trust).most(self.age() as f64);
        most.map_or(Duration::MAX, |ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// A query on a kept connection was reset before a byte came back.
    pub fn forgotten(&self, rested: Duration) {
        lock(&self.trust).broke(self.age() as f64, rested.as_secs_f64() * 1000.0);
    }

    pub fn heard(&self, heard: bool) {
        if heard {
            self.heard_at.store(self.age(), Ordering::Release);
        }
    }

    /// Whether clients may be sent here.
    fn readiness(&self) -> Readiness {
        match (self.draining(), self.desk.knows() && self.licensed()) {
            (false, true) => Readiness::Ready,
            (true, true) if self.takes_requests() => Readiness::Draining,
            _ => Readiness::Closed,
        }
    }

    fn ready(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    pub fn accepted(&self) {
        self.accepted.store(self.age(), Ordering::Release);
    }
}

/// Runs the proxy until it is told to end.
pub fn serve(told: ProcessSignals) -> Result<(), String> {
    let settings = Settings::load().map_err(|e| e.to_string())?;
    let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let front = settings.proxy_addr.ok_or("net.binds.front is missing")?;
    let socket = UdpSocket::bind(SocketAddrV4::new(settings.ip, settings.counter_port()));
    let socket = socket.map_err(failed("count port"))?;
    let heard = socket.try_clone().map_err(failed("count port"))?;
    let shop = Arc::new(Shop::new(&settings, socket));
    if let Some(at) = settings.readiness_addr {
        let own = shop.clone();
        let serve = move |request: aspendrum_net::http1::Request| match request.path.as_str() {
            "/api/readyz" => Reply::plain(if own.ready() { 200 } else { 503 }),
            _ => Reply::plain(404),
        };
        http_server::listen(at, terms(), serve).map_err(failed("readyz"))?;
    }
    let own = shop.clone();
    let figures = move |request: aspendrum_net::http1::Request| match request.path.as_str() {
        "/metrics" => Reply::text(own.departures.text()),
        _ => Reply::plain(404),
    };
    let at = SocketAddrV4::new(settings.ip, settings.metrics_port());
    if let Err(e) = http_server::listen(at, terms(), figures) {
        // Requests are served without anybody looking on.
        log::warn!("event=metrics_not_bound at={at} why=\"{e}\"");
    }
    let own = shop.clone();
    spawn("counts", STACK, move || counts(&own, &heard)).map_err(failed("counts"))?;
    agent::hold(&shop, &settings, front).map_err(failed("agent"))?;
    let own = shop.clone();
    spawn("beat", STACK, move || beat(&own)).map_err(failed("beat"))?;
    let own = shop.clone();
    spawn("door", STACK, move || open(&own, front)).map_err(failed("door"))?;
    log::info!("event=started host={} front={front}", settings.host_name);

    // Nothing in the settings that a proxy uses may change while it runs: seeds are its agent's.
    let reload =
        || Settings::load().map(|s| log::info!("event=settings_read host={}", s.host_name));
    told.wait_for_shutdown(std::env::var(SETTINGS_VARIABLE).unwrap_or_default(), reload)
        .map_err(|e| e.to_string())?;
    drain(
        &shop,
        front,
        Duration::from_secs_f64(settings.shutdown_grace_s),
    );
    log::info!("event=ended");
    Ok(())
}

/// Of short calls by the platform.
fn terms() -> ServerOptions {
    let bounds = MessageLimits {
        head_bytes: 8 << 10,
        body_bytes: 1 << 10,
    };
    let (idle, workers) = (Duration::from_secs(10), Duration::from_secs(5));
    ServerOptions {
        stack_bytes: STACK,
        limits: bounds,
        idle_timeout: idle,
        worker_idle_timeout: workers,
    }
}

fn lines(settings: &Settings) -> PoolLimits {
    PoolLimits {
        max_connections: settings.max_open_files as usize / 3,
        min_idle: Duration::from_millis(2),
        connection: ConnectionOptions {
            initial_buffer_bytes: 4 << 10,
            max_buffer_bytes: 128 << 20,
            min_timeout: Duration::from_millis(1),
            write_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(4),
        },
    }
}

/// Clients are taken in once all that they need is there.
fn open(shop: &Arc<Shop>, at: SocketAddrV4) {
    while !shop.ready() {
        sleep(Duration::from_millis(20));
    }
    match TcpListener::bind(at) {
        Ok(listener) => {
            log::info!("event=open front={at}");
            door::accept(shop, listener);
        }
        Err(e) => {
            log::error!("event=front_not_bound why=\"{e}\"");
            std::process::exit(1);
        }
    }
}

/// Datagrams of other proxies.
fn counts(shop: &Shop, socket: &UdpSocket) {
    let mut space = [0; 64];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut space) else {
            continue;
        };
        let (Ok(word), IpAddr::V4(ip)) = (postcard::from_bytes(&space[..n]), from.ip()) else {
            continue;
        };
        if let Some(answer) = shop.desk.heard(ip, word) {
            shop.desk.send(ip, &answer);
        }
    }
}

/// What is due, for as long as the process lives: the module's beat, probes, words to the agent.
pub fn beat(shop: &Arc<Shop>) {
    let every = Duration::from_secs_f64(BEAT_MS / 1000.0);
    let (mut told, mut swept, mut last) = (Instant::now(), Instant::now(), Readiness::Closed);
    let mut collated = Instant::now();
    let mut report = DisconnectReporter::default();
    loop {
        sleep(every);
        if shop.watch.is_due() {
            departures::look(shop);
            report
                .next_line(&shop.departures)
                .iter()
                .for_each(|line| log::info!("{line}"));
        }
        for server in shop.desk.beat() {
            let own = shop.clone();
            let _ = shop
                .workers
                .run(Box::new(move || query::probe(&own, server)));
        }
        let turned = last != shop.readiness();
        let every = if last == Readiness::Ready {
            AGENT_EVERY
        } else {
            AGENT_FIRST
        };
        if turned || told.elapsed() >= every {
            (told, last) = (Instant::now(), shop.readiness());
            let silent = shop
                .age()
                .saturating_sub(shop.heard_at.load(Ordering::Acquire));
            shop.desk.alone(silent > ALONE.as_millis() as u64);
            if collated.elapsed() >= COLLATE_EVERY {
                collated = Instant::now();
                shop.collate();
            }
            shop.agent.beat(shop.age(), last, shop.stand.edition());
        }
        if swept.elapsed() >= SWEEP_EVERY {
            swept = Instant::now();
            shop.pool.close_expired();
        }
    }
}

/// A planned end: clients are sent elsewhere, after a while no request is taken any more, and what is in hand is
/// finished.
fn drain(shop: &Shop, front: SocketAddrV4, grace: Duration) {
    let begun = Instant::now();
    let drain = shop.begin_drain(grace);
    log::info!(
        "event=draining connections={} takes_ms={}",
        shop.clients.count(),
        drain.takes_until
    );
    let mut woken = false;
    loop {
        sleep(DRAIN_STEP);
        let since = begun.elapsed().as_secs_f64() * 1000.0;
        if drain.closes_idle(since) {
            shop.clients.close_idle();
        }
        if !shop.takes_requests() && !std::mem::replace(&mut woken, true) {
            // The listener closes with the next newcomer: whoever comes later is refused and goes elsewhere at once.
            let _ = TcpStream::connect_timeout(&front.into(), WAKE_WAIT);
        }
        let quiet = shop
            .age()
            .saturating_sub(shop.accepted.load(Ordering::Acquire)) as f64;
        if drain.ended(since, shop.clients.count(), quiet) {
            return;
        }
    }
}
