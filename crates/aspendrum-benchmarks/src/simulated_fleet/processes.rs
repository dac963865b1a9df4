//! Real control processes and optional real limiters, with fault proxies between them that count and delay the traffic.

use super::plan::Plan;
use crate::error::BenchmarkError;
use crate::fleet_size::{region, region_by_zone, zone, REGIONS, ZONES};
use aspendrum_fault_proxy::{Fault, Relay};
use aspendrum_testbed::process::Process;
use aspendrum_testbed::program::{build, Program};
use serde_json::{json, Map, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

const PORT_RANGE: [u16; 2] = [27_600, 27_615];
const AGENT_PORT: u16 = PORT_RANGE[0] + 2;
const OPERATOR_PORT: u16 = 28_200;
const LOOKUP_PORT: u16 = 28_201;
const PROXY_PORT: u16 = 28_202;
const READINESS_PORT: u16 = 28_203;
const PLATFORM_PORT: u16 = 28_205;
const FAULT_PROXY_IP: Ipv4Addr = Ipv4Addr::new(127, 60, 3, 1);
/// The maximum number of control nodes listed as seeds in the settings.
const MAX_SEEDS: usize = 3;
/// The identifier of the delay among the faults of a [`Relay`].
const DELAY_FAULT_ID: u32 = 1;
/// The maximum number of bytes that a [`Relay`] reads at once. It applies its delay to each chunk.
const RELAY_CHUNK_BYTES: f64 = 16_384.0;

const CONTROL: &str = "aspendrum-control";
const PROXY: &str = "aspendrum-proxy";
const AGENT: &str = "aspendrum-agent";

/// A process of the system under test.
pub(super) struct SystemProcess {
    pub(super) name: String,
    program: Program,
    settings: PathBuf,
    directory: PathBuf,
    process: Option<Process>,
}

impl SystemProcess {
    /// Writes the settings of a process without starting it.
    fn new(
        program: &str,
        name: String,
        settings: &Value,
        directory: &Path,
    ) -> Result<SystemProcess, BenchmarkError> {
        let program = Program::system(program).map_err(BenchmarkError::Programs)?;
        let file = directory.join(format!("{name}.json"));
        let write_error = |source| BenchmarkError::WriteSettings {
            process: name.clone(),
            source,
        };
        std::fs::write(&file, settings.to_string()).map_err(write_error)?;
        Ok(SystemProcess {
            name,
            program,
            settings: file,
            directory: directory.to_path_buf(),
            process: None,
        })
    }

    pub(super) fn start(&mut self) -> Result<(), BenchmarkError> {
        let process = Process::start(&self.program, &self.settings, &self.log_file());
        let start_error = |source| BenchmarkError::StartProcess {
            process: self.name.clone(),
            source,
        };
        self.process = Some(process.map_err(start_error)?);
        Ok(())
    }

    pub(super) async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Returns the process ID if the process is running.
    pub(super) fn process_id(&self) -> Option<i32> {
        self.process.as_ref().map(Process::id)
    }

    /// Returns a value of the process's `/proc` status, in kB or as a count, or `None` if the process is not running.
    pub(super) fn status(&self, key: &str) -> Option<u64> {
        process_status(self.process_id()?, key)
    }

    pub(super) fn open_descriptors(&self) -> usize {
        let directory = self.process_id().map(|id| format!("/proc/{id}/fd"));
        let entries = directory.and_then(|directory| std::fs::read_dir(directory).ok());
        entries.map_or(0, Iterator::count)
    }

    /// Returns the CPU time since the start of the process, in seconds.
    pub(super) fn cpu_s(&self) -> f64 {
        let process = self.process.as_ref();
        process.and_then(Process::cpu_seconds).unwrap_or(0.0)
    }

    /// Whether the log of the process contains `text`.
    pub(super) fn has_logged(&self, text: &str) -> bool {
        std::fs::read_to_string(self.log_file()).is_ok_and(|log| log.contains(text))
    }

    /// Returns the size of the database of a control node.
    pub(super) fn database_bytes(&self) -> u64 {
        let file = data_directory(&self.directory, &self.name).join("vault.redb");
        std::fs::metadata(file).map_or(0, |metadata| metadata.len())
    }

    fn log_file(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name))
    }
}

fn data_directory(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}-disk"))
}

/// Returns a value of the `/proc` status of a process, in kB or as a count.
pub(super) fn process_status(id: i32, key: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(key))?;
    let mut words = value.trim_start_matches(':').split_whitespace();
    words.next()?.parse().ok()
}

/// The processes and the fault proxies between them.
pub(super) struct Processes {
    pub(super) control_nodes: Vec<SystemProcess>,
    /// The processes of the real limiters, alternating between proxies and agents.
    pub(super) limiters: Vec<SystemProcess>,
    /// Relays between control nodes.
    control_relays: Vec<Relay>,
    /// Relays between real limiters and control.
    limiter_relays: Vec<Relay>,
}

fn control_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 60, 1, number as u8 + 1)
}

/// Returns the address of a control node for agents and other control nodes.
pub(super) fn control_addr(number: usize) -> SocketAddr {
    (control_ip(number), PORT_RANGE[0]).into()
}

/// Returns the address of a control node for operators.
pub(super) fn operator_addr(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(control_ip(number), OPERATOR_PORT)
}

/// Returns the address of a control node for proxy lookups.
pub(super) fn lookup_addr(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(control_ip(number), LOOKUP_PORT)
}

/// Returns the address of the platform.
pub(super) fn platform_addr() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 60, 2, 1), PLATFORM_PORT)
}

/// Returns the address of a real limiter for clients.
pub(super) fn limiter_addr(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 60, 20, number as u8 + 1), PROXY_PORT)
}

/// Returns the zone of a control node. The first seven control nodes are in different regions.
fn control_zone(number: usize) -> usize {
    number * ZONES / REGIONS + number
}

async fn start_relay(to: SocketAddr, delay_ms: f64) -> Result<Relay, BenchmarkError> {
    let relay = Relay::start(IpAddr::V4(FAULT_PROXY_IP), to).await;
    let relay = relay.map_err(BenchmarkError::FaultProxy)?;
    if delay_ms > 0.0 {
        let fault = Fault {
            delay_ms,
            ..Fault::default()
        };
        relay.forward.set_fault(DELAY_FAULT_ID, fault);
        relay.backward.set_fault(DELAY_FAULT_ID, fault);
    }
    Ok(relay)
}

fn relayed_bytes(relays: &[Relay]) -> u64 {
    let bytes = |relay: &Relay| relay.forward.stats().bytes + relay.backward.stats().bytes;
    relays.iter().map(bytes).sum()
}

/// The settings that are specific to one process.
struct ProcessSettings {
    node: Value,
    zone: usize,
    binds: Value,
    /// Maps addresses to the addresses to connect to instead.
    address_overrides: Map<String, Value>,
}

fn settings(plan: &Plan, specific: ProcessSettings) -> Value {
    let mut node = specific.node;
    node["az"] = zone(specific.zone).into();
    node["geo"] = region(specific.zone).into();
    let seeds: Vec<SocketAddrV4> = (0..plan.control_nodes.min(MAX_SEEDS))
        .map(operator_addr)
        .collect();
    let zones = serde_json::to_value(region_by_zone()).unwrap_or_default();
    json!({
        "self": node,
        "net": {
            "binds": specific.binds,
            "port-range": PORT_RANGE,
            "seeds": seeds,
            "zones": zones,
            "ways": specific.address_overrides,
        },
        "plat": {"cloud-api": {
            "addr": platform_addr(),
            "rate-s": plan.platform_calls_per_s,
            "lag-ms": 800,
        }},
        "terms": {"tolerate": {"machs": plan.tolerated_losses}, "bounds": {
            "apply-ms": 7000,
            "drain-ms": 4000,
            "ack-ms": 8000,
            "stretch-ms": 10000,
            "grace-s": 6,
            "ttl_max_s": 5,
        }},
    })
}

impl Processes {
    /// Builds the programs, writes the settings and starts the fault proxies, but no processes.
    pub(super) async fn prepare(
        plan: &Plan,
        directory: &Path,
    ) -> Result<Processes, BenchmarkError> {
        build(&[PROXY, AGENT, CONTROL]).map_err(BenchmarkError::Programs)?;
        let mut processes = Processes {
            control_nodes: Vec::new(),
            limiters: Vec::new(),
            control_relays: Vec::new(),
            limiter_relays: Vec::new(),
        };
        for number in 0..plan.control_nodes {
            processes.add_control_node(plan, directory, number).await?;
        }
        for number in 0..plan.limiters {
            processes.add_limiter(plan, directory, number).await?;
        }
        Ok(processes)
    }

    async fn add_control_node(
        &mut self,
        plan: &Plan,
        directory: &Path,
        number: usize,
    ) -> Result<(), BenchmarkError> {
        let mut address_overrides = Map::new();
        for peer in (0..plan.control_nodes).filter(|peer| *peer != number) {
            let relay = start_relay(control_addr(peer), plan.control_delay_ms).await?;
            let relay_addr = relay.addr().to_string();
            address_overrides.insert(control_addr(peer).to_string(), relay_addr.into());
            self.control_relays.push(relay);
        }
        let name = format!("core-{number}");
        let specific = ProcessSettings {
            node: json!({
                "host-name": name,
                "ip": control_ip(number),
                "quorum": true,
                "init": true,
                "datadir": data_directory(directory, &name),
            }),
            zone: control_zone(number),
            binds: json!({"ctl": operator_addr(number), "dir": lookup_addr(number)}),
            address_overrides,
        };
        let settings = settings(plan, specific);
        let process = SystemProcess::new(CONTROL, name, &settings, directory)?;
        self.control_nodes.push(process);
        Ok(())
    }

    async fn add_limiter(
        &mut self,
        plan: &Plan,
        directory: &Path,
        number: usize,
    ) -> Result<(), BenchmarkError> {
        let limiter = limiter_addr(number);
        // Agents listen on 127.0.0.1 by default. Several agents on one machine need separate addresses.
        let agent_ip = Ipv4Addr::new(127, 60, 21, number as u8 + 1);
        let agent_addr = SocketAddrV4::new(agent_ip, AGENT_PORT).to_string();
        let default_agent_addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, AGENT_PORT).to_string();
        let mut address_overrides = Map::new();
        address_overrides.insert(default_agent_addr, agent_addr.into());
        for control_node in 0..plan.control_nodes {
            let relay = start_relay(control_addr(control_node), chunk_delay_ms(plan)).await?;
            let relay_addr = relay.addr().to_string();
            address_overrides.insert(control_addr(control_node).to_string(), relay_addr.into());
            self.limiter_relays.push(relay);
        }
        let readiness_addr = SocketAddrV4::new(*limiter.ip(), READINESS_PORT);
        let specific = ProcessSettings {
            node: json!({
                "host-name": format!("whole-{number}"),
                "ip": limiter.ip(),
                "caps": {"nofile": 4100, "mem-mb": 160},
            }),
            zone: number,
            binds: json!({"front": limiter, "readyz": readiness_addr}),
            address_overrides,
        };
        let settings = settings(plan, specific);
        let proxy = SystemProcess::new(PROXY, format!("proxy-{number}"), &settings, directory)?;
        let agent = SystemProcess::new(AGENT, format!("agent-{number}"), &settings, directory)?;
        self.limiters.extend([proxy, agent]);
        Ok(())
    }

    /// Returns the proxy processes of the real limiters.
    pub(super) fn proxies(&self) -> impl Iterator<Item = &SystemProcess> {
        self.limiters.iter().step_by(2)
    }

    /// Returns the number of bytes sent between control nodes.
    pub(super) fn control_bytes(&self) -> u64 {
        relayed_bytes(&self.control_relays)
    }

    /// Returns the number of bytes sent between real limiters and control.
    pub(super) fn limiter_bytes(&self) -> u64 {
        relayed_bytes(&self.limiter_relays)
    }

    /// Returns the size of the largest database among the control nodes.
    pub(super) fn database_bytes(&self) -> u64 {
        let sizes = self.control_nodes.iter().map(SystemProcess::database_bytes);
        sizes.max().unwrap_or(0)
    }
}

/// Returns the delay per chunk that limits a real limiter's connections to the planned bandwidth.
fn chunk_delay_ms(plan: &Plan) -> f64 {
    if plan.bandwidth_mbps > 0.0 {
        RELAY_CHUNK_BYTES * 8.0 / (plan.bandwidth_mbps * 1000.0)
    } else {
        0.0
    }
}
