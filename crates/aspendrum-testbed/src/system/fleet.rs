//! The machines of a run, their processes, and the fake services around them.

use super::addresses::Addresses;
use super::error::SystemError;
use super::links::Links;
use super::scenario::{CutForm, Scenario, Target};
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

/// One in this many servers continues its work after the client connection has closed.
const CONTINUES_ON_CLOSE_EVERY: usize = 8;
/// The number of seeds in the settings.
const SEED_COUNT: usize = 3;
/// The rate limit of the platform's server list, in calls per second.
const CLOUD_CALLS_PER_S: f64 = 40.0;

/// Returns the programs of the proxy, the agent and the control node, which are built once per process.
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
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The clock for all recorded times.
    pub clock: Clock,
    /// The control nodes, followed by the spares.
    pub cores: Vec<tokio::sync::Mutex<Slot>>,
    /// The proxy of each edge machine.
    pub proxies: Vec<tokio::sync::Mutex<Slot>>,
    /// The agent of each edge machine.
    pub agents: Vec<tokio::sync::Mutex<Slot>>,
    /// The fake servers.
    pub origins: Vec<Arc<OriginServer>>,
    /// The requests that the servers have executed.
    pub execution_log: Arc<ExecutionLog>,
    addresses: Addresses,
    links: Links,
    /// The control nodes that are members at present.
    members: Mutex<Vec<usize>>,
    /// The control nodes that the settings list as seeds.
    seeds: Mutex<Vec<usize>>,
    cloud: Arc<CloudApi>,
}

/// Returns the name of a zone.
pub fn zone_name(n: usize) -> String {
    format!("zone-{n}")
}

/// Returns the name of a zone's region. A region consists of two zones.
pub fn region_name(n: usize) -> String {
    format!("region-{}", n / 2)
}

/// The names of the services.
pub const SERVICES: [&str; 2] = ["quotes", "payouts"];

impl Fleet {
    /// Sets up the fake services, links and settings of a run, without starting any process of the system.
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
        let execution_log = ExecutionLog::new(clock);
        let origins = start_origins(s, &addresses, &execution_log).await?;
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
            execution_log,
            addresses,
            members: Mutex::new((0..s.cores).collect()),
            seeds: Mutex::new((0..s.cores.min(SEED_COUNT)).collect()),
            cloud,
        })
    }

    /// Returns the address on which a control node accepts operator calls.
    pub fn operator_addr(&self, number: usize) -> SocketAddr {
        self.addresses.operator(number)
    }

    /// Returns the address on which a control node accepts lookups.
    pub fn directory_addr(&self, number: usize) -> SocketAddr {
        self.addresses.directory(number)
    }

    /// Returns the address on which a proxy accepts requests.
    pub fn proxy_addr(&self, number: usize) -> SocketAddr {
        self.addresses.proxy(number)
    }

    /// Returns the address of a proxy's readiness endpoint.
    pub fn readiness(&self, number: usize) -> SocketAddr {
        self.addresses.readiness(number)
    }

    /// Returns the index of the proxy with the given address.
    pub fn edge_by_addr(&self, addr: SocketAddr) -> Option<usize> {
        (0..self.scenario.edges).find(|n| self.proxy_addr(*n) == addr)
    }

    /// Returns the current members among the control nodes.
    pub fn members(&self) -> Vec<usize> {
        lock(&self.members).clone()
    }

    /// Returns the member that follows the given control node, or the first one if that node is not a member.
    pub fn next_member(&self, core: usize) -> usize {
        let members = lock(&self.members);
        let at = members
            .iter()
            .position(|n| *n == core)
            .map_or(0, |at| at + 1);
        members[at % members.len()]
    }

    /// Sets the seeds that are listed the next time the settings are written.
    pub fn set_seeds(&self, seeds: Vec<usize>) {
        *lock(&self.seeds) = seeds;
    }

    /// Replaces a control node by a spare in the membership, and with `seeds` also in the list of seeds. Returns the spare, or
    /// `None` if no spare is left.
    pub fn replace(&self, old: usize, seeds: bool) -> Option<usize> {
        let mut members = lock(&self.members);
        let next = members.iter().max()? + 1;
        let new = (next.max(self.scenario.cores) < self.cores.len()).then_some(next)?;
        let substitute =
            |all: &mut Vec<usize>| all.iter_mut().filter(|n| **n == old).for_each(|n| *n = new);
        substitute(&mut members);
        if seeds {
            substitute(&mut lock(&self.seeds));
        }
        Some(new)
    }

    /// Writes the settings file of every process.
    ///
    /// # Errors
    /// Returns the error of a failed write.
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
            let proxy_settings = writer.edge(number, self.links.proxy_updates[number].addr());
            let agent_settings = writer.edge(number, self.addresses.agent(number));
            let proxy = self.proxies[number].lock().await;
            replace_file(&proxy.settings, &proxy_settings.to_string())?;
            let agent = self.agents[number].lock().await;
            replace_file(&agent.settings, &agent_settings.to_string())?;
        }
        Ok(())
    }

    /// Returns the processes of a target; servers have none.
    pub fn slots(&self, target: Target) -> Vec<&tokio::sync::Mutex<Slot>> {
        match target {
            Target::Core(n) => vec![&self.cores[n]],
            Target::Edge(n) => vec![&self.proxies[n], &self.agents[n]],
            Target::Proxy(n) => vec![&self.proxies[n]],
            Target::Agent(n) => vec![&self.agents[n]],
            Target::Origin(_) => Vec::new(),
        }
    }

    /// Starts all processes except the spare control nodes.
    ///
    /// # Errors
    /// [`SystemError::Start`] if one cannot be started.
    pub async fn start(&self) -> Result<(), SystemError> {
        for slot in self.cores[..self.scenario.cores]
            .iter()
            .chain(&self.proxies)
            .chain(&self.agents)
        {
            slot.lock()
                .await
                .ensure_running()
                .map_err(SystemError::Start)?;
        }
        Ok(())
    }

    /// Returns all machines and servers, including spare control nodes.
    pub fn all_targets(&self) -> Vec<Target> {
        let s = &self.scenario;
        let cores = (0..s.machines()).map(Target::Core);
        cores
            .chain((0..s.edges).map(Target::Edge))
            .chain((0..s.origins()).map(Target::Origin))
            .collect()
    }

    /// Returns the number of bytes that control nodes have sent to agents so far.
    pub fn bytes_to_agents(&self) -> u64 {
        self.links.bytes_to_agents()
    }

    /// Sets what happens to configurations sent to the given agent or proxy; `None` stops the tampering.
    pub fn tamper(&self, target: Target, how: Option<Tampering>) {
        self.links.tamper(target, how);
    }

    /// Cuts the links from `of` to `from`, and unless `one_way` also the reverse direction, until [`Fleet::heal`] is called
    /// with the same number.
    pub fn cut(&self, of: &[Target], from: &[Target], one_way: bool, form: CutForm, number: u32) {
        self.links.cut(of, from, one_way, form, number);
    }

    /// Heals the cut with the given number.
    pub fn heal(&self, of: &[Target], from: &[Target], one_way: bool, number: u32) {
        self.links.heal(of, from, one_way, number);
    }
}

async fn start_origins(
    s: &Scenario,
    addresses: &Addresses,
    execution_log: &Arc<ExecutionLog>,
) -> io::Result<Vec<Arc<OriginServer>>> {
    let mut origins = Vec::new();
    for number in 0..s.origins() {
        let options = OriginOptions {
            service: SERVICES[number / (s.zones * s.servers)].into(),
            zone: zone_name(number % s.zones),
            slots: 4,
            queue_capacity: 8,
            work_ms: 25.0,
            aborts_on_close: number % CONTINUES_ON_CLOSE_EVERY != CONTINUES_ON_CLOSE_EVERY - 1,
        };
        let at = addresses.services();
        origins.push(OriginServer::start(at, number, options, execution_log.clone()).await?);
    }
    Ok(origins)
}
