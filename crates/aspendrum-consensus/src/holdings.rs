//! What is held: a join semilattice. Any two states have one that contains both, in whatever order messages come.

use aspendrum_model::hash::digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub type Ms = f64;

/// A machine of control, by its IP number.
pub type Place = u32;

/// An order of the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// A configuration that was found valid; its text, packed, and the digest of the text as it was sent.
    Config {
        version: u32,
        text: Vec<u8>,
        digest: u64,
    },
    /// Begin or end of a zone's evacuation.
    Evacuation { zone: String, on: bool },
    /// Nothing new: what does a majority hold?
    Read,
}

/// A configuration that was decided: there is one text under its number.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    pub version: u32,
    pub text: Vec<u8>,
}

/// The last order about a zone. Of two orders with one number the ending counts: traffic back on a warm zone
/// harms less than a zone forgotten for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Evacuation {
    pub number: u64,
    pub off: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holdings {
    pub config: Config,
    pub evacuations: BTreeMap<String, Evacuation>,
}

impl Holdings {
    /// Takes in what the other has. True: something was new.
    pub fn join(&mut self, other: &Holdings) -> bool {
        let before = self.clone();
        if other.config.version > self.config.version {
            self.config = other.config.clone();
        }
        for (zone, theirs) in &other.evacuations {
            let ours = self.evacuations.entry(zone.clone()).or_default();
            *ours = (*ours).max(*theirs);
        }
        *self != before
    }

    /// A digest of what operators ordered: alike where the same orders are held.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&self.config.version.to_le_bytes());
        bytes.extend_from_slice(&digest(&self.config.text).to_le_bytes());
        for (zone, e) in &self.evacuations {
            bytes.extend_from_slice(zone.as_bytes());
            bytes.extend_from_slice(&e.number.to_le_bytes());
            bytes.push(u8::from(e.off));
        }
        digest(&bytes)
    }

    /// The zones that get nothing, and the number of the last order about any.
    pub fn evacuated(&self) -> (u64, Vec<String>) {
        let on = self
            .evacuations
            .iter()
            .filter(|e| !e.1.off)
            .map(|e| e.0.clone());
        (
            self.evacuations.values().map(|e| e.number).sum(),
            on.collect(),
        )
    }

    /// Carries out an order about a zone on what a majority was seen to hold.
    pub fn obey(&mut self, order: &Order) {
        if let Order::Evacuation { zone, on } = order {
            let e = self.evacuations.entry(zone.clone()).or_default();
            // An order that is in force already is the same one, sent again.
            if e.number == 0 || e.off == *on {
                *e = Evacuation {
                    number: e.number + 1,
                    off: !on,
                };
            }
        }
    }

    /// With a configuration that was decided.
    pub fn with(mut self, version: u32, text: Vec<u8>) -> Holdings {
        if version > self.config.version {
            self.config = Config { version, text };
        }
        self
    }
}
