//! Errors of reading a scenario.

use super::selector::Selector;
use derive_more::{Display, Error};

/// An error of a scenario. Keys are dotted paths into its text, with the indices of list items, such as `plans.0.rate`.
#[derive(Debug, Display, Error)]
pub enum ScenarioError {
    /// The text is not valid TOML or has an unexpected structure; the source names the line.
    #[display("{_0}")]
    Unreadable(Box<toml::de::Error>),
    /// A replacement value is invalid for its key.
    #[display("{key}: {source}")]
    InvalidValue {
        /// The invalid key.
        key: String,
        /// The underlying error.
        source: Box<toml::de::Error>,
    },
    /// The key of a replacement value doesn't exist.
    #[display("{key}: unknown key part `{part}`")]
    UnknownKey {
        /// The invalid key.
        key: String,
        /// The part of the key that doesn't exist.
        part: String,
    },
    /// A number is out of range.
    #[display("{key} must be between {min} and {max}, but is {value}")]
    OutOfRange {
        /// The invalid key.
        key: String,
        /// The number.
        value: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// A required list is empty.
    #[display("{key} must not be empty")]
    Empty {
        /// The invalid key.
        key: &'static str,
    },
    /// Customers refer to an undefined plan.
    #[display("{key}: unknown plan `{plan}`")]
    UnknownPlan {
        /// The invalid key.
        key: String,
        /// The name of the plan.
        plan: String,
    },
    /// Customers refer to an undefined group.
    #[display("{key}: unknown group `{group}`")]
    UnknownGroup {
        /// The invalid key.
        key: String,
        /// The name of the group.
        group: String,
    },
    /// The selector of a fault matches nothing.
    #[display("{key}: selector `{selector}` matches none of {count}")]
    NothingSelected {
        /// The invalid key.
        key: String,
        /// The number of limiters or servers in the scenario.
        count: usize,
        /// The selector.
        selector: Selector,
    },
    /// A counter fault in a scenario without a counter.
    #[display("{key}.kind counter: the scenario has no counter")]
    NoCounter {
        /// The key of the fault.
        key: String,
    },
}
