//! What the processes and the connections have used, and the difference between two moments.

use super::agent::{FleetCounters, HEARTBEAT_KIND};
use super::platform::Platform;
use super::processes::{Member, Processes};
use super::Simulation;
use crate::figure::FigureLine;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Instant;

/// The kinds of frames in figures.
const FRAME_KIND_NAMES: [&str; HEARTBEAT_KIND + 1] = [
    "config",
    "evacuated",
    "servers",
    "fronts",
    "control",
    "beats",
];

/// Counters of the whole fleet at a moment.
pub(super) struct Usage {
    at: Instant,
    /// Processor time of each control process, seconds.
    control_cpu_s: Vec<f64>,
    /// Processor time of each process of real limiters, seconds.
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
            control_cpu_s: processes.control_nodes.iter().map(Member::cpu_s).collect(),
            limiter_cpu_s: processes.limiters.iter().map(Member::cpu_s).collect(),
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

    /// Processor time of a control process so far, seconds.
    pub(super) fn control_cpu_s(&self, node: usize) -> f64 {
        self.control_cpu_s[node]
    }
}

/// Processor time from one moment to another. A process that was restarted meanwhile counts from its start.
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

    /// Prints what was used since then: by control, by the connection of each agent, between control nodes, at the
    /// platform, and by the real limiters.
    pub(super) fn print_usage(&self, name: &str, since: &Usage) {
        let now = self.usage();
        let seconds = (now.at - since.at).as_secs_f64();
        let line = self.figure(name).number("span_s", seconds);
        let line = self.with_control(line, &now, since, seconds);
        let line = self.with_agents(line, &now, since, seconds);
        with_platform(line, &now, since, seconds).print();
        for (index, member) in self.processes.limiters.iter().enumerate() {
            let cpu_s = cpu_between(since.limiter_cpu_s[index], now.limiter_cpu_s[index]);
            let bytes = (now.limiter_bytes - since.limiter_bytes) as f64;
            self.figure(&format!("{name}.{}", member.name))
                .with("mbps", self.plan.bandwidth_mbps)
                .number("core", cpu_s / seconds)
                .number("rss_mb", status_mb(member, "VmRSS"))
                .number("rss_most_mb", status_mb(member, "VmHWM"))
                .with("descriptors", member.open_descriptors())
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
        let descriptors = nodes().map(Member::open_descriptors).max().unwrap_or(0);
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

/// A memory size of a process' status page, megabytes.
pub(super) fn status_mb(member: &Member, key: &str) -> f64 {
    member.status(key).unwrap_or(0) as f64 / 1e3
}
