//! Selectors of the limiters or servers that a fault affects.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A set of limiters or servers: `"all"`, `"zone 1"`, numbers such as `"3"` and `"0-4,7"`, or a percentage range such as
/// `"0%-50%"`, which applies to fleets of any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector(Vec<Term>);

/// One of the comma-separated terms of a selector.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Term {
    All,
    Zone(usize),
    /// An inclusive range of numbers.
    Range(usize, usize),
    /// A range of percentages of the fleet, the end excluded.
    Percentages(f64, f64),
}

/// The error for a text that isn't a selector.
#[derive(Debug, Display, Error)]
#[display("invalid selector \"{text}\": use all, zone 1, 0-4,7 or 0%-50%")]
pub struct InvalidSelector {
    text: String,
}

impl Selector {
    /// Returns the selector of the whole fleet.
    pub fn all() -> Selector {
        Selector(vec![Term::All])
    }

    /// Whether the selector has no terms.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the selected numbers below `count`, where number `n` is in zone `n % zones`.
    pub fn select(&self, count: usize, zones: usize) -> Vec<usize> {
        let is_selected = |number: &usize| {
            self.0
                .iter()
                .any(|term| term.selects(*number, count, zones))
        };
        (0..count).filter(is_selected).collect()
    }
}

impl Term {
    fn parse(text: &str) -> Option<Term> {
        let text = text.trim();
        if text == "all" {
            return Some(Term::All);
        }
        if let Some(zone) = text.strip_prefix("zone ") {
            return parse_number(zone).map(Term::Zone);
        }
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        if let (Some(first), Some(last)) = (parse_number(first), parse_number(last)) {
            return (first <= last).then_some(Term::Range(first, last));
        }
        let (from, to) = (parse_percentage(first)?, parse_percentage(last)?);
        (from < to).then_some(Term::Percentages(from, to))
    }

    fn selects(&self, number: usize, count: usize, zones: usize) -> bool {
        let index = |percentage: f64| (percentage / 100.0 * count as f64).round() as usize;
        match *self {
            Term::All => true,
            Term::Zone(zone) => number % zones == zone,
            Term::Range(first, last) => (first..=last).contains(&number),
            Term::Percentages(from, to) => (index(from)..index(to)).contains(&number),
        }
    }
}

fn parse_number(text: &str) -> Option<usize> {
    text.trim().parse().ok()
}

fn parse_percentage(text: &str) -> Option<f64> {
    let number: f64 = text.trim().strip_suffix('%')?.parse().ok()?;
    (0.0..=100.0).contains(&number).then_some(number)
}

impl TryFrom<String> for Selector {
    type Error = InvalidSelector;

    fn try_from(text: String) -> Result<Selector, InvalidSelector> {
        let terms: Option<Vec<Term>> = text.split(',').map(Term::parse).collect();
        terms.map(Selector).ok_or(InvalidSelector { text })
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, term) in self.0.iter().enumerate() {
            f.write_str(if index > 0 { "," } else { "" })?;
            write!(f, "{term}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Term::All => f.write_str("all"),
            Term::Zone(zone) => write!(f, "zone {zone}"),
            Term::Range(first, last) if first == last => write!(f, "{first}"),
            Term::Range(first, last) => write!(f, "{first}-{last}"),
            Term::Percentages(from, to) => write!(f, "{from}%-{to}%"),
        }
    }
}
