//! Real processes of control, and of whole limiters where wanted, with links between them that count and
//! delay.

use super::Plan;
use crate::sizes::{self, region, zone};
use aspendrum_fault_proxy::{Fault, Relay};
use aspendrum_testbed::process::Process;
use aspendrum_testbed::program::{build, Program};
use serde_json::{json, Map, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

const PORTS: [u16; 2] = [27_600, 27_615];
const AGENT: u16 = PORTS[0] + 2;
const CTL: u16 = 28_200;
const DIR: u16 = 28_201;
const READYZ: u16 = 28_203;
/// Bytes that a link of [`aspendrum_fault_proxy`] takes at once: after each it waits for its delay.
const CHUNK: f64 = 16_384.0;

/// One process of the system and where its log is.
pub(super) struct Member {
    pub name: String,
    start: Program,
    settings: PathBuf,
    pub log: PathBuf,
    pub process: Option<Process>,
}

impl Member {
    pub(super) fn up(&mut self) -> Result<(), String> {
        let process = Process::start(&self.start, &self.settings, &self.log);
        self.process = Some(process.map_err(|e| format!("{}: {e}", self.name))?);
        Ok(())
    }

    pub(super) async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// A line of its status, in kB or by number; nothing of a process that is down.
    pub(super) fn status(&self, name: &str) -> Option<u64> {
        status(self.process.as_ref()?.id(), name)
    }

    pub(super) fn descriptors(&self) -> usize {
        let of = |p: &Process| {
            std::fs::read_dir(format!("/proc/{}/fd", p.id())).map_or(0, Iterator::count)
        };
        self.process.as_ref().map_or(0, of)
    }

    /// Processor time so far, seconds.
    pub(super) fn cpu_s(&self) -> f64 {
        self.process
            .as_ref()
            .and_then(Process::cpu_seconds)
            .unwrap_or(0.0)
    }

    pub(super) fn logged(&self, what: &str) -> usize {
        std::fs::read_to_string(&self.log).map_or(0, |text| text.matches(what).count())
    }
}

/// A line of a process' status, in kB or by number.
pub(super) fn status(id: i32, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix(name))?;
    line.trim_start_matches(':')
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

pub(super) struct Fleet {
    pub controls: Vec<Member>,
    /// Proxies and agents of whole limiters, in turn.
    pub whole: Vec<Member>,
    /// By dialler, then by whom it dials.
    pub between: Vec<Relay>,
    /// From whole limiters to control.
    pub behind: Vec<Relay>,
}

pub(super) fn vault_ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 60, 1, n as u8 + 1)
}

pub(super) fn platform_at() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 60, 2, 1), 28_205)
}

pub(super) fn control(n: usize) -> SocketAddr {
    (vault_ip(n), PORTS[0]).into()
}

pub(super) fn ctl(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vault_ip(n), CTL)
}

pub(super) fn dir(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vault_ip(n), DIR)
}

/// Where clients reach the whole limiter of that number.
pub(super) fn whole_front(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 60, 20, n as u8 + 1), 28_202)
}

/// Control stands in zones of regions of its own, as far as they go.
pub(super) fn place(n: usize) -> usize {
    n * sizes::ZONES / sizes::REGIONS + n
}

async fn relay(to: SocketAddr, delay_ms: f64) -> Result<Relay, String> {
    let at = IpAddr::V4(Ipv4Addr::new(127, 60, 3, 1));
    let relay = Relay::start(at, to)
        .await
        .map_err(|e| format!("a link: {e}"))?;
    if delay_ms > 0.0 {
        let fault = Fault {
            delay_ms,
            ..Fault::default()
        };
        relay.forward.set_fault(1, fault);
        relay.backward.set_fault(1, fault);
    }
    Ok(relay)
}

fn way(to: impl ToString, by: SocketAddr) -> (String, Value) {
    (to.to_string(), by.to_string().into())
}

impl Fleet {
    /// Everything stands and is linked; no process has been started yet.
    pub(super) async fn prepare(plan: &Plan, folder: &Path) -> Result<Fleet, String> {
        build(&["aspendrum-proxy", "aspendrum-agent", "aspendrum-control"])
            .map_err(|e| e.to_string())?;
        let member = |program: &str, name: String, settings: Value| {
            let at = folder.join(format!("{name}.json"));
            std::fs::write(&at, settings.to_string()).map_err(|e| format!("{name}: {e}"))?;
            let log = folder.join(format!("{name}.log"));
            Ok::<_, String>(Member {
                name,
                start: Program::system(program).map_err(|e| e.to_string())?,
                settings: at,
                log,
                process: None,
            })
        };
        let common = |mut own: Value, at: usize, binds: Value, ways: Map<String, Value>| {
            own["az"] = zone(at).into();
            own["geo"] = region(at).into();
            let seeds: Vec<SocketAddrV4> = (0..plan.controls.min(3)).map(ctl).collect();
            let zones = serde_json::to_value(sizes::regions()).unwrap_or_default();
            json!({
                "self": own,
                "net": {"binds": binds, "port-range": PORTS, "seeds": seeds, "zones": zones, "ways": ways},
                "plat": {"cloud-api": {"addr": platform_at(), "rate-s": plan.rate, "lag-ms": 800}},
                "terms": {"tolerate": {"machs": plan.losses}, "bounds": {"apply-ms": 7000, "drain-ms": 4000,
                    "ack-ms": 8000, "stretch-ms": 10000, "grace-s": 6, "ttl_max_s": 5}},
            })
        };
        let (mut controls, mut between) = (Vec::new(), Vec::new());
        for n in 0..plan.controls {
            let mut ways = Map::new();
            for to in (0..plan.controls).filter(|to| *to != n) {
                let link = relay(control(to), plan.delay_ms).await?;
                ways.extend([way(control(to), link.addr())]);
                between.push(link);
            }
            let own = json!({"host-name": format!("core-{n}"), "ip": vault_ip(n), "quorum": true,
                "init": true,
                "datadir": folder.join(format!("disk-{n}"))});
            let settings = common(own, place(n), json!({"ctl": ctl(n), "dir": dir(n)}), ways);
            controls.push(member("control", format!("core-{n}"), settings)?);
        }
        let (mut whole, mut behind) = (Vec::new(), Vec::new());
        for n in 0..plan.whole {
            let own_ip = *whole_front(n).ip();
            let agent = SocketAddr::from((Ipv4Addr::new(127, 60, 21, n as u8 + 1), AGENT));
            let mut ways = Map::new();
            ways.extend([way(SocketAddrV4::new(Ipv4Addr::LOCALHOST, AGENT), agent)]);
            for to in 0..plan.controls {
                let delay_ms = if plan.mbps > 0.0 {
                    CHUNK * 8.0 / (plan.mbps * 1000.0)
                } else {
                    0.0
                };
                let link = relay(control(to), delay_ms).await?;
                ways.extend([way(control(to), link.addr())]);
                behind.push(link);
            }
            let own = json!({"host-name": format!("whole-{n}"), "ip": own_ip,
                "caps": {"nofile": 4100, "mem-mb": 160}});
            let binds = json!({"front": whole_front(n),
                "readyz": SocketAddrV4::new(own_ip, READYZ)});
            let settings = common(own, n, binds, ways);
            whole.push(member("proxy", format!("proxy-{n}"), settings.clone())?);
            whole.push(member("page", format!("page-{n}"), settings)?);
        }
        Ok(Fleet {
            controls,
            whole,
            between,
            behind,
        })
    }

    /// Bytes that control said to control so far.
    pub(super) fn between_bytes(&self) -> u64 {
        self.between
            .iter()
            .map(|r| r.forward.stats().bytes + r.backward.stats().bytes)
            .sum()
    }
}
