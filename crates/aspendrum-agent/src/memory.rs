//! How the memory of the process is divided among the messages that it receives. What remains is for code, the stored
//! sections and threads.

use aspendrum_model::settings::Settings;
use aspendrum_net::memory_budget::MemoryBudget;

/// The part of the memory for updates from control and snapshots from other agents.
const UPDATE_DIVISOR: usize = 4;
/// The part of the memory for connections on this machine and their messages, which are small.
const LOCAL_DIVISOR: usize = 16;

/// The budgets of an agent.
pub(crate) struct MemoryBudgets {
    /// For updates from control and snapshots from other agents.
    pub(crate) updates: MemoryBudget,
    /// For connections on this machine.
    pub(crate) local: MemoryBudget,
}

impl MemoryBudgets {
    /// Divides the memory limit of the settings.
    pub(crate) fn new(settings: &Settings) -> MemoryBudgets {
        let limit_bytes = settings.memory_limit_bytes();
        MemoryBudgets {
            updates: MemoryBudget::new(limit_bytes / UPDATE_DIVISOR),
            local: MemoryBudget::new(limit_bytes / LOCAL_DIVISOR),
        }
    }
}
