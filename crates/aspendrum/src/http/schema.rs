//! The parts of the configuration needed to parse messages.

use aspendrum_core::api::{LoadValue, Semantics};
use std::collections::HashMap;

/// Names, numbers and bounds for parsing messages.
pub struct MessageSchema {
    /// The numbers of endpoint groups, by name.
    pub group_numbers: HashMap<String, u16>,
    /// The numbers of plans, by name.
    pub plan_numbers: HashMap<String, u32>,
    /// The semantics of each endpoint group, indexed by group number.
    pub semantics: Vec<Semantics>,
    /// The number of limiters.
    pub limiters: f64,
    /// The maximum number of units of one request.
    pub max_units: f64,
    /// The values of load reports that the decision engine uses.
    pub load_values: Vec<LoadValue>,
}

impl MessageSchema {
    /// Returns whether the requests of a group may run any number of times.
    pub(crate) fn is_idempotent(&self, group: u16) -> bool {
        self.semantics.get(usize::from(group)) == Some(&Semantics::Idempotent)
    }
}
