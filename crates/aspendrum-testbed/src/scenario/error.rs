//! Why a scenario is refused.

use super::selector::Selector;
use derive_more::{Display, Error};

/// Why a scenario is refused. Keys are those of its text, with the places of list items: `plans.0.rate`.
#[derive(Debug, Display, Error)]
pub enum ScenarioError {
    /// It is not TOML of the expected form; says where.
    #[display("{_0}")]
    Unreadable(Box<toml::de::Error>),
    /// A value that takes the place of another one does not fit there.
    #[display("{key}: {source}")]
    InvalidValue {
        /// The key.
        key: String,
        /// Why not.
        source: Box<toml::de::Error>,
    },
    /// The key of a value that is to be replaced leads nowhere.
    #[display("{key}: there is no {part}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The part of it that is not there.
        part: String,
    },
    /// A figure is too small or too large.
    #[display("{key} must be from {min} to {max}, and is {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The figure.
        value: f64,
        /// The least one.
        min: f64,
        /// The greatest one.
        max: f64,
    },
    /// A list has no item.
    #[display("{key} is empty")]
    Empty {
        /// The key.
        key: &'static str,
    },
    /// Customers have a plan that is not there.
    #[display("{key} is no plan: {plan}")]
    UnknownPlan {
        /// The key.
        key: String,
        /// The plan.
        plan: String,
    },
    /// Customers send queries of a group that is not there.
    #[display("{key} names no endpoint group: {group}")]
    UnknownGroup {
        /// The key.
        key: String,
        /// The group.
        group: String,
    },
    /// A fault strikes nobody.
    #[display("{key} names none of {count}: {selector}")]
    NothingSelected {
        /// The key.
        key: String,
        /// How many there are to choose from.
        count: usize,
        /// What chooses.
        selector: Selector,
    },
    /// A fault of the counter, and no counter.
    #[display("{key}.kind counter: the scenario has no counter")]
    NoCounter {
        /// The key of the fault.
        key: String,
    },
}
