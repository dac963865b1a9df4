//! Resource usage of the processes of a run: processor time, memory, and bytes sent from control nodes to agents.

use super::fleet::Fleet;
use super::slot::Slot;
use tokio::sync::Mutex;

/// Cumulative resource usage at one time, or the difference between two.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all control nodes, in seconds.
    pub control_cpu_s: f64,
    /// Processor time of all agents, in seconds.
    pub agents_cpu_s: f64,
    /// Processor time of all proxies, in seconds.
    pub proxies_cpu_s: f64,
    /// The peak resident memory of any control node, in KiB.
    pub control_peak_kb: u64,
    /// The number of bytes that control nodes have sent to agents.
    pub bytes_to_agents: u64,
}

impl Usage {
    /// Returns the usage of the running processes since their start.
    pub async fn of(fleet: &Fleet) -> Usage {
        let mut usage = Usage {
            control_cpu_s: cpu_s(&fleet.cores).await,
            agents_cpu_s: cpu_s(&fleet.agents).await,
            proxies_cpu_s: cpu_s(&fleet.proxies).await,
            bytes_to_agents: fleet.bytes_to_agents(),
            ..Usage::default()
        };
        for slot in &fleet.cores {
            let slot = slot.lock().await;
            let peak = slot.process.as_ref().and_then(|p| p.peak_memory_kb());
            usage.control_peak_kb = usage.control_peak_kb.max(peak.unwrap_or(0));
        }
        usage
    }

    /// Returns the usage since `earlier`. Peak memory is that since the start of the processes.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage {
            control_cpu_s: self.control_cpu_s - earlier.control_cpu_s,
            agents_cpu_s: self.agents_cpu_s - earlier.agents_cpu_s,
            proxies_cpu_s: self.proxies_cpu_s - earlier.proxies_cpu_s,
            control_peak_kb: self.control_peak_kb,
            bytes_to_agents: self.bytes_to_agents - earlier.bytes_to_agents,
        }
    }
}

async fn cpu_s(slots: &[Mutex<Slot>]) -> f64 {
    let mut total = 0.0;
    for slot in slots {
        let slot = slot.lock().await;
        total += slot
            .process
            .as_ref()
            .and_then(|p| p.cpu_seconds())
            .unwrap_or(0.0);
    }
    total
}
