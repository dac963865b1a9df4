//! Resource usage of processes and connections, and its change over time.

use super::agent::{FleetCounters, HEARTBEAT_KIND};
use super::platform::Platform;
use super::processes::{Processes, SystemProcess};
use super::Simulation;
use crate::figure::FigureLine;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

/// The names of the frame kinds in figures.
const FRAME_KIND_NAMES: [&str; HEARTBEAT_KIND + 1] = [
    "config",
    "evacuated",
    "servers",
    "fronts",
    "control",
    "beats",
];

/// A snapshot of the usage counters of the whole fleet.
pub(super) struct Usage {
    at: Instant,
    /// CPU time of each control process, in seconds.
    control_cpu_s: Vec<f64>,
    /// CPU time of each process of the real limiters, in seconds.
    limiter_cpu_s: Vec<f64>,
    received_bytes: Vec<u64>,
    received_frames: Vec<u64>,
    sent_bytes: u64,
    connections: u64,
    silence_timeouts: u32,
    stale_disconnects: u32,
    update_gaps: u32,
    control_bytes: u64,
    limiter_bytes: u64,
    platform_calls: u64,
    platform_rejected: u64,
    platform_bytes: u64,
    platform_lists: u64,
}

impl Usage {
    pub(super) fn now(processes: &Processes, agents: &FleetCounters, platform: &Platform) -> Usage {
        let platform = &platform.counters;
        Usage {
            at: Instant::now(),
            control_cpu_s: processes
                .control_nodes
                .iter()
                .map(SystemProcess::cpu_s)
                .collect(),
            limiter_cpu_s: processes
                .limiters
                .iter()
                .map(SystemProcess::cpu_s)
                .collect(),
            received_bytes: agents
                .received_bytes
                .iter()
                .map(|n| n.load(Relaxed))
                .collect(),
            received_frames: agents
                .received_frames
                .iter()
                .map(|n| n.load(Relaxed))
                .collect(),
            sent_bytes: agents.sent_bytes.load(Relaxed),
            connections: agents.connections.load(Relaxed),
            silence_timeouts: agents.silence_timeouts.load(Relaxed),
            stale_disconnects: agents.stale_disconnects.load(Relaxed),
            update_gaps: agents.update_gaps.load(Relaxed),
            control_bytes: processes.control_bytes(),
            limiter_bytes: processes.limiter_bytes(),
            platform_calls: platform.calls.load(Relaxed),
            platform_rejected: platform.rejected.load(Relaxed),
            platform_bytes: platform.sent_bytes.load(Relaxed),
            platform_lists: platform.lists.load(Relaxed),
        }
    }

    /// Returns the CPU time of a control process, in seconds.
    pub(super) fn control_cpu_s(&self, node: usize) -> f64 {
        self.control_cpu_s[node]
    }
}

/// Returns the CPU time between two snapshots. For a process that was restarted in between, it is counted from the
/// restart, which is detected by a lower CPU time.
fn cpu_between(earlier: f64, later: f64) -> f64 {
    if later >= earlier {
        later - earlier
    } else {
        later
    }
}

impl Simulation<'_> {
    pub(super) fn usage(&self) -> Usage {
        Usage::now(&self.processes, &self.counters, &self.platform)
    }

    /// Prints the usage since a snapshot: of control, of the connection of an average agent, between control nodes, at
    /// the platform, and of the real limiters.
    pub(super) fn print_usage(&self, name: &str, since: &Usage) {
        let now = self.usage();
        let seconds = (now.at - since.at).as_secs_f64();
        let line = self.figure(name).number("span_s", seconds);
        let line = self.with_control(line, &now, since, seconds);
        let line = self.with_agents(line, &now, since, seconds);
        with_platform(line, &now, since, seconds).print();
        for (index, process) in self.processes.limiters.iter().enumerate() {
            let cpu_s = cpu_between(since.limiter_cpu_s[index], now.limiter_cpu_s[index]);
            let bytes = (now.limiter_bytes - since.limiter_bytes) as f64;
            self.figure(&format!("{name}.{}", process.name))
                .with("mbps", self.plan.bandwidth_mbps)
                .number("core", cpu_s / seconds)
                .number("rss_mb", status_mb(process, "VmRSS"))
                .number("rss_most_mb", status_mb(process, "VmHWM"))
                .with("descriptors", process.open_descriptors())
                .number("links_b_s", bytes / seconds / self.plan.limiters as f64)
                .print();
        }
    }

    fn with_control(
        &self,
        line: FigureLine,
        now: &Usage,
        since: &Usage,
        seconds: f64,
    ) -> FigureLine {
        let cpu_times = since.control_cpu_s.iter().zip(&now.control_cpu_s);
        let cores: Vec<f64> = cpu_times
            .map(|(earlier, later)| cpu_between(*earlier, *later) / seconds)
            .collect();
        let mean = cores.iter().sum::<f64>() / cores.len().max(1) as f64;
        let nodes = || self.processes.control_nodes.iter();
        let highest = |key: &str| {
            nodes()
                .filter_map(|node| node.status(key))
                .max()
                .unwrap_or(0)
        };
        let descriptors = nodes()
            .map(SystemProcess::open_descriptors)
            .max()
            .unwrap_or(0);
        line.number("vault_core_mean", mean)
            .number("vault_core_most", cores.iter().copied().fold(0.0, f64::max))
            .number("rss_mb", highest("VmRSS") as f64 / 1e3)
            .number("rss_most_mb", highest("VmHWM") as f64 / 1e3)
            .with("descriptors", descriptors)
            .with("threads", highest("Threads"))
    }

    fn with_agents(
        &self,
        line: FigureLine,
        now: &Usage,
        since: &Usage,
        seconds: f64,
    ) -> FigureLine {
        let agents = self.plan.agents.max(1) as f64;
        let per_agent = |later: u64, earlier: u64| (later - earlier) as f64 / seconds / agents;
        let mut line = line.number("up_b_s", per_agent(now.sent_bytes, since.sent_bytes));
        for (kind, name) in FRAME_KIND_NAMES.iter().enumerate() {
            let bytes_per_s = per_agent(now.received_bytes[kind], since.received_bytes[kind]);
            let frames = now.received_frames[kind] - since.received_frames[kind];
            line = line
                .number(&format!("{name}_b_s"), bytes_per_s)
                .with(&format!("{name}_frames"), frames);
        }
        let control_bytes = (now.control_bytes - since.control_bytes) as f64;
        line.number("between_vaults_b_s", control_bytes / seconds)
            .with("links", now.connections - since.connections)
            .with("silent", now.silence_timeouts - since.silence_timeouts)
            .with("stale", now.stale_disconnects - since.stale_disconnects)
            .with("missed", now.update_gaps - since.update_gaps)
    }
}

fn with_platform(line: FigureLine, now: &Usage, since: &Usage, seconds: f64) -> FigureLine {
    let per_second = |later: u64, earlier: u64| (later - earlier) as f64 / seconds;
    let rejected = now.platform_rejected - since.platform_rejected;
    line.number(
        "platform_calls_s",
        per_second(now.platform_calls, since.platform_calls),
    )
    .with("platform_refused", rejected)
    .number(
        "platform_b_s",
        per_second(now.platform_bytes, since.platform_bytes),
    )
    .number(
        "platform_lists_s",
        per_second(now.platform_lists, since.platform_lists),
    )
}

/// Returns a memory size from the `/proc` status of a process, in megabytes.
pub(super) fn status_mb(process: &SystemProcess, key: &str) -> f64 {
    process.status(key).unwrap_or(0) as f64 / 1e3
}
