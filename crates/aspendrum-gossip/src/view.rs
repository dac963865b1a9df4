//! A partial view: a few neighbours, exchanged by shuffles so that all views together stay one connected, almost
//! random graph whoever comes and goes. After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership
//! Management for Unstructured P2P Overlays" (2005): the oldest neighbour is asked, and given up by being asked, so
//! that whoever has gone is forgotten within as many shuffles as a view has places.

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    pub ip: Ipv4Addr,
    /// Shuffles since it said something itself.
    pub age: u16,
}

pub struct View {
    me: Ipv4Addr,
    neighbours: Vec<Neighbour>,
    /// What was offered to whom, until it answers: these places are given away first.
    offered: Option<(Ipv4Addr, Vec<Ipv4Addr>)>,
}

/// Places of a view. With 8 of a thousand, 30% of all machines may go at once and the rest stays connected
/// (`docs/system-scale.md`).
pub const PLACES: usize = 8;
/// Neighbours that change hands in one shuffle.
const EXCHANGED: usize = 4;

impl View {
    pub fn new(me: Ipv4Addr) -> View {
        View {
            me,
            neighbours: Vec::with_capacity(PLACES),
            offered: None,
        }
    }

    pub fn neighbours(&self) -> &[Neighbour] {
        &self.neighbours
    }

    /// Fills free places from machines that are known otherwise.
    pub fn meet(&mut self, rng: &mut Rng, known: &[Ipv4Addr]) {
        let mut known: Vec<Ipv4Addr> = known
            .iter()
            .copied()
            .filter(|ip| self.new_here(*ip))
            .collect();
        rng.shuffle(&mut known);
        let room = PLACES.saturating_sub(self.neighbours.len());
        self.neighbours.extend(
            known
                .into_iter()
                .take(room)
                .map(|ip| Neighbour { ip, age: 0 }),
        );
    }

    /// So many of the neighbours, by chance.
    pub fn some(&self, rng: &mut Rng, n: usize) -> Vec<Ipv4Addr> {
        let mut all: Vec<Ipv4Addr> = self.neighbours.iter().map(|n| n.ip).collect();
        rng.shuffle(&mut all);
        all.truncate(n);
        all
    }

    /// Begins a shuffle: with whom, and what is offered. None: there is no neighbour.
    pub fn shuffle(&mut self, rng: &mut Rng) -> Option<(Ipv4Addr, Vec<Neighbour>)> {
        self.neighbours
            .iter_mut()
            .for_each(|n| n.age = n.age.saturating_add(1));
        let oldest = (0..self.neighbours.len()).max_by_key(|n| self.neighbours[*n].age)?;
        // Given up by being asked: it comes back with its answer, and is gone if there is none.
        let to = self.neighbours.swap_remove(oldest).ip;
        let mut offer = self.draw(rng, EXCHANGED - 1);
        self.offered = Some((to, offer.iter().map(|n| n.ip).collect()));
        offer.push(Neighbour {
            ip: self.me,
            age: 0,
        });
        Some((to, offer))
    }

    /// Another's offer; what it gets in return.
    pub fn asked(&mut self, rng: &mut Rng, offer: &[Neighbour]) -> Vec<Neighbour> {
        let back = self.draw(rng, EXCHANGED);
        let given: Vec<Ipv4Addr> = back.iter().map(|n| n.ip).collect();
        self.take(offer, &given);
        back
    }

    /// The answer to an offer.
    pub fn answered(&mut self, from: Ipv4Addr, offer: &[Neighbour]) {
        let Some((_, given)) = self.offered.take_if(|o| o.0 == from) else {
            return;
        };
        self.take(offer, &given);
        if self.neighbours.len() < PLACES && self.new_here(from) {
            self.neighbours.push(Neighbour { ip: from, age: 0 });
        }
    }

    fn new_here(&self, ip: Ipv4Addr) -> bool {
        ip != self.me && self.neighbours.iter().all(|n| n.ip != ip)
    }

    fn draw(&self, rng: &mut Rng, n: usize) -> Vec<Neighbour> {
        let mut all = self.neighbours.clone();
        rng.shuffle(&mut all);
        all.truncate(n);
        all
    }

    /// New ones take free places, then those of neighbours that were given away.
    fn take(&mut self, offer: &[Neighbour], given: &[Ipv4Addr]) {
        let mut given = given.iter();
        for new in offer {
            if !self.new_here(new.ip) {
                continue;
            }
            if self.neighbours.len() >= PLACES {
                let place = given.find_map(|ip| self.neighbours.iter().position(|n| n.ip == *ip));
                let Some(place) = place else { return };
                self.neighbours.swap_remove(place);
            }
            self.neighbours.push(*new);
        }
    }
}
