//! The machines of a run, each at a loopback address of its own, their processes, and the stand-ins around them.

use super::addresses::Addresses;
use super::error::SystemError;
use super::links::Links;
use super::scenario::{Form, Scenario, Who};
use super::settings_files::{replace_file, SettingsWriter};
use super::slot::Slot;
use super::tamper::Tampering;
use crate::program::{build, Program};
use aspendrum_fake_services::cloud::CloudApi;
use aspendrum_fake_services::origin::{ExecutionLog, OriginOptions, OriginServer};
use aspendrum_fake_services::{lock, Clock};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};

/// Of so many servers one works on when its connection has closed.
const WORKS_ON_EVERY: usize = 8;
/// Seeds, as the platform names them.
const SEEDS: usize = 3;
/// Calls a second that the platform's list of servers takes.
const CLOUD_CALLS_PER_S: f64 = 40.0;

/// The programs of the system, built once in this process' life.
///
/// # Errors
/// [`SystemError`] if they cannot be built or found.
pub fn programs() -> Result<[Program; 3], SystemError> {
    const PACKAGES: [&str; 3] = ["aspendrum-proxy", "aspendrum-agent", "aspendrum-control"];
    static IS_BUILT: OnceLock<bool> = OnceLock::new();
    let build_all = || {
        build(&PACKAGES)
            .inspect_err(|why| eprintln!("{why}"))
            .is_ok()
    };
    if !IS_BUILT.get_or_init(build_all) {
        return Err(SystemError::NotBuilt);
    }
    let [proxy, agent, control] = PACKAGES.map(Program::system);
    Ok([proxy?, agent?, control?])
}

/// The machines of a run.
pub struct Fleet {
    /// What is played.
    pub scenario: Scenario,
    /// The clock of the record.
    pub clock: Clock,
    /// Control nodes, spare ones behind the others.
    pub cores: Vec<tokio::sync::Mutex<Slot>>,
    /// The proxy of each machine at the edge.
    pub proxies: Vec<tokio::sync::Mutex<Slot>>,
    /// The agent of each machine at the edge.
    pub agents: Vec<tokio::sync::Mutex<Slot>>,
    /// The servers.
    pub origins: Vec<Arc<OriginServer>>,
    /// What servers have worked on.
    pub record: Arc<ExecutionLog>,
    addresses: Addresses,
    links: Links,
    /// Which control nodes are there.
    members: Mutex<Vec<usize>>,
    /// Which of them the settings name.
    seeds: Mutex<Vec<usize>>,
    cloud: Arc<CloudApi>,
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
    /// Everything is there and linked; no process of the system has been started yet.
    ///
    /// # Errors
    /// [`SystemError`] if something cannot be set up.
    pub async fn prepare(s: &Scenario, folder: &Path) -> Result<Fleet, SystemError> {
        let programs = programs()?;
        let fleet = Fleet::set_up(s, folder, &programs).await;
        let fleet = fleet.map_err(SystemError::Fleet)?;
        fleet
            .write_settings(true)
            .await
            .map_err(SystemError::Settings)?;
        Ok(fleet)
    }

    async fn set_up(
        s: &Scenario,
        folder: &Path,
        [proxy, agent, control]: &[Program; 3],
    ) -> io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let addresses = Addresses::claim()?;
        let clock = Clock::start();
        let record = ExecutionLog::new(clock);
        let origins = start_origins(s, &addresses, &record).await?;
        let services = addresses.services();
        let cloud = CloudApi::start(services, origins.clone(), CLOUD_CALLS_PER_S, clock).await?;
        let slot = |program: &Program, kind: &str, number: usize| {
            let disk = folder.join(format!("disk-{number}"));
            let disk = (kind == "core").then_some(disk);
            let name = format!("{kind}-{number}");
            tokio::sync::Mutex::new(Slot::new(program, folder, &name, disk))
        };
        Ok(Fleet {
            scenario: s.clone(),
            clock,
            cores: (0..s.machines())
                .map(|n| slot(control, "core", n))
                .collect(),
            proxies: (0..s.edges).map(|n| slot(proxy, "proxy", n)).collect(),
            agents: (0..s.edges).map(|n| slot(agent, "agent", n)).collect(),
            links: Links::open(s, &addresses, &origins).await?,
            origins,
            record,
            addresses,
            members: Mutex::new((0..s.cores).collect()),
            seeds: Mutex::new((0..s.cores.min(SEEDS)).collect()),
            cloud,
        })
    }

    /// Where a control node takes operators' calls.
    pub fn ctl(&self, number: usize) -> SocketAddr {
        self.addresses.operator(number)
    }

    /// Where a control node takes lookups.
    pub fn dir(&self, number: usize) -> SocketAddr {
        self.addresses.directory(number)
    }

    /// Where a proxy takes requests.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.addresses.proxy(number)
    }

    /// Where a proxy says whether it is ready.
    pub fn readiness(&self, number: usize) -> SocketAddr {
        self.addresses.readiness(number)
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
    ///
    /// # Errors
    /// The error of a write.
    pub async fn write_settings(&self, is_first_start: bool) -> io::Result<()> {
        let seeds = lock(&self.seeds).clone();
        let writer = SettingsWriter {
            scenario: &self.scenario,
            addresses: &self.addresses,
            links: &self.links,
            origins: &self.origins,
            cloud_api: self.cloud.addr(),
            seeds: &seeds,
        };
        for (number, slot) in self.cores.iter().enumerate() {
            let slot = slot.lock().await;
            let settings = writer.control(number, is_first_start, slot.disk.as_deref());
            replace_file(&slot.settings, &settings.to_string())?;
        }
        for number in 0..self.scenario.edges {
            let of_proxy = writer.edge(number, self.links.proxy_updates[number].addr());
            let of_agent = writer.edge(number, self.addresses.agent(number));
            let proxy = self.proxies[number].lock().await;
            replace_file(&proxy.settings, &of_proxy.to_string())?;
            let agent = self.agents[number].lock().await;
            replace_file(&agent.settings, &of_agent.to_string())?;
        }
        Ok(())
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
    /// [`SystemError::Start`] if one cannot be started.
    pub async fn start(&self) -> Result<(), SystemError> {
        for slot in self.cores[..self.scenario.cores]
            .iter()
            .chain(&self.proxies)
            .chain(&self.agents)
        {
            slot.lock().await.up().map_err(SystemError::Start)?;
        }
        Ok(())
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

    /// Bytes that have gone from control nodes to agents so far.
    pub fn bytes_to_agents(&self) -> u64 {
        self.links.bytes_to_agents()
    }

    /// What happens to configurations on their way to that agent or proxy.
    pub fn tamper(&self, who: Who, how: Option<Tampering>) {
        self.links.tamper(who, how);
    }

    /// Cuts what the ones send to the others, and back unless `one_way`; [`Fleet::heal`] with the same number.
    pub fn cut(&self, of: &[Who], from: &[Who], one_way: bool, form: Form, number: u32) {
        self.links.cut(of, from, one_way, form, number);
    }

    /// Ends the cut with that number.
    pub fn heal(&self, of: &[Who], from: &[Who], one_way: bool, number: u32) {
        self.links.heal(of, from, one_way, number);
    }
}

async fn start_origins(
    s: &Scenario,
    addresses: &Addresses,
    record: &Arc<ExecutionLog>,
) -> io::Result<Vec<Arc<OriginServer>>> {
    let mut origins = Vec::new();
    for number in 0..s.origins() {
        let options = OriginOptions {
            service: SERVICES[number / (s.zones * s.servers)].into(),
            zone: zone(number % s.zones),
            slots: 4,
            queue_capacity: 8,
            work_ms: 25.0,
            drops_on_close: number % WORKS_ON_EVERY != WORKS_ON_EVERY - 1,
        };
        let at = addresses.services();
        origins.push(OriginServer::start(at, number, options, record.clone()).await?);
    }
    Ok(origins)
}
