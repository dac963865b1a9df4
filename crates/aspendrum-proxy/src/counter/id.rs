//! Counter identifiers.

use aspendrum_model::hash::digest;
use serde::{Deserialize, Serialize};

/// Counter ids have 40 bits, because the decision engine stores a window number in the remaining bits of its names.
const ID_BITS: u64 = (1 << 40) - 1;

/// The id of a tenant's counter, which is the same at every proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CounterId(pub u64);

impl CounterId {
    /// Returns the id of a tenant's counter.
    pub fn for_tenant(name: &str) -> CounterId {
        CounterId(digest(name.as_bytes()) & ID_BITS)
    }

    /// Returns the id contained in the decision engine's name for a counter, which also contains a window number.
    pub fn from_engine_name(engine_name: u64) -> CounterId {
        CounterId(engine_name & ID_BITS)
    }
}
