//! A partial view of the fleet: a small set of neighbours. Agents exchange entries of their views in shuffles, so that
//! the views form a connected and nearly random graph while agents join and leave.
//!
//! After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management for Unstructured P2P Overlays"
//! (2005). A node shuffles with its oldest neighbour and removes it from its view; the neighbour is added again when it
//! replies. An agent that has left is therefore removed within as many shuffles as a view has entries.

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// An entry of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// The agent's address.
    pub ip: Ipv4Addr,
    /// The age of the entry in shuffles. An agent sends its own entry with age 0.
    pub age: u16,
}

/// The partial view of one agent.
pub struct PartialView {
    local_agent: Ipv4Addr,
    neighbours: Vec<Neighbour>,
    pending_shuffle: Option<PendingShuffle>,
}

/// A shuffle that awaits its reply. The entries of the reply replace the offered ones in a full view.
struct PendingShuffle {
    with: Ipv4Addr,
    offered: Vec<Ipv4Addr>,
}

/// The maximum number of entries of a view. With 8 entries and a thousand agents, the fleet stays connected when 30% of
/// the agents fail at once (`docs/system-scale.md`).
pub const VIEW_SIZE: usize = 8;
/// The number of entries that are exchanged in one shuffle.
const SHUFFLE_SIZE: usize = 4;

impl PartialView {
    /// Creates an empty view.
    pub fn new(local_agent: Ipv4Addr) -> PartialView {
        PartialView {
            local_agent,
            neighbours: Vec::with_capacity(VIEW_SIZE),
            pending_shuffle: None,
        }
    }

    /// Returns the current entries.
    pub fn neighbours(&self) -> &[Neighbour] {
        &self.neighbours
    }

    /// Fills free entries with a random selection of `agents`.
    pub fn fill(&mut self, rng: &mut Rng, agents: &[Ipv4Addr]) {
        let mut unknown: Vec<Ipv4Addr> = agents
            .iter()
            .copied()
            .filter(|ip| self.is_unknown(*ip))
            .collect();
        rng.shuffle(&mut unknown);
        let free = VIEW_SIZE.saturating_sub(self.neighbours.len());
        self.neighbours.extend(
            unknown
                .into_iter()
                .take(free)
                .map(|ip| Neighbour { ip, age: 0 }),
        );
    }

    /// Returns at most `count` random neighbours.
    pub fn sample(&self, rng: &mut Rng, count: usize) -> Vec<Ipv4Addr> {
        let mut addresses: Vec<Ipv4Addr> = self
            .neighbours
            .iter()
            .map(|neighbour| neighbour.ip)
            .collect();
        rng.shuffle(&mut addresses);
        addresses.truncate(count);
        addresses
    }

    /// Starts a shuffle. Returns the peer and the offered entries, or `None` if the view is empty.
    pub fn start_shuffle(&mut self, rng: &mut Rng) -> Option<(Ipv4Addr, Vec<Neighbour>)> {
        self.neighbours
            .iter_mut()
            .for_each(|neighbour| neighbour.age = neighbour.age.saturating_add(1));
        let oldest = (0..self.neighbours.len()).max_by_key(|index| self.neighbours[*index].age)?;
        let with = self.neighbours.swap_remove(oldest).ip;
        let mut offer = self.sample_entries(rng, SHUFFLE_SIZE - 1);
        let offered = offer.iter().map(|neighbour| neighbour.ip).collect();
        self.pending_shuffle = Some(PendingShuffle { with, offered });
        offer.push(Neighbour {
            ip: self.local_agent,
            age: 0,
        });
        Some((with, offer))
    }

    /// Merges the offer of a shuffle that another agent started, and returns the entries for the reply.
    pub fn handle_request(&mut self, rng: &mut Rng, offer: &[Neighbour]) -> Vec<Neighbour> {
        let reply = self.sample_entries(rng, SHUFFLE_SIZE);
        let sent: Vec<Ipv4Addr> = reply.iter().map(|neighbour| neighbour.ip).collect();
        self.merge(offer, &sent);
        reply
    }

    /// Merges the reply to a pending shuffle. Other replies are ignored.
    pub fn handle_reply(&mut self, from: Ipv4Addr, offer: &[Neighbour]) {
        let Some(shuffle) = self.pending_shuffle.take_if(|shuffle| shuffle.with == from) else {
            return;
        };
        self.merge(offer, &shuffle.offered);
        if self.neighbours.len() < VIEW_SIZE && self.is_unknown(from) {
            self.neighbours.push(Neighbour { ip: from, age: 0 });
        }
    }

    fn is_unknown(&self, ip: Ipv4Addr) -> bool {
        ip != self.local_agent && self.neighbours.iter().all(|neighbour| neighbour.ip != ip)
    }

    fn sample_entries(&self, rng: &mut Rng, count: usize) -> Vec<Neighbour> {
        let mut entries = self.neighbours.clone();
        rng.shuffle(&mut entries);
        entries.truncate(count);
        entries
    }

    /// Adds unknown agents to free entries, then in place of entries that were sent to the peer.
    fn merge(&mut self, offer: &[Neighbour], sent: &[Ipv4Addr]) {
        let mut sent = sent.iter();
        for new in offer {
            if !self.is_unknown(new.ip) {
                continue;
            }
            if self.neighbours.len() >= VIEW_SIZE {
                let replaced = sent.find_map(|ip| {
                    self.neighbours
                        .iter()
                        .position(|neighbour| neighbour.ip == *ip)
                });
                let Some(index) = replaced else { return };
                self.neighbours.swap_remove(index);
            }
            self.neighbours.push(*new);
        }
    }
}
