//! Who votes, settled once at the first start of all. As many disks must vote that a majority is left when as many
//! are lost as the terms allow; the settings name fewer machines than that. So the machines that all are told of,
//! the seeds, agree on one set among those that have come: single-decree Paxos (Lamport, "Paxos Made Simple",
//! 2001), whose value is the set of voters. Nothing is acknowledged before; nothing of it is needed after.

use crate::holdings::{Ms, Place};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub type Voters = BTreeSet<Place>;

/// What a seed keeps on its disk until the voters are settled.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Acceptor {
    promised: u64,
    accepted: Option<(u64, Voters)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Prepare { ballot: u64 },
    Promise { ballot: u64, accepted: Option<(u64, Voters)> },
    Accept { ballot: u64, voters: Voters },
    Accepted { ballot: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Onto the disk, and synced, before any act behind it.
    Keep,
    Say {
        to: Place,
        word: Word,
    },
    /// It is settled.
    Founded(Voters),
}

/// Machines that have not come by then are not waited for: fewer vote, and fewer may be lost.
const LATE: Ms = 2500.0;
/// The seeds try one after another, so that they seldom outbid each other.
const TURN: Ms = 300.0;
/// A round that is not through by then is begun anew, above all that was heard of.
const ROUND: Ms = 500.0;

struct Bid {
    ballot: u64,
    begun: Ms,
    promises: BTreeMap<Place, Option<(u64, Voters)>>,
    voters: Option<Voters>,
    accepted: BTreeSet<Place>,
}

pub struct Founding {
    me: Place,
    seeds: Vec<Place>,
    /// How many are to vote.
    wanted: usize,
    acceptor: Acceptor,
    bid: Option<Bid>,
    highest: u64,
    settled: bool,
    acts: Vec<Act>,
}

/// How many must vote where that many disks may be lost at once.
pub fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

impl Founding {
    /// `kept`: what the disk held, if it held anything. `losses`: disks that may be lost at once.
    pub fn new(me: Place, seeds: &[Place], losses: usize, kept: Option<Acceptor>) -> Founding {
        let mut seeds = seeds.to_vec();
        seeds.sort_unstable();
        seeds.dedup();
        let acceptor = kept.unwrap_or_default();
        let highest = acceptor.promised;
        Founding {
            me,
            seeds,
            wanted: voters_for(losses),
            acceptor,
            bid: None,
            highest,
            settled: false,
            acts: Vec::new(),
        }
    }

    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// What is due. `now`: milliseconds since this process began. `there`: the machines of control that are heard
    /// of, this one among them, and their zones.
    pub fn beat(&mut self, now: Ms, there: &BTreeMap<Place, String>) -> Vec<Act> {
        let Some(turn) = self.seeds.iter().position(|s| *s == self.me).filter(|_| !self.settled) else {
            return Vec::new();
        };
        let come = self.seeds.iter().all(|s| there.contains_key(s)) && there.len() >= self.wanted;
        let first = if come { 0.0 } else { LATE };
        let quiet = self.bid.as_ref().is_none_or(|b| now - b.begun >= ROUND + TURN * turn as Ms);
        if quiet && now >= first + TURN * turn as Ms {
            self.bid(now, turn, there);
        }
        std::mem::take(&mut self.acts)
    }

    fn bid(&mut self, now: Ms, turn: usize, there: &BTreeMap<Place, String>) {
        let many = self.seeds.len() as u64;
        let ballot = (self.highest / many + 1) * many + turn as u64;
        self.highest = ballot;
        let voters = Some(self.choose(there));
        let (promises, accepted) = (BTreeMap::new(), BTreeSet::new());
        self.bid = Some(Bid { ballot, begun: now, promises, voters, accepted });
        self.say_all(&Word::Prepare { ballot });
    }

    /// The seeds, and of the others those whose zones have the fewest voters yet: the loss of a zone takes as few
    /// as can be.
    fn choose(&self, there: &BTreeMap<Place, String>) -> Voters {
        let mut voters: Voters = self.seeds.iter().copied().collect();
        let zone = |p: &Place| there.get(p).cloned().unwrap_or_default();
        while voters.len() < self.wanted {
            let in_zone = |p: &&Place| voters.iter().filter(|v| zone(v) == zone(p)).count();
            let others = there.keys().filter(|p| !voters.contains(p));
            let Some(next) = others.min_by_key(|p| (in_zone(p), **p)).copied() else { break };
            voters.insert(next);
        }
        voters
    }

    fn say_all(&mut self, word: &Word) {
        // Its own part last: that may end the bid.
        let mut seeds = self.seeds.clone();
        seeds.sort_by_key(|s| *s == self.me);
        for to in seeds {
            self.say(to, word.clone());
        }
    }

    fn say(&mut self, to: Place, word: Word) {
        if to == self.me {
            self.take(to, word);
        } else {
            self.acts.push(Act::Say { to, word });
        }
    }

    pub fn hear(&mut self, from: Place, word: Word) -> Vec<Act> {
        // Only seeds have a part in it, and each word comes from one.
        if self.seeds.contains(&self.me) && self.seeds.contains(&from) {
            self.take(from, word);
        }
        std::mem::take(&mut self.acts)
    }

    fn take(&mut self, from: Place, word: Word) {
        match word {
            Word::Prepare { ballot } => {
                self.highest = self.highest.max(ballot);
                if ballot > self.acceptor.promised {
                    self.acceptor.promised = ballot;
                    self.acts.push(Act::Keep);
                    let accepted = self.acceptor.accepted.clone();
                    self.say(from, Word::Promise { ballot, accepted });
                }
            }
            Word::Promise { ballot, accepted } => self.promised(from, ballot, accepted),
            Word::Accept { ballot, voters } => {
                self.highest = self.highest.max(ballot);
                if ballot >= self.acceptor.promised {
                    self.acceptor = Acceptor { promised: ballot, accepted: Some((ballot, voters)) };
                    self.acts.push(Act::Keep);
                    self.say(from, Word::Accepted { ballot });
                }
            }
            Word::Accepted { ballot } => {
                let majority = self.majority();
                let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == ballot) else { return };
                bid.accepted.insert(from);
                if bid.accepted.len() >= majority && !self.settled {
                    self.settled = true;
                    self.acts.extend(bid.voters.clone().map(Act::Founded));
                }
            }
        }
    }

    fn promised(&mut self, from: Place, ballot: u64, accepted: Option<(u64, Voters)>) {
        let majority = self.majority();
        let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == ballot) else { return };
        let before = bid.promises.len();
        bid.promises.insert(from, accepted);
        if before >= majority || bid.promises.len() < majority {
            return;
        }
        // What may have been settled already is proposed again, whatever has come since.
        let held = bid.promises.values().flatten().max_by_key(|a| a.0);
        bid.voters = held.map(|a| a.1.clone()).or(bid.voters.take());
        if let Some(voters) = bid.voters.clone() {
            self.say_all(&Word::Accept { ballot, voters });
        }
    }

    fn majority(&self) -> usize {
        self.seeds.len() / 2 + 1
    }
}
