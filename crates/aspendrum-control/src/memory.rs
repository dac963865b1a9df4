//! How the memory of the process is divided among its callers. What remains is for code, the replicated state, tables
//! and threads.

use aspendrum_model::settings::Settings;
use aspendrum_net::memory_budget::MemoryBudget;

/// The maximum size of a configuration's text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 16 << 20;
/// The part of the memory for operators' calls and the configurations in them.
const OPERATOR_DIVISOR: usize = 4;
/// The part of the memory for the messages of control nodes and agents, and their connections.
const PEER_DIVISOR: usize = 4;
/// The part of the memory for lookups of clients.
const LOOKUP_DIVISOR: usize = 16;

/// The part of the memory for the text of the platform's list of servers.
const SERVER_LIST_DIVISOR: usize = 16;

/// The budgets of a control node.
pub struct MemoryBudgets {
    /// For the calls of operators.
    pub operators: MemoryBudget,
    /// For the messages of control nodes and agents.
    pub peers: MemoryBudget,
    /// For the lookups of clients.
    pub lookups: MemoryBudget,
    /// The maximum size of the text of the platform's list of servers, in bytes.
    pub max_server_list_bytes: usize,
}

impl MemoryBudgets {
    /// Divides the memory limit of the settings.
    pub fn new(settings: &Settings) -> MemoryBudgets {
        let limit_bytes = settings.memory_limit_bytes();
        MemoryBudgets {
            operators: MemoryBudget::new(limit_bytes / OPERATOR_DIVISOR),
            peers: MemoryBudget::new(limit_bytes / PEER_DIVISOR),
            lookups: MemoryBudget::new(limit_bytes / LOOKUP_DIVISOR),
            max_server_list_bytes: limit_bytes / SERVER_LIST_DIVISOR,
        }
    }
}
