//! What parsing messages needs to know of the configuration.

use aspendrum_core::api::{LoadValue, Semantics};
use std::collections::HashMap;

/// The names, numbers and bounds by which messages are read.
pub struct MessageSchema {
    /// The numbers of endpoint groups, by name.
    pub group_numbers: HashMap<String, u16>,
    /// The numbers of plans, by name.
    pub plan_numbers: HashMap<String, u32>,
    /// Whether the requests of each endpoint group may run more than once, by number.
    pub semantics: Vec<Semantics>,
    /// How many limiters there are.
    pub limiters: f64,
    /// The most units that one request takes.
    pub max_units: f64,
    /// The values of load reports that the decision engine uses.
    pub load_values: Vec<LoadValue>,
}

impl MessageSchema {
    /// Whether the requests of that group may run any number of times.
    pub(crate) fn is_idempotent(&self, group: u16) -> bool {
        self.semantics.get(usize::from(group)) == Some(&Semantics::Idempotent)
    }
}
