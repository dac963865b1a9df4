//! When the voters are to change, and to whom: a decision without I/O that every voter takes by itself. That one set is
//! decided in the end is the ballot's concern; here turns keep them from outbidding each other.

use crate::holdings::{Ms, Place};
use crate::membership::{DiskId, Epoch, Voters, FOUNDING_DISK};
use std::collections::BTreeMap;

/// The first voters are chosen once all seeds and as many machines as must vote have come, or then.
const FOUND_LATEST: Ms = 2500.0;
/// Voters propose one after another.
const TURN: Ms = 300.0;
/// Of the time in which a lost machine's successor must count, how long it is awaited itself.
const AWAY_SHARE: f64 = 0.4;
/// No machine counts as away sooner: signs of life come each half second.
const AWAY_LEAST: Ms = 1600.0;

/// Whoever was not heard for so long is not chosen.
const HEARD: Ms = 1000.0;

/// What is known of a machine of control.
#[derive(Clone, Debug, PartialEq)]
pub struct Presence {
    pub disk: DiskId,
    pub zone: String,
    /// Since it was heard last, milliseconds.
    pub silent: Ms,
    /// It was told to end.
    pub leaving: bool,
}

impl Presence {
    fn up(&self) -> bool {
        self.silent < AWAY_LEAST
    }

    fn may_vote(&self) -> bool {
        self.silent < HEARD && !self.leaving && self.disk != FOUNDING_DISK
    }
}

/// The bounds of a deployment that the choice of voters rests on.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How many are to vote.
    pub voters: usize,
    /// A voter that was silent for so long is replaced by a machine that stands by.
    pub away: Ms,
}

impl Rules {
    /// `losses`: disks that may be lost at once. `sync`: a machine counts as lost for so long after its start.
    pub fn of(losses: usize, sync: Ms) -> Rules {
        Rules {
            voters: crate::membership::voters_for(losses),
            away: (AWAY_SHARE * sync).max(AWAY_LEAST),
        }
    }
}

/// Proposes the voters of the next epoch when the present ones are not as they should be.
#[derive(Debug)]
pub struct Reconfigure {
    me: Place,
    rules: Rules,
    begun: Ms,
    /// What is wanted, of which epoch, and since when.
    wanted: Option<(u32, Voters, Ms)>,
}

impl Reconfigure {
    pub fn new(me: Place, rules: Rules, now: Ms) -> Reconfigure {
        Reconfigure {
            me,
            rules,
            begun: now,
            wanted: None,
        }
    }

    /// The voters that this machine is to propose now. `present`: all machines of control that were ever heard, this
    /// one among them.
    pub fn due(
        &mut self,
        now: Ms,
        epoch: &Epoch,
        present: &BTreeMap<Place, Presence>,
    ) -> Option<Voters> {
        let wanted = if epoch.serves() {
            next_voters(&epoch.voters, present, &self.rules)
        } else {
            self.first_voters(now, &epoch.voters, present)
        };
        let Some(wanted) = wanted else {
            self.wanted = None;
            return None;
        };
        let known = self
            .wanted
            .take()
            .filter(|w| w.0 == epoch.number && w.1 == wanted);
        let since = known.map_or(now, |w| w.2);
        self.wanted = Some((epoch.number, wanted.clone(), since));
        let turn = self.turn(&epoch.voters, present)?;
        (now - since >= TURN * turn as Ms).then_some(wanted)
    }

    /// How many voters come before this one. None: it does not vote.
    fn turn(&self, voters: &Voters, present: &BTreeMap<Place, Presence>) -> Option<usize> {
        let able = |(place, disk): &(&Place, &DiskId)| {
            let same = |p: &Presence| **disk == FOUNDING_DISK || p.disk == **disk;
            **place == self.me
                || present
                    .get(place)
                    .is_some_and(|p| p.up() && !p.leaving && same(p))
        };
        voters
            .0
            .iter()
            .filter(able)
            .position(|(place, _)| *place == self.me)
    }

    /// The seeds that have come, and of the others those whose zones have the fewest voters yet.
    fn first_voters(
        &self,
        now: Ms,
        seeds: &Voters,
        present: &BTreeMap<Place, Presence>,
    ) -> Option<Voters> {
        let there = |p: &Place| present.get(p).filter(|p| p.may_vote()).map(|p| p.disk);
        let up = present.values().filter(|p| p.may_vote()).count();
        let come = seeds.places().all(|p| there(&p).is_some()) && up >= self.rules.voters;
        if !come && now - self.begun < FOUND_LATEST {
            return None;
        }
        let mut voters = Voters(
            seeds
                .places()
                .filter_map(|p| Some((p, there(&p)?)))
                .collect(),
        );
        while voters.len() < self.rules.voters {
            let Some((place, disk)) = standby(&voters, present) else {
                break;
            };
            voters.0.insert(place, disk);
        }
        Some(voters).filter(|v| !v.is_empty())
    }
}

/// Of the machines that do not vote, the one whose zone has the fewest voters: the loss of a zone takes as few of them
/// as can be.
fn standby(voters: &Voters, present: &BTreeMap<Place, Presence>) -> Option<(Place, DiskId)> {
    let zone_of = |p: Place| present.get(&p).map(|p| p.zone.as_str());
    let in_zone = |zone: &str| {
        voters
            .places()
            .filter(|p| zone_of(*p) == Some(zone))
            .count()
    };
    let able = present
        .iter()
        .filter(|(place, p)| p.may_vote() && !voters.names(**place));
    let best = able.min_by_key(|(place, p)| (in_zone(&p.zone), **place))?;
    Some((*best.0, best.1.disk))
}

/// The voters after one change, if one is due: a machine that came back with another disk takes its own place; a
/// missing voter is added; one that ends or was away for long gives way to a machine that stands by.
pub fn next_voters(
    voters: &Voters,
    present: &BTreeMap<Place, Presence>,
    rules: &Rules,
) -> Option<Voters> {
    let mut next = voters.clone();
    let wiped = |(place, disk): (&Place, &DiskId)| {
        let now = present.get(place).filter(|p| p.may_vote())?;
        (now.disk != *disk).then_some((*place, now.disk))
    };
    if let Some((place, disk)) = voters.0.iter().find_map(wiped) {
        next.0.insert(place, disk);
        return Some(next);
    }
    if voters.len() < rules.voters {
        let (place, disk) = standby(voters, present)?;
        next.0.insert(place, disk);
        return Some(next);
    }
    let gone = |place: &Place| {
        present
            .get(place)
            .is_none_or(|p| p.leaving || p.silent >= rules.away)
    };
    let place = voters.places().find(gone)?;
    next.0.remove(&place);
    let (standby, disk) = standby(&next, present).filter(|s| s.0 != place)?;
    next.0.insert(standby, disk);
    Some(next)
}
