//! The machines of a run, each at a loopback address of its own, and the links between them.

use super::scenario::{Form, Scenario, Who};
use super::tamper::{Tampering, TamperingRelay};
use crate::process::Process;
use crate::program::{build, Program};
use aspendrum_fake_services::cloud::CloudApi;
use aspendrum_fake_services::origin::{ExecutionLog, OriginOptions, OriginServer};
use aspendrum_fake_services::{lock, Clock};
use aspendrum_fault_proxy::{Fault, Link, Mesh, Relay};
use nix::sys::signal::Signal;
use serde_json::{json, Map, Value};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

const PORTS: [u16; 2] = [7600, 7615];
/// Within these, as the programs use them.
const COUNTS: u16 = PORTS[0] + 1;
const AGENT: u16 = PORTS[0] + 2;
const WORDS: u16 = PORTS[0] + 3;
const SNAPSHOTS: u16 = PORTS[0] + 4;
const CTL: u16 = 8200;
const DIR: u16 = 8201;
const FRONT: u16 = 8202;
const READYZ: u16 = 8203;
/// Held as long as a run goes on, so that no other run takes the same addresses.
const CLAIM: u16 = 9;
/// Of so many servers one works on when its connection has closed.
const KEEPS_ON: usize = 8;
/// A process is started: its program is loaded and runs by then.
const YOUNG: Duration = Duration::from_millis(50);
/// Seeds, as the platform names them.
const SEEDS: usize = 3;

/// The programs of the system, built once in this process' life.
pub fn programs() -> Result<[Program; 3], String> {
    static BUILT: OnceLock<Result<(), String>> = OnceLock::new();
    BUILT
        .get_or_init(|| {
            build(&["aspendrum-proxy", "aspendrum-agent", "aspendrum-control"])
                .map_err(|e| e.to_string())
        })
        .clone()?;
    Ok([
        Program::system("aspendrum-proxy").map_err(|e| e.to_string())?,
        Program::system("aspendrum-agent").map_err(|e| e.to_string())?,
        Program::system("aspendrum-control").map_err(|e| e.to_string())?,
    ])
}

/// One process: what it is, where its settings and its log are, and its life.
pub struct Slot {
    start: Program,
    settings: PathBuf,
    log: PathBuf,
    disk: Option<PathBuf>,
    started: Option<Instant>,
    /// The process, while it runs.
    pub process: Option<Process>,
}

impl Slot {
    /// Starts it, if it does not run.
    ///
    /// # Errors
    /// The error of the start.
    pub fn up(&mut self) -> io::Result<()> {
        if self.process.is_none() {
            self.process = Some(Process::start(&self.start, &self.settings, &self.log)?);
            self.started = Some(Instant::now());
        }
        Ok(())
    }

    /// Kills it, if it runs.
    pub async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Removes its disk.
    ///
    /// # Errors
    /// The error of the removal.
    pub fn wipe(&self) -> io::Result<()> {
        self.disk.as_ref().map_or(Ok(()), std::fs::remove_dir_all)
    }

    /// Of the process that runs, as the kernel names it.
    pub fn id(&self) -> Option<i32> {
        self.process.as_ref().map(Process::id)
    }

    /// It has only just been started: before its first instruction no program can ask for signals.
    pub fn young(&self) -> bool {
        self.process.is_some() && self.started.is_some_and(|at| at.elapsed() < YOUNG)
    }

    /// Not to a process that is young.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self.process.as_ref().filter(|_| !self.young());
        process.map_or(Ok(()), |p| p.signal(signal))
    }

    /// The most violations of its invariants that one of its lives has told.
    pub fn violations(&self) -> u64 {
        let told = |line: &str| {
            line.split_once(" violations=")?
                .1
                .split(' ')
                .next()?
                .parse()
                .ok()
        };
        self.log().lines().filter_map(told).max().unwrap_or(0)
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// The machines of a run.
pub struct Fleet {
    /// What is played.
    pub scenario: Scenario,
    /// The clock of the record.
    pub clock: Clock,
    /// Machines of control, spare ones behind the others.
    pub cores: Vec<tokio::sync::Mutex<Slot>>,
    /// By machine: the proxy and its agent.
    pub proxies: Vec<tokio::sync::Mutex<Slot>>,
    /// The agent of each machine.
    pub agents: Vec<tokio::sync::Mutex<Slot>>,
    /// The servers.
    pub origins: Vec<Arc<OriginServer>>,
    /// What servers have worked on.
    pub record: Arc<ExecutionLog>,
    net: u8,
    /// Which machines of control are there, and which of them the settings name.
    members: Mutex<Vec<usize>>,
    seeds: Mutex<Vec<usize>>,
    /// By dialler (cores, then edges), then core.
    controls: Vec<Vec<Relay>>,
    /// By edge, then server.
    servers: Vec<Vec<Relay>>,
    /// Datagrams between proxies, and between agents.
    counts: Mesh,
    words: Mesh,
    /// By edge, then core: words of control to its agent; by edge: the agent's to its proxy.
    pushes: Vec<Vec<TamperingRelay>>,
    feeds: Vec<TamperingRelay>,
    /// By edge, then edge: snapshots between agents.
    loans: Vec<Vec<Relay>>,
    _cloud: Arc<CloudApi>,
    _claim: TcpListener,
}

/// The name of a zone.
pub fn zone(n: usize) -> String {
    format!("zone-{n}")
}

/// Two zones each are a region.
pub fn region(n: usize) -> String {
    format!("region-{}", n / 2)
}

/// The names of the services.
pub const SERVICES: [&str; 2] = ["quotes", "payouts"];

impl Fleet {
    /// Everything stands and is linked; no process of the system has been started yet.
    pub async fn prepare(scenario: &Scenario, folder: &Path) -> Result<Fleet, String> {
        let failed = |e: io::Error| format!("the fleet: {e}");
        let [proxy, agent, control] = programs()?;
        std::fs::create_dir_all(folder).map_err(failed)?;
        let (net, claim) = claim().map_err(failed)?;
        let clock = Clock::start();
        let record = ExecutionLog::new(clock);
        let s = scenario;
        let mut origins = Vec::new();
        for n in 0..s.origins() {
            let figures = OriginOptions {
                service: SERVICES[n / (s.zones * s.servers)].into(),
                zone: zone(n % s.zones),
                slots: 4,
                queue_capacity: 8,
                work_ms: 25.0,
                drops_on_close: n % KEEPS_ON != KEEPS_ON - 1,
            };
            let at = IpAddr::V4(ip(net, 200, 0));
            origins.push(
                OriginServer::start(at, n, figures, record.clone())
                    .await
                    .map_err(failed)?,
            );
        }
        let cloud = CloudApi::start(IpAddr::V4(ip(net, 200, 0)), origins.clone(), 40.0, clock);
        let cloud = cloud.await.map_err(failed)?;
        let cores: Vec<Ipv4Addr> = (0..s.machines()).map(|n| ip(net, 100, n)).collect();
        let edges: Vec<Ipv4Addr> = (0..s.edges).map(|n| ip(net, 101, n)).collect();
        let (mut controls, mut pushes, mut feeds) = (Vec::new(), Vec::new(), Vec::new());
        for dialler in 0..s.machines() + s.edges {
            let (mut row, mut tampers) = (Vec::new(), Vec::new());
            for core in &cores {
                let mut to = SocketAddr::from((*core, PORTS[0]));
                if dialler >= s.machines() {
                    tampers.push(
                        TamperingRelay::start(IpAddr::V4(*core), to, SERVICES)
                            .await
                            .map_err(failed)?,
                    );
                    to = tampers.last().map_or(to, TamperingRelay::addr);
                }
                row.push(relay(IpAddr::V4(*core), to).await?);
            }
            controls.push(row);
            if let Some(n) = dialler.checked_sub(s.machines()) {
                pushes.push(tampers);
                let agent = SocketAddr::from((ip(net, 102, n), AGENT));
                feeds.push(
                    TamperingRelay::start(agent.ip(), agent, SERVICES)
                        .await
                        .map_err(failed)?,
                );
            }
        }
        let mut servers = Vec::new();
        for _ in 0..s.edges {
            let mut row = Vec::new();
            for origin in &origins {
                row.push(relay(origin.addr().ip(), origin.addr()).await?);
            }
            servers.push(row);
        }
        let linked = edges.iter().filter(|_| s.edge_links);
        let members: Vec<IpAddr> = linked.map(|e| IpAddr::V4(*e)).collect();
        let counts = mesh(&members, COUNTS).await.map_err(failed)?;
        let words = mesh(&members, WORDS).await.map_err(failed)?;
        let mut loans = Vec::new();
        for _ in 0..s.edges {
            let mut row = Vec::new();
            for edge in &members {
                row.push(relay(*edge, SocketAddr::from((*edge, SNAPSHOTS))).await?);
            }
            loans.push(row);
        }
        let slot = |start: &Program, name: String, disk: Option<PathBuf>| {
            let (settings, log) = (
                folder.join(format!("{name}.json")),
                folder.join(format!("{name}.log")),
            );
            tokio::sync::Mutex::new(Slot {
                start: start.clone(),
                settings,
                log,
                disk,
                started: None,
                process: None,
            })
        };
        let fleet = Fleet {
            scenario: s.clone(),
            clock,
            cores: (0..s.machines())
                .map(|n| {
                    slot(
                        &control,
                        format!("core-{n}"),
                        Some(folder.join(format!("disk-{n}"))),
                    )
                })
                .collect(),
            proxies: (0..s.edges)
                .map(|n| slot(&proxy, format!("proxy-{n}"), None))
                .collect(),
            agents: (0..s.edges)
                .map(|n| slot(&agent, format!("agent-{n}"), None))
                .collect(),
            origins,
            record,
            net,
            members: Mutex::new((0..s.cores).collect()),
            seeds: Mutex::new((0..s.cores.min(SEEDS)).collect()),
            controls,
            servers,
            counts,
            words,
            pushes,
            feeds,
            loans,
            _cloud: cloud,
            _claim: claim,
        };
        fleet.settings(true).await.map_err(failed)?;
        Ok(fleet)
    }

    /// The address of a control node.
    pub fn core(&self, n: usize) -> Ipv4Addr {
        ip(self.net, 100, n)
    }

    /// Where a control node takes operators' calls.
    pub fn ctl(&self, n: usize) -> SocketAddr {
        (self.core(n), CTL).into()
    }

    /// Where a control node takes lookups.
    pub fn dir(&self, n: usize) -> SocketAddr {
        (self.core(n), DIR).into()
    }

    /// Where a proxy takes requests.
    pub fn front(&self, n: usize) -> SocketAddr {
        (ip(self.net, 101, n), FRONT).into()
    }

    /// Which proxy an address belongs to.
    pub fn edge_at(&self, addr: SocketAddr) -> Option<usize> {
        (0..self.scenario.edges).find(|n| self.front(*n) == addr)
    }

    /// The machines of control that are there, as a platform's list names them.
    pub fn members(&self) -> Vec<usize> {
        lock(&self.members).clone()
    }

    /// The one that is asked after that one.
    pub fn after(&self, core: usize) -> usize {
        let members = lock(&self.members);
        let at = members
            .iter()
            .position(|n| *n == core)
            .map_or(0, |at| at + 1);
        members[at % members.len()]
    }

    /// The settings name these from their next version on.
    pub fn name_seeds(&self, seeds: Vec<usize>) {
        *lock(&self.seeds) = seeds;
    }

    /// One machine of control leaves for good and a spare one takes its place, with `seeds` also where the settings
    /// name it. `None`: no spare one is left.
    pub fn replace(&self, old: usize, seeds: bool) -> Option<usize> {
        let mut members = lock(&self.members);
        let next = members.iter().max()? + 1;
        let new = (next.max(self.scenario.cores) < self.cores.len()).then_some(next)?;
        let taken =
            |all: &mut Vec<usize>| all.iter_mut().filter(|n| **n == old).for_each(|n| *n = new);
        taken(&mut members);
        if seeds {
            taken(&mut lock(&self.seeds));
        }
        Some(new)
    }

    /// Writes every process' settings file.
    pub async fn settings(&self, init: bool) -> io::Result<()> {
        let seeds = &lock(&self.seeds).clone();
        for n in 0..self.cores.len() {
            let slot = self.cores[n].lock().await;
            put(
                &slot.settings,
                &self.core_settings(n, init, seeds, &slot).to_string(),
            )?;
        }
        for n in 0..self.scenario.edges {
            let agent = SocketAddr::from((ip(self.net, 102, n), AGENT));
            let text = |by| self.edge_settings(n, seeds, by).to_string();
            put(
                &self.proxies[n].lock().await.settings,
                &text(self.feeds[n].addr()),
            )?;
            put(&self.agents[n].lock().await.settings, &text(agent))?;
        }
        Ok(())
    }

    fn core_settings(&self, n: usize, init: bool, seeds: &[usize], slot: &Slot) -> Value {
        let ways = (0..self.cores.len()).filter(|to| *to != n);
        let ways = ways.map(|to| {
            way(
                (self.core(to), PORTS[0]).into(),
                self.controls[n][to].addr(),
            )
        });
        let binds = json!({"ctl": self.ctl(n), "dir": self.dir(n)});
        let own = json!({"host-name": format!("core-{n}"), "ip": self.core(n), "quorum": true, "init": init,
            "datadir": slot.disk});
        self.common(self.scenario.zone(n), own, binds, ways.collect(), seeds)
    }

    /// `agent`: where the agent is found, or listens.
    fn edge_settings(&self, n: usize, seeds: &[usize], agent: SocketAddr) -> Value {
        let s = &self.scenario;
        let dialler = s.machines() + n;
        let mut ways: Map<String, Value> = (0..s.machines())
            .map(|to| {
                way(
                    (self.core(to), PORTS[0]).into(),
                    self.controls[dialler][to].addr(),
                )
            })
            .collect();
        for (mesh, port) in [(&self.counts, COUNTS), (&self.words, WORDS)] {
            let peers = mesh.peers(n).unwrap_or_default();
            let at = |to| SocketAddr::from((ip(self.net, 101, to), port));
            ways.extend(
                peers
                    .into_iter()
                    .enumerate()
                    .map(|(to, by)| way(at(to), by)),
            );
        }
        let at = |to| SocketAddr::from((ip(self.net, 101, to), SNAPSHOTS));
        ways.extend(
            self.loans[n]
                .iter()
                .enumerate()
                .map(|(to, by)| way(at(to), by.addr())),
        );
        ways.extend(
            self.origins
                .iter()
                .enumerate()
                .map(|(to, o)| way(o.addr(), self.servers[n][to].addr())),
        );
        // All machines of a run are one: each agent has an address of its own there.
        ways.extend([way((Ipv4Addr::LOCALHOST, AGENT).into(), agent)]);
        let own = json!({"host-name": format!("edge-{n}"), "ip": ip(self.net, 101, n),
            "caps": {"nofile": 1024, "mem-mb": 256}});
        let binds = json!({"front": self.front(n), "readyz": SocketAddr::from((ip(self.net, 101, n), READYZ))});
        self.common(s.zone(n), own, binds, ways, seeds)
    }

    fn common(
        &self,
        own_zone: usize,
        own: Value,
        binds: Value,
        ways: Map<String, Value>,
        seeds: &[usize],
    ) -> Value {
        let (s, t) = (&self.scenario, &self.scenario.terms);
        let zones: Map<String, Value> = (0..s.zones).map(|z| (zone(z), region(z).into())).collect();
        let seeds: Vec<SocketAddr> = seeds.iter().map(|n| self.ctl(*n)).collect();
        let mut own = own;
        own["az"] = zone(own_zone).into();
        own["geo"] = region(own_zone).into();
        json!({
            "self": own,
            "net": {"binds": binds, "port-range": PORTS, "seeds": seeds, "zones": zones, "ways": ways},
            "plat": {"cloud-api": {"addr": self._cloud.addr(), "rate-s": 40.0, "lag-ms": 0}},
            "terms": {"tolerate": {"machs": s.losses}, "bounds": {
                "ack-ms": t.ack, "sync-s": t.sync_s, "contact-ms": t.contact, "apply-ms": t.apply, "revoked": t.revoked, "revoke-ms": t.revoke, "evac-ms": t.evac,
                "drain-ms": t.drain, "grace-s": t.grace_s, "retry-slack": 200, "quota-win-s": 5,
                "quota-excess": 0.1, "quota-slack": 20, "ttl_max_s": 1,
            }},
        })
    }

    /// The processes that someone stands for.
    pub fn slots(&self, who: Who) -> Vec<&tokio::sync::Mutex<Slot>> {
        match who {
            Who::Core(n) => vec![&self.cores[n]],
            Who::Edge(n) => vec![&self.proxies[n], &self.agents[n]],
            Who::Proxy(n) => vec![&self.proxies[n]],
            Who::Agent(n) => vec![&self.agents[n]],
            Who::Origin(_) => Vec::new(),
        }
    }

    /// Starts all processes, but for spare control nodes.
    ///
    /// # Errors
    /// The error of a start, in words.
    pub async fn start(&self) -> Result<(), String> {
        for slot in self.cores[..self.scenario.cores]
            .iter()
            .chain(&self.proxies)
            .chain(&self.agents)
        {
            slot.lock().await.up().map_err(|e| format!("start: {e}"))?;
        }
        Ok(())
    }

    /// The directions of all links from the one to the other.
    fn links(&self, from: Who, to: Who) -> Vec<&Arc<Link>> {
        let dialler = |who| match who {
            Who::Core(n) => Some(n),
            Who::Edge(n) | Who::Agent(n) => Some(self.scenario.machines() + n),
            _ => None,
        };
        let mut all: Vec<&Arc<Link>> = Vec::new();
        if let (Some(d), Who::Core(to)) = (dialler(from), to) {
            all.push(&self.controls[d][to].forward);
        }
        if let (Who::Core(from), Some(d)) = (from, dialler(to)) {
            all.push(&self.controls[d][from].backward);
        }
        let linked = self.scenario.edge_links;
        if let (Who::Edge(a) | Who::Agent(a), Who::Edge(b) | Who::Agent(b), true) =
            (from, to, linked)
        {
            all.extend([
                self.words.link(a, b),
                &self.loans[a][b].forward,
                &self.loans[b][a].backward,
            ]);
        }
        match (from, to) {
            (Who::Edge(a) | Who::Proxy(a), Who::Edge(b) | Who::Proxy(b)) if linked => {
                all.push(self.counts.link(a, b));
            }
            (Who::Edge(a) | Who::Proxy(a), Who::Origin(b)) => all.push(&self.servers[a][b].forward),
            (Who::Origin(a), Who::Edge(b) | Who::Proxy(b)) => {
                all.push(&self.servers[b][a].backward)
            }
            _ => {}
        }
        all
    }

    /// Bytes that have gone from control nodes to agents so far.
    pub fn bytes_to_agents(&self) -> u64 {
        let agents = &self.controls[self.scenario.machines()..];
        let links = agents.iter().flatten();
        links.map(|relay| relay.backward.stats().bytes).sum()
    }

    /// What happens to configurations on their way to that agent or proxy.
    pub fn tamper(&self, who: Who, how: Option<Tampering>) {
        match who {
            Who::Agent(n) => self.pushes[n].iter().for_each(|t| t.set(how)),
            Who::Proxy(n) => self.feeds[n].set(how),
            _ => {}
        }
    }

    /// Everyone that has links: machines and servers.
    pub fn everyone(&self) -> Vec<Who> {
        let s = &self.scenario;
        let cores = (0..s.machines()).map(Who::Core);
        cores
            .chain((0..s.edges).map(Who::Edge))
            .chain((0..s.origins()).map(Who::Origin))
            .collect()
    }

    /// Cuts what the ones say to the others, and back unless `one_way`; [`Fleet::heal`] with the same number.
    pub fn cut(&self, of: &[Who], from: &[Who], one_way: bool, form: Form, number: u32) {
        let fault = if form == Form::Refuse {
            Fault::REFUSE
        } else {
            Fault::CUT
        };
        self.each_link(of, from, one_way, |link| {
            link.set_fault(number, fault);
            if form != Form::Silent {
                link.reset_connections();
            }
        });
    }

    /// Ends the cut with that number.
    pub fn heal(&self, of: &[Who], from: &[Who], one_way: bool, number: u32) {
        self.each_link(of, from, one_way, |link| link.clear_fault(number));
    }

    fn each_link(&self, of: &[Who], from: &[Who], one_way: bool, what: impl Fn(&Link)) {
        for a in of {
            for b in from.iter().filter(|b| !of.contains(b)) {
                let back = if one_way {
                    Vec::new()
                } else {
                    self.links(*b, *a)
                };
                self.links(*a, *b)
                    .into_iter()
                    .chain(back)
                    .for_each(|link| what(link));
            }
        }
    }
}

/// Whole or not at all: a process may start in the same moment.
fn put(file: &Path, text: &str) -> io::Result<()> {
    let next = file.with_extension("next");
    std::fs::write(&next, text)?;
    std::fs::rename(next, file)
}

fn way(to: SocketAddr, by: SocketAddr) -> (String, Value) {
    (to.to_string(), by.to_string().into())
}

async fn mesh(members: &[IpAddr], port: u16) -> io::Result<Mesh> {
    let mut mesh = Mesh::bind_each(members).await?;
    let listens: Vec<SocketAddr> = members
        .iter()
        .map(|ip| SocketAddr::from((*ip, port)))
        .collect();
    mesh.start(&listens);
    Ok(mesh)
}

async fn relay(at: IpAddr, to: SocketAddr) -> Result<Relay, String> {
    Relay::start(at, to)
        .await
        .map_err(|e| format!("a link: {e}"))
}

fn ip(net: u8, kind: u8, n: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, kind, net, n as u8 + 1)
}

/// A part of the loopback addresses that no other run has.
fn claim() -> io::Result<(u8, TcpListener)> {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    for _ in 0..=u8::MAX {
        let net = NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(claim) = TcpListener::bind((ip(net, 200, 0), CLAIM)) {
            return Ok((net, claim));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
