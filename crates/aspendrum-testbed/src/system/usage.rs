//! What the processes of a run have used: processor time, memory, and bytes from control to agents.

use super::fleet::Fleet;
use super::slot::Slot;
use tokio::sync::Mutex;

/// What was used by a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all control nodes, in seconds.
    pub control_cpu_s: f64,
    /// Of all agents.
    pub agents_cpu_s: f64,
    /// Of all proxies.
    pub proxies_cpu_s: f64,
    /// The most resident memory that one control node has had, in KiB.
    pub control_peak_kb: u64,
    /// Bytes that control nodes have sent to agents.
    pub bytes_to_agents: u64,
}

impl Usage {
    /// What the processes that run now have used since their start.
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

    /// What was used after `earlier`; the peak of memory is of the whole life.
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
    let mut all = 0.0;
    for slot in slots {
        let slot = slot.lock().await;
        all += slot
            .process
            .as_ref()
            .and_then(|p| p.cpu_seconds())
            .unwrap_or(0.0);
    }
    all
}
