//! How the memory of the process is divided among the messages that it holds. What remains is for code, tables, threads
//! and idle connections to servers.

use aspendrum_model::settings::Settings;
use aspendrum_net::memory_budget::MemoryBudget;

/// The part of the memory for requests of clients and their connections.
const REQUEST_DIVISOR: usize = 2;
/// The part of the memory for responses of servers. It is separate, so that requests that wait for their responses
/// cannot take the memory that these need.
const RESPONSE_DIVISOR: usize = 4;
/// The part of the memory for the readiness and metrics pages, which answer whatever clients do.
const PAGE_DIVISOR: usize = 32;

/// The budgets of a proxy process.
pub struct MemoryBudgets {
    /// For the requests of clients, and the fixed memory of their connections.
    pub requests: MemoryBudget,
    /// For the readiness and metrics pages.
    pub pages: MemoryBudget,
    /// For the responses of servers.
    pub responses: MemoryBudget,
}

impl MemoryBudgets {
    /// Divides the memory limit of the settings.
    pub fn new(settings: &Settings) -> MemoryBudgets {
        let limit_bytes = settings.memory_limit_bytes();
        MemoryBudgets {
            requests: MemoryBudget::new(limit_bytes / REQUEST_DIVISOR),
            pages: MemoryBudget::new(limit_bytes / PAGE_DIVISOR),
            responses: MemoryBudget::new(limit_bytes / RESPONSE_DIVISOR),
        }
    }
}
