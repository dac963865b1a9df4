//! The names of counters.

use aspendrum_model::hash::digest;
use serde::{Deserialize, Serialize};

/// Counter ids have 40 bits: the decision engine keeps a window's number in the other bits of its names.
const ID_BITS: u64 = (1 << 40) - 1;

/// Identifies a tenant's counter, the same at every proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CounterId(pub u64);

impl CounterId {
    /// The counter of the tenant with that name.
    pub fn of_tenant(name: &str) -> CounterId {
        CounterId(digest(name.as_bytes()) & ID_BITS)
    }

    /// The counter that the decision engine means by `engine_name`, which holds a window's number besides.
    pub fn of_engine_name(engine_name: u64) -> CounterId {
        CounterId(engine_name & ID_BITS)
    }
}
