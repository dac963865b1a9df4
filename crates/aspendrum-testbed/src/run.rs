//! One run of a scenario: everything started and linked, the traffic and the faults, the record and its
//! verdict.

use crate::clients::{self, ClientPool, Customer};
use crate::config::{self, LimiterAddresses};
use crate::process::Process;
use crate::program::Program;
use crate::scenario::{Path as LinkPath, Scenario, Way, What, Which};
use crate::timeline::{self, FaultTransition};
use aspendrum_checker::limiter::{self, check, ExemptPeriod, Query, Record, RuleLimits, Verdict};
use aspendrum_checker::Millis;
use aspendrum_fake_services::counter::{self, Counter};
use aspendrum_fake_services::discovery::{self, Discovery, Health};
use aspendrum_fake_services::server::{self, RateServer, ServerLog};
use aspendrum_fake_services::{lock, Clock};
use aspendrum_fault_proxy::{Fault, Link, LinkStats, Mesh, Relay};
use futures_util::future::join_all;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::Signal;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const LISTEN: u16 = 9000;
const PEER_LISTEN: u16 = 7946;
/// Held as long as a run goes on, so that no other run takes the same addresses.
const CLAIM: u16 = 9;
/// A limiter that is not ready by then has failed to start.
const READY: Duration = Duration::from_secs(30);
/// After a SIGTERM at the end of the run, until it must have ended.
const END: Duration = Duration::from_secs(10);
/// Between a listener's close and the end of its process, milliseconds.
const CLOSING: Millis = 100.0;
/// After a cut, until a relay has reset whoever tried to connect meanwhile, milliseconds.
const HEALING: Millis = 200.0;
/// Between the fleet's readiness and the first query.
const SETTLE: Duration = Duration::from_millis(300);

/// What passed between the parts of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams between limiters: sent, bytes, lost or cut off.
    pub datagrams: LinkStats,
    /// Calls of the counter.
    pub counter: counter::CounterStats,
    /// Calls of discovery.
    pub discovery: discovery::DiscoveryStats,
}

/// What a run came to.
pub struct Outcome {
    /// What clients and servers saw.
    pub record: Record,
    /// What the checker says of it.
    pub verdict: Verdict,
    /// What went over the network.
    pub traffic: Traffic,
    /// Memory of each limiter at the end of the traffic, KiB, and processor time of all, seconds.
    pub memory_kb: Vec<u64>,
    /// Processor time of all limiters, in seconds.
    pub cpu_s: f64,
    /// Limiters that ended unasked, panicked, did not start or did not end in good order.
    pub failures: Vec<String>,
}

impl Outcome {
    /// The length of the traffic, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.record.to - self.record.from) / 1000.0
    }

    /// Every failure, broken rule and passed bound, in words.
    pub fn broken(&self, s: &Scenario) -> Vec<String> {
        let mut all = self.failures.clone();
        let rule = |b: &aspendrum_checker::limiter::Breach| {
            format!(
                "rule {} at {:.1} s: {}",
                b.rule,
                (b.at - self.record.from) / 1000.0,
                b.description
            )
        };
        all.extend(self.verdict.breaches.iter().map(rule));
        let (v, b) = (&self.verdict, &s.bounds);
        let mut over = |name: &str, value: f64, most: Option<f64>| {
            let passed = most.filter(|most| value > *most);
            all.extend(passed.map(|most| format!("{name} is {value:.3}, and may be {most}")));
        };
        over(
            "granted over quota",
            v.total_use.quota_utilization,
            b.over_quota,
        );
        over(
            "the worst window over burst",
            v.total_use.peak_burst_ratio,
            b.peak_over_burst,
        );
        over(
            "refused with room, of what had room,",
            v.refused_with_room(),
            b.refused_with_room,
        );
        over(
            "forwards a query",
            v.forwards_per_query,
            b.forwards_per_query,
        );
        let late = v
            .recoveries
            .iter()
            .map(|r| r.time.unwrap_or(f64::INFINITY) / 1000.0)
            .fold(0.0, f64::max);
        over("seconds to recover", late, b.recovery_s);
        let short = b
            .under_quota
            .filter(|least| v.total_use.quota_utilization < *least);
        let told = |least| {
            format!(
                "granted over quota is {:.3}, and must be {least}",
                v.total_use.quota_utilization
            )
        };
        all.extend(short.map(told));
        all
    }

    /// Whether no rule and no bound was broken.
    pub fn good(&self, s: &Scenario) -> bool {
        self.broken(s).is_empty()
    }
}

/// [`run`] on a runtime of its own, ended by an interrupt like by any other failure: with all it has started.
pub fn play(
    scenario: &Scenario,
    start: &Program,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    runtime.block_on(async {
        tokio::select! {
            done = run(scenario, start, folder, progress) => done,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

struct Slot {
    process: Option<Process>,
    starts: u64,
}

/// Everything of a run that the timeline moves.
struct Fleet {
    scenario: Arc<Scenario>,
    clock: Clock,
    folder: PathBuf,
    start: Program,
    servers: Vec<Arc<RateServer>>,
    counter: Arc<Counter>,
    discovery: Arc<Discovery>,
    mesh: Mesh,
    /// By limiter: the clients' way to it, its ways to the counter and to discovery, and to each server.
    front: Vec<Relay>,
    to_counter: Vec<Relay>,
    to_discovery: Vec<Relay>,
    to_servers: Vec<Vec<Relay>>,
    listens: Vec<SocketAddr>,
    peer_listens: Vec<SocketAddr>,
    slots: Vec<tokio::sync::Mutex<Slot>>,
    /// The beginnings of the faults that have not ended.
    standing: Mutex<Vec<FaultTransition>>,
    excuses: Mutex<Vec<ExemptPeriod>>,
    failures: Mutex<Vec<String>>,
    _claim: TcpListener,
}

/// Plays the scenario; what the limiters wrote and were told stands in `folder`.
pub async fn run(
    scenario: &Scenario,
    start: &Program,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, String> {
    let told = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    raise_descriptors();
    std::fs::create_dir_all(folder).map_err(told("the folder of the run"))?;
    let fleet = Arc::new(
        Fleet::build(scenario, start, folder)
            .await
            .map_err(told("the stand-ins"))?,
    );
    progress(&format!("{} limiters start", scenario.limiters.count));
    fleet.start_all().await?;
    sleep(SETTLE).await;

    let customers = Arc::new(clients::customers(scenario));
    let addrs = fleet.front.iter().map(Relay::addr).collect();
    let front = Arc::new(ClientPool::new(fleet.clock, addrs));
    let from = fleet.clock.now();
    let plan = clients::plan_queries(scenario, &customers, from);
    progress(&format!(
        "{} queries over {:.0} s",
        plan.len(),
        scenario.seconds
    ));
    let faults = tokio::spawn(fleet.clone().play(from));
    let queries = traffic(&fleet, &front, &customers, plan).await;
    let to = from + scenario.seconds * 1000.0;
    faults.await.map_err(|e| format!("the timeline: {e}"))?;

    let (memory_kb, cpu_s) = fleet.weigh().await;
    fleet.end_all().await;
    let record = fleet.record(&customers, queries, from, to);
    let failures = fleet.failures();
    Ok(Outcome {
        verdict: check(&record),
        record,
        traffic: fleet.traffic(),
        memory_kb,
        cpu_s,
        failures,
    })
}

/// A run of forty limiters holds some thousands of sockets.
fn raise_descriptors() {
    if let Ok((_, most)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, most, most);
    }
}

/// Addresses that no other run on this machine holds.
fn claim() -> std::io::Result<(u8, u8, TcpListener)> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut last = None;
    for _ in 0..200 {
        let n = std::process::id()
            .wrapping_mul(31)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let (a, b) = (64 + (n / 250 % 100) as u8, (n % 250) as u8);
        match TcpListener::bind((Ipv4Addr::new(127, a, b, 254), CLAIM)) {
            Ok(held) => return Ok((a, b, held)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or(std::io::ErrorKind::AddrInUse.into()))
}

async fn traffic(
    fleet: &Arc<Fleet>,
    front: &Arc<ClientPool>,
    customers: &Arc<Vec<Customer>>,
    plan: Vec<clients::PlannedQuery>,
) -> Vec<Query> {
    let mut tasks = JoinSet::new();
    for query in plan {
        sleep_until(moment(fleet.clock, query.at)).await;
        let (front, customers, scenario) =
            (front.clone(), customers.clone(), fleet.scenario.clone());
        tasks.spawn(async move { front.send(&scenario, &customers, &query).await });
    }
    tasks.join_all().await
}

fn moment(clock: Clock, at: Millis) -> Instant {
    Instant::from_std(clock.started_at() + Duration::from_secs_f64(at.max(0.0) / 1000.0))
}

#[expect(clippy::disallowed_methods, reason = "discovery tells moments so")]
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Fleet {
    async fn build(s: &Scenario, start: &Program, folder: &Path) -> std::io::Result<Fleet> {
        let (a, b, claim) = claim()?;
        let (n, clock) = (s.limiters.count, Clock::start());
        let own = |n: usize, port| SocketAddr::from((Ipv4Addr::new(127, a, b, n as u8 + 1), port));
        let shared = ServerLog::new(clock);
        let mut servers = Vec::new();
        for number in 0..s.servers.count {
            servers
                .push(RateServer::start(HERE, number, figures(s), s.seed, shared.clone()).await?);
        }
        let told = counter::CounterOptions {
            calls_per_second: s.counter.calls_per_s,
            max_wait: Duration::from_secs_f64(s.counter.busy_after_ms / 1000.0),
        };
        let counter = Counter::start(HERE, told, clock).await?;
        let zones: Vec<usize> = (0..s.servers.count).map(|server| s.zone(server)).collect();
        let discovery = Discovery::new(clock, &zones);
        discovery.change_faults(|a| {
            (a.delay_ms, a.max_calls_per_second) = (s.discovery.late_ms, s.discovery.calls_per_s)
        });
        let listens: Vec<SocketAddr> = (0..n).map(|n| own(n, LISTEN)).collect();
        let peer_listens: Vec<SocketAddr> = (0..n).map(|n| own(n, PEER_LISTEN)).collect();
        let mut mesh = Mesh::bind(HERE, n).await?;
        mesh.start(&peer_listens);
        let (mut front, mut to_counter, mut to_discovery) = (Vec::new(), Vec::new(), Vec::new());
        let mut to_servers = Vec::new();
        for (limiter, listen) in listens.iter().enumerate() {
            let mut relays = Vec::new();
            for server in &servers {
                relays.push(Relay::start(HERE, server.addr()).await?);
            }
            let dials = relays.iter().map(Relay::addr).collect();
            to_discovery.push(
                Relay::start(HERE, discovery.start_agent(HERE, limiter, dials).await?).await?,
            );
            to_counter.push(Relay::start(HERE, counter.addr()).await?);
            front.push(Relay::start(HERE, *listen).await?);
            to_servers.push(relays);
        }
        let slots = (0..n)
            .map(|_| {
                tokio::sync::Mutex::new(Slot {
                    process: None,
                    starts: 0,
                })
            })
            .collect();
        Ok(Fleet {
            scenario: Arc::new(s.clone()),
            clock,
            folder: folder.to_path_buf(),
            start: start.clone(),
            servers,
            counter,
            discovery,
            mesh,
            front,
            to_counter,
            to_discovery,
            to_servers,
            listens,
            peer_listens,
            slots,
            standing: Mutex::default(),
            excuses: Mutex::default(),
            failures: Mutex::default(),
            _claim: claim,
        })
    }

    fn failed(&self, what: String) {
        lock(&self.failures).push(what);
    }

    async fn start_all(self: &Arc<Fleet>) -> Result<(), String> {
        let mut tasks = JoinSet::new();
        for me in 0..self.slots.len() {
            let fleet = self.clone();
            tasks.spawn(async move { fleet.start_one(me).await });
        }
        tasks.join_all().await.into_iter().collect()
    }

    /// Starts it from nothing and waits until it takes queries.
    async fn start_one(&self, me: usize) -> Result<(), String> {
        let mut slot = self.slots[me].lock().await;
        self.start_in(me, &mut slot).await
    }

    async fn start_in(&self, me: usize, slot: &mut Slot) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("limiter {me} does not start: {e}");
        slot.starts += 1;
        let seed = self.scenario.seed << 32 | (me as u64) << 16 | slot.starts;
        let dials: Vec<SocketAddr> = self.to_servers[me].iter().map(Relay::addr).collect();
        let addresses = LimiterAddresses {
            listen: self.listens[me],
            discovery: self.to_discovery[me].addr(),
            counter: self.to_counter[me].addr(),
            peer_listen: self.peer_listens[me],
            peers: self.mesh.peers(me).map_err(failed)?,
            broadcast: self.mesh.broadcast_addr(me).map_err(failed)?,
            initial_list: self.discovery.initial_list(&dials),
        };
        let config = self.folder.join(format!("n{me}.json"));
        let text = config::limiter_config(&self.scenario, me, seed, &addresses).to_string();
        std::fs::write(&config, text).map_err(failed)?;
        let log = self.folder.join(format!("n{me}.log"));
        slot.process = Some(Process::start(&self.start, &config, &log).map_err(failed)?);
        let until = Instant::now() + READY;
        while Instant::now() < until {
            if ready(self.listens[me]).await {
                return Ok(());
            }
            if let Some(status) = slot.process.as_mut().and_then(Process::exit_status) {
                slot.process = None;
                return Err(format!("limiter {me} ended at its start: {status}"));
            }
            sleep(Duration::from_millis(10)).await;
        }
        Err(format!("limiter {me} is not ready after {READY:?}"))
    }

    /// The timeline, to its last moment.
    async fn play(self: Arc<Fleet>, from: Millis) {
        let mut tasks = JoinSet::new();
        for m in timeline::transitions(&self.scenario) {
            sleep_until(moment(self.clock, from + m.at)).await;
            // Starts and ends of processes take their time, and the next moment does not wait for them.
            let fleet = self.clone();
            tasks.spawn(async move { fleet.turn(m).await });
        }
        tasks.join_all().await;
    }

    async fn turn(&self, m: FaultTransition) {
        let s = &*self.scenario;
        {
            let mut standing = lock(&self.standing);
            standing.retain(|other| other.occurrence != m.occurrence);
            let what = &s.faults[m.fault].what;
            standing.extend((m.begins && !what.at_once()).then_some(m));
        }
        match &s.faults[m.fault].what {
            What::Link {
                path,
                of,
                to,
                way,
                reset,
                cut,
                lose,
                delay_ms,
                jitter_ms,
                reorder,
                twice,
            } => {
                let fault = Fault {
                    is_cut: *cut,
                    refuses_connections: false,
                    loss: *lose,
                    delay_ms: *delay_ms,
                    jitter_ms: *jitter_ms,
                    reordering: *reorder,
                    duplication: *twice,
                };
                let links = self.links(*path, of, to, *way);
                if m.begins {
                    self.excuse_links(*path, of, to, m);
                }
                for link in links {
                    match m.begins {
                        true if fault != Fault::default() => link.set_fault(m.occurrence, fault),
                        true => {}
                        false => link.clear_fault(m.occurrence),
                    }
                    if *reset && m.begins {
                        link.reset_connections();
                    }
                }
            }
            What::Kill { of } => {
                self.each(of, |me| self.down(me, Signal::SIGKILL, m.begins))
                    .await
            }
            What::Term { of } => {
                self.each(of, |me| self.down(me, Signal::SIGTERM, m.begins))
                    .await
            }
            What::Stall { of } => self.each(of, |me| self.stall(me, m)).await,
            What::Server {
                of, drain, gone, ..
            } => {
                self.ail_servers();
                if *drain || *gone {
                    for n in of.of(s.servers.count, s.limiters.zones) {
                        self.replace(n, *drain, m.begins).await;
                    }
                }
            }
            What::Counter {
                emptied, replaced, ..
            } => {
                self.ail_counter();
                match (m.begins, emptied, replaced) {
                    (true, _, true) => self.counter.replace(),
                    (true, true, _) => self.counter.clear(),
                    _ => {}
                }
            }
            What::Discovery { .. } => self.ail_discovery(),
        }
    }

    /// The faults that stand now.
    fn standing(&self) -> Vec<&What> {
        lock(&self.standing)
            .iter()
            .map(|m| &self.scenario.faults[m.fault].what)
            .collect()
    }

    /// Sums of the faults that stand on each server: the slowest, and every share by itself.
    fn ail_servers(&self) {
        let s = &self.scenario;
        let mut all = vec![server::RateServerFaults::default(); s.servers.count];
        for what in self.standing() {
            let What::Server {
                of,
                slow,
                failing,
                resetting,
                silent,
                drain,
                ..
            } = what
            else {
                continue;
            };
            for n in of.of(s.servers.count, s.limiters.zones) {
                let a = &mut all[n];
                a.slowdown = a.slowdown.max(*slow);
                a.error_share = a.error_share.max(*failing);
                a.reset_share = a.reset_share.max(*resetting);
                (a.is_silent, a.is_draining) = (a.is_silent || *silent, a.is_draining || *drain);
            }
        }
        for (server, ails) in self.servers.iter().zip(all) {
            server.change_faults(|a| *a = ails);
        }
    }

    fn ail_counter(&self) {
        let mut all = counter::CounterFaults::default();
        for what in self.standing() {
            let What::Counter {
                silent,
                slow_ms,
                busy,
                ..
            } = what
            else {
                continue;
            };
            (all.is_silent, all.is_busy) = (all.is_silent || *silent, all.is_busy || *busy);
            all.extra_ms = all.extra_ms.max(*slow_ms);
        }
        self.counter.change_faults(|a| *a = all);
    }

    fn ail_discovery(&self) {
        let usual = &self.scenario.discovery;
        let (late_ms, calls_per_s) = (usual.late_ms, usual.calls_per_s);
        let mut all = discovery::DiscoveryFaults {
            is_silent: false,
            delay_ms: late_ms,
            is_stale: false,
            max_calls_per_second: calls_per_s,
        };
        for what in self.standing() {
            let What::Discovery {
                silent,
                late_ms,
                stale,
                calls_per_s,
            } = what
            else {
                continue;
            };
            (all.is_silent, all.is_stale) = (all.is_silent || *silent, all.is_stale || *stale);
            all.delay_ms = all.delay_ms.max(*late_ms);
            all.max_calls_per_second = if *calls_per_s > 0.0 {
                *calls_per_s
            } else {
                all.max_calls_per_second
            };
        }
        self.discovery.change_faults(|a| *a = all);
    }

    /// The same for each of these limiters, all at once.
    async fn each<F: Future<Output = ()>>(&self, of: &Which, what: impl Fn(usize) -> F) {
        let s = &self.scenario;
        join_all(
            of.of(s.limiters.count, s.limiters.zones)
                .into_iter()
                .map(what),
        )
        .await;
    }

    /// Ends it, or starts it again.
    async fn down(&self, me: usize, signal: Signal, begins: bool) {
        let mut slot = self.slots[me].lock().await;
        if !begins {
            if slot.process.is_some() {
                return;
            }
            return match self.start_in(me, &mut slot).await {
                Ok(()) => self.pardon(me),
                Err(text) => self.failed(text),
            };
        }
        let Some(process) = slot.process.as_mut() else {
            return;
        };
        let asked = self.clock.now();
        let _ = process.signal(signal);
        let ended = process.wait().await;
        slot.process = None;
        match signal {
            // What it held is lost from the first moment on.
            Signal::SIGKILL => self.excuse(me, None, asked, f64::INFINITY),
            // Whatever it took before it ended has its answer.
            _ => self.excuse(me, None, self.clock.now() - CLOSING, f64::INFINITY),
        }
        if let Ok(status) = ended {
            if signal == Signal::SIGTERM && !status.success() {
                self.failed(format!(
                    "limiter {me} ended badly after a SIGTERM: {status}"
                ));
            }
        }
    }

    async fn stall(&self, me: usize, m: FaultTransition) {
        let slot = self.slots[me].lock().await;
        let Some(process) = &slot.process else { return };
        let signal = if m.begins {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        if m.begins {
            self.excuse(me, None, self.clock.now(), f64::INFINITY);
        }
        if let Err(e) = process.signal(signal) {
            self.failed(format!("limiter {me} could not be sent {signal}: {e}"));
        }
        if !m.begins {
            self.pardon(me);
        }
    }

    async fn replace(&self, n: usize, drain: bool, begins: bool) {
        if begins {
            let health = if drain {
                Health::Terminating
            } else {
                Health::Terminated
            };
            self.discovery.set_health(n, health, None);
            if !drain {
                self.servers[n].kill();
            }
            return;
        }
        self.servers[n].kill();
        match self.servers[n].restart().await {
            Ok(Some(_)) => self
                .discovery
                .set_health(n, Health::InService, Some(unix_ms())),
            Ok(None) => {}
            Err(e) => self.failed(format!("stand-in server {n} does not come back: {e}")),
        }
    }

    fn excuse(&self, limiter: usize, server: Option<usize>, from: Millis, to: Millis) {
        lock(&self.excuses).push(ExemptPeriod {
            limiter,
            server,
            from,
            to,
        });
    }

    /// It takes queries again.
    fn pardon(&self, me: usize) {
        let now = self.clock.now();
        let open =
            |e: &&mut ExemptPeriod| e.limiter == me && e.server.is_none() && e.to == f64::INFINITY;
        lock(&self.excuses)
            .iter_mut()
            .filter(open)
            .for_each(|e| e.to = now);
    }

    fn excuse_links(&self, path: LinkPath, of: &Which, to: &Which, m: FaultTransition) {
        let s = &self.scenario;
        let now = self.clock.now();
        let until = s.faults[m.fault]
            .for_s
            .map_or(f64::INFINITY, |lasts| now + lasts * 1000.0 + HEALING);
        for me in of.of(s.limiters.count, s.limiters.zones) {
            match path {
                LinkPath::Front => self.excuse(me, None, now, until),
                LinkPath::Servers => {
                    self.to_which(to)
                        .into_iter()
                        .for_each(|server| self.excuse(me, Some(server), now, until));
                }
                _ => {}
            }
        }
    }

    /// Servers, all of them where none is named.
    fn to_which(&self, to: &Which) -> Vec<usize> {
        let (count, zones) = (self.servers.len(), self.scenario.limiters.zones);
        if to.is_nobody() {
            (0..count).collect()
        } else {
            to.of(count, zones)
        }
    }

    fn links(&self, path: LinkPath, of: &Which, to: &Which, way: Way) -> Vec<Arc<Link>> {
        let s = &self.scenario;
        let mut links = Vec::new();
        let (there, back) = (way != Way::Back, way != Way::There);
        for a in of.of(s.limiters.count, s.limiters.zones) {
            let relays: Vec<&Relay> = match path {
                LinkPath::Limiters => {
                    for b in to
                        .of(s.limiters.count, s.limiters.zones)
                        .into_iter()
                        .filter(|b| *b != a)
                    {
                        links.extend(there.then(|| self.mesh.link(a, b).clone()));
                        links.extend(back.then(|| self.mesh.link(b, a).clone()));
                    }
                    continue;
                }
                LinkPath::Counter => vec![&self.to_counter[a]],
                LinkPath::Discovery => vec![&self.to_discovery[a]],
                LinkPath::Front => vec![&self.front[a]],
                LinkPath::Servers => self
                    .to_which(to)
                    .into_iter()
                    .map(|n| &self.to_servers[a][n])
                    .collect(),
            };
            for relay in relays {
                links.extend(there.then(|| relay.forward.clone()));
                links.extend(back.then(|| relay.backward.clone()));
            }
        }
        links
    }

    /// Whoever runs: its memory, and the processor time of all.
    async fn weigh(&self) -> (Vec<u64>, f64) {
        let (mut memory, mut cpu) = (Vec::new(), 0.0);
        for (me, slot) in self.slots.iter().enumerate() {
            let mut slot = slot.lock().await;
            let Some(process) = slot.process.as_mut() else {
                continue;
            };
            if let Some(status) = process.exit_status() {
                self.failed(format!("limiter {me} ended unasked: {status}"));
                slot.process = None;
                continue;
            }
            memory.extend(process.resident_memory_kb());
            cpu += process.cpu_seconds().unwrap_or(0.0);
        }
        (memory, cpu)
    }

    /// A planned end of all, which each must come to in good order.
    async fn end_all(self: &Arc<Fleet>) {
        let all = Which::all();
        self.each(&all, |me| async move {
            let mut slot = self.slots[me].lock().await;
            let Some(mut process) = slot.process.take() else {
                return;
            };
            let _ = process.signal(Signal::SIGCONT);
            let _ = process.signal(Signal::SIGTERM);
            match timeout(END, process.wait()).await {
                Ok(Ok(status)) if status.success() => {}
                Ok(Ok(status)) => self.failed(format!(
                    "limiter {me} ended badly after a SIGTERM: {status}"
                )),
                Ok(Err(e)) => self.failed(format!("limiter {me}: {e}")),
                Err(_) => {
                    self.failed(format!(
                        "limiter {me} had not ended {END:?} after a SIGTERM"
                    ));
                    process.kill().await;
                }
            }
        })
        .await;
        for me in 0..self.slots.len() {
            let log =
                std::fs::read_to_string(self.folder.join(format!("n{me}.log"))).unwrap_or_default();
            if let Some(line) = log.lines().find(|line| bad(line)) {
                self.failed(format!("limiter {me}: {line}"));
            }
        }
    }

    fn failures(&self) -> Vec<String> {
        lock(&self.failures).clone()
    }

    fn traffic(&self) -> Traffic {
        let (n, mut datagrams) = (self.slots.len(), LinkStats::default());
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from) {
                let c = self.mesh.link(from, to).stats();
                datagrams.messages += c.messages;
                datagrams.bytes += c.bytes;
                datagrams.lost += c.lost;
            }
        }
        Traffic {
            datagrams,
            counter: self.counter.stats(),
            discovery: self.discovery.stats(),
        }
    }

    fn record(
        &self,
        customers: &[Customer],
        queries: Vec<Query>,
        from: Millis,
        to: Millis,
    ) -> Record {
        let s = &self.scenario;
        let customer = |(n, c): (usize, &Customer)| {
            let (plan, of) = (&s.plans[c.plan], &s.customers[c.entry]);
            limiter::Customer {
                name: format!("{}-{n}", plan.name),
                rate: plan.rate / 1000.0,
                burst: plan.burst,
                limit_rate: plan.ceiling_rate / 1000.0,
                limit_burst: plan.ceiling_burst,
                demand_rate: of.queries_per_s * of.units / 1000.0,
            }
        };
        let server = limiter::Server {
            cores: s.servers.cores as f64,
            slow_start_capacity: s.servers.cold_share,
            slow_start: s.servers.ramp_s * 1000.0,
        };
        let group = |g: &crate::scenario::Group| limiter::Group {
            name: g.name.clone(),
            retry_safety: g.repeats,
            mean_work: g.work_ms,
        };
        let shared = self.servers.first().map(|s| s.log());
        Record {
            limits: RuleLimits {
                drain_grace: s.rules.drain_grace_s * 1000.0 + 50.0,
                collapse_multiple: s.rules.fall_multiple,
                collapse_window: s.rules.fall_s * 1000.0,
                limit_slack: config::HARD_LIMIT_SLACK,
                ..RuleLimits::default()
            },
            groups: s.groups.iter().map(group).collect(),
            customers: customers.iter().enumerate().map(customer).collect(),
            servers: vec![server; s.servers.count],
            queries,
            forwards: shared.map_or(Vec::new(), |s| s.forwards()),
            discovery_updates: self.discovery.updates(),
            incarnations: self.servers.iter().flat_map(|s| s.incarnations()).collect(),
            exempt_periods: lock(&self.excuses).clone(),
            faults: timeline::fault_periods(s, from),
            from,
            to,
        }
    }
}

fn figures(s: &Scenario) -> server::RateServerOptions {
    let groups = s
        .groups
        .iter()
        .map(|g| (g.name.clone(), (g.work_ms, g.repeats)));
    server::RateServerOptions {
        cores: s.servers.cores,
        queue_capacity: s.servers.queue,
        max_connections: s.servers.connections,
        handshake_time: s.servers.handshake_ms,
        slow_start_capacity: s.servers.cold_share,
        slow_start: s.servers.ramp_s * 1000.0,
        collapse_multiple: s.rules.fall_multiple,
        collapse_window: s.rules.fall_s * 1000.0,
        reports_in_answers: s.servers.reports == crate::scenario::Reports::Answers,
        answers_probes: s.servers.reports == crate::scenario::Reports::Probes,
        groups: groups.collect(),
        deduplication_window: config::DEDUPLICATION_WINDOW_S * 1000.0,
    }
}

/// A line of a limiter's log that tells of a fault of its own: an error, or a panic's plain text.
fn bad(line: &str) -> bool {
    match serde_json::from_str::<serde_json::Value>(line) {
        Ok(told) => told["level"] == "ERROR",
        Err(_) => line.contains("panicked at"),
    }
}

/// Whether a limiter answers that it takes queries.
async fn ready(at: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(at).await?;
        stream
            .write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .await?;
        let mut told = Vec::new();
        stream.read_to_end(&mut told).await?;
        Ok::<bool, std::io::Error>(told.starts_with(b"HTTP/1.1 200"))
    };
    matches!(timeout(Duration::from_secs(1), ask).await, Ok(Ok(true)))
}
