//! Breaches of the operators' rules.

use crate::Millis;
use std::fmt;

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The name of the rule, as operators know it.
    pub rule: &'static str,
    /// When the rule was broken.
    pub at: Millis,
    /// What happened.
    pub description: String,
}

const MILLIS_PER_SECOND: f64 = 1000.0;

impl Breach {
    pub(super) fn new(rule: &'static str, at: Millis, description: String) -> Breach {
        Breach {
            rule,
            at,
            description,
        }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at / MILLIS_PER_SECOND;
        write!(f, "{} at {seconds:.2} s: {}", self.rule, self.description)
    }
}
