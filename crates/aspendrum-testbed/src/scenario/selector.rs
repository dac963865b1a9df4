//! Selectors: which limiters or servers a fault strikes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Some limiters or servers: `"all"`, `"zone 1"`, numbers as `"3"` and `"0-4,7"`, or a part of them all as
/// `"0%-50%"`, which holds for fleets of any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector(Vec<Term>);

/// One of the terms that a selector lists.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Term {
    All,
    Zone(usize),
    /// From the first to the last one, both included.
    Numbers(usize, usize),
    /// From one percentage of them all up to another.
    Part(f64, f64),
}

/// A text that selects nobody.
#[derive(Debug, Display, Error)]
#[display("\"{text}\" names nobody: use all, zone 1, 0-4,7 or 0%-50%")]
pub struct InvalidSelector {
    text: String,
}

impl Selector {
    /// All of them.
    pub fn all() -> Selector {
        Selector(vec![Term::All])
    }

    /// Whether it lists no term.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The numbers that it selects of `count`, which stand in `zones` in turn.
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
    fn read(text: &str) -> Option<Term> {
        let text = text.trim();
        if text == "all" {
            return Some(Term::All);
        }
        if let Some(zone) = text.strip_prefix("zone ") {
            return read_number(zone).map(Term::Zone);
        }
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        if let (Some(first), Some(last)) = (read_number(first), read_number(last)) {
            return (first <= last).then_some(Term::Numbers(first, last));
        }
        let (from, to) = (read_percentage(first)?, read_percentage(last)?);
        (from < to).then_some(Term::Part(from, to))
    }

    fn selects(&self, number: usize, count: usize, zones: usize) -> bool {
        let position = |percentage: f64| (percentage / 100.0 * count as f64).round() as usize;
        match *self {
            Term::All => true,
            Term::Zone(zone) => number % zones == zone,
            Term::Numbers(first, last) => (first..=last).contains(&number),
            Term::Part(from, to) => (position(from)..position(to)).contains(&number),
        }
    }
}

fn read_number(text: &str) -> Option<usize> {
    text.trim().parse().ok()
}

fn read_percentage(text: &str) -> Option<f64> {
    let number: f64 = text.trim().strip_suffix('%')?.parse().ok()?;
    (0.0..=100.0).contains(&number).then_some(number)
}

impl TryFrom<String> for Selector {
    type Error = InvalidSelector;

    fn try_from(text: String) -> Result<Selector, InvalidSelector> {
        let terms: Option<Vec<Term>> = text.split(',').map(Term::read).collect();
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
            Term::Numbers(first, last) if first == last => write!(f, "{first}"),
            Term::Numbers(first, last) => write!(f, "{first}-{last}"),
            Term::Part(from, to) => write!(f, "{from}%-{to}%"),
        }
    }
}
