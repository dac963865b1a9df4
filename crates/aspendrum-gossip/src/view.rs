//! A partial view of the fleet: a few neighbours, exchanged in shuffles so that all views together stay one connected,
//! nearly random graph while agents come and go.
//!
//! After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management for Unstructured P2P Overlays"
//! (2005). A node shuffles with its oldest neighbour and removes it from the view; the neighbour returns with its reply.
//! So an agent that has gone is forgotten within as many shuffles as a view has entries.

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// An entry of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// The agent's address.
    pub ip: Ipv4Addr,
    /// Shuffles since the agent itself was last heard of.
    pub age: u16,
}

/// The neighbours that one agent knows.
pub struct PartialView {
    local_agent: Ipv4Addr,
    neighbours: Vec<Neighbour>,
    pending_shuffle: Option<PendingShuffle>,
}

/// A shuffle whose reply has not come. The entries that were offered are the first to be replaced by the reply's.
struct PendingShuffle {
    with: Ipv4Addr,
    offered: Vec<Ipv4Addr>,
}

/// Entries of a full view. With 8 of a thousand agents, 30% of all agents may fail at once and the rest stays connected
/// (`docs/system-scale.md`).
pub const VIEW_SIZE: usize = 8;
/// Entries that are exchanged in one shuffle.
const SHUFFLE_SIZE: usize = 4;

impl PartialView {
    /// An empty view.
    pub fn new(local_agent: Ipv4Addr) -> PartialView {
        PartialView {
            local_agent,
            neighbours: Vec::with_capacity(VIEW_SIZE),
            pending_shuffle: None,
        }
    }

    /// The present entries.
    pub fn neighbours(&self) -> &[Neighbour] {
        &self.neighbours
    }

    /// Fills free entries with a random choice of agents that are known otherwise.
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

    /// At most `count` neighbours, chosen at random.
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

    /// Starts a shuffle. Returns with whom and what is offered, or nothing if there is no neighbour.
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

    /// Merges the offer of a shuffle that another agent started, and returns what it gets in return.
    pub fn handle_request(&mut self, rng: &mut Rng, offer: &[Neighbour]) -> Vec<Neighbour> {
        let reply = self.sample_entries(rng, SHUFFLE_SIZE);
        let given: Vec<Ipv4Addr> = reply.iter().map(|neighbour| neighbour.ip).collect();
        self.merge(offer, &given);
        reply
    }

    /// Merges the reply to a shuffle that this agent started; any other reply is ignored.
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

    /// Adds unknown agents in free entries, then in place of entries that were given away.
    fn merge(&mut self, offer: &[Neighbour], given: &[Ipv4Addr]) {
        let mut given = given.iter();
        for new in offer {
            if !self.is_unknown(new.ip) {
                continue;
            }
            if self.neighbours.len() >= VIEW_SIZE {
                let replaced = given.find_map(|ip| {
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
