//! An agent among its neighbours. In touch with control it shuffles its view and nothing else. Without a majority's
//! word for a while it asks neighbours for theirs: what was decided, and how long ago a majority held nothing
//! newer. Ages only ever grow on the way, each counted from when the asker asked; so a borrowed word promises no
//! more than the lender's did.

use crate::view::{Neighbour, View};
use crate::Ms;
use aspendrum_model::message::StateDigest;
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A datagram between agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Shuffle {
        offer: Vec<Neighbour>,
    },
    Shuffled {
        offer: Vec<Neighbour>,
    },
    /// What does a majority hold, and how long ago was that so? `stamp`: milliseconds on the asker's clock.
    Ask {
        stamp: u64,
    },
    /// `age` milliseconds ago a majority held nothing above `of`; the speaker holds that.
    Lent {
        stamp: u64,
        age: u32,
        of: StateDigest,
    },
    /// The speaker has had no majority's word for too long, or never.
    Alone {
        stamp: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Say {
        to: Ipv4Addr,
        word: Word,
    },
    /// A majority held nothing above what is held here, as of then.
    AsOf(Ms),
    /// That neighbour holds more: a snapshot is to be had there.
    Fetch(Ipv4Addr),
}

/// Between two shuffles. 80 bytes each way: 63 agents make 5 KB a second in all.
const SHUFFLE_EVERY: Ms = 2000.0;
/// Between two questions while nothing is heard of a majority, and how many neighbours are asked at once.
const ASK_EVERY: Ms = 300.0;
const ASKED: usize = 2;
/// So far back questions and their answers tell how the fleet stands, and so many at least.
const SAMPLED: Ms = 2000.0;
const SAMPLE: usize = 4;
/// Between two snapshots: a lender's word may come again before its news have been taken.
const FETCH_EVERY: Ms = 500.0;

pub struct Circle {
    view: View,
    rng: Rng,
    shuffled: Ms,
    asked: Ms,
    fetched: Ms,
    /// Questions of late: when, to whom, whether the answer was that it is alone too.
    sample: Vec<(u64, Ipv4Addr, bool)>,
}

impl Circle {
    pub fn new(me: Ipv4Addr, seed: u64) -> Circle {
        let long_ago = f64::NEG_INFINITY;
        let (view, rng) = (View::new(me), Rng::with_seed(seed));
        Circle {
            view,
            rng,
            shuffled: long_ago,
            asked: long_ago,
            fetched: long_ago,
            sample: Vec::new(),
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// Agents that control named.
    pub fn meet(&mut self, known: &[Ipv4Addr]) {
        self.view.meet(&mut self.rng, known);
    }

    /// Half of the fleet or more has no majority's word either, as far as questions of late tell. Whoever does not
    /// answer counts as in touch: a few that are cut off together must not take themselves for the fleet.
    pub fn deserted(&self, now: Ms) -> bool {
        let late = self.sample.iter().filter(|s| now - s.0 as Ms <= SAMPLED);
        let (asked, alone) = late.fold((0, 0), |(n, alone), s| (n + 1, alone + usize::from(s.2)));
        asked >= SAMPLE && 2 * alone >= asked
    }

    /// What is due. `alone`: no majority's word has come for too long.
    pub fn beat(&mut self, now: Ms, alone: bool) -> Vec<Act> {
        let mut acts = Vec::new();
        if now - self.shuffled >= SHUFFLE_EVERY {
            self.shuffled = now;
            let begun = self.view.shuffle(&mut self.rng);
            acts.extend(begun.map(|(to, offer)| Act::Say {
                to,
                word: Word::Shuffle { offer },
            }));
        }
        if alone && now - self.asked >= ASK_EVERY {
            self.asked = now;
            let stamp = now.max(0.0) as u64;
            let some = self.view.some(&mut self.rng, ASKED);
            self.sample.retain(|s| now - s.0 as Ms <= SAMPLED);
            self.sample
                .extend(some.iter().map(|to| (stamp, *to, false)));
            acts.extend(some.into_iter().map(|to| Act::Say {
                to,
                word: Word::Ask { stamp },
            }));
        }
        acts
    }

    /// `held`: what is held here. `as_of`: when a majority held nothing above that, unless this one is alone.
    pub fn hear(
        &mut self,
        now: Ms,
        from: Ipv4Addr,
        word: Word,
        held: &StateDigest,
        as_of: Option<Ms>,
    ) -> Vec<Act> {
        match word {
            Word::Shuffle { offer } => {
                let offer = self.view.asked(&mut self.rng, &offer);
                vec![Act::Say {
                    to: from,
                    word: Word::Shuffled { offer },
                }]
            }
            Word::Shuffled { offer } => {
                self.view.answered(from, &offer);
                Vec::new()
            }
            Word::Ask { stamp } => {
                let age = |at: Ms| (now - at).max(0.0).ceil().min(f64::from(u32::MAX)) as u32;
                let lent = as_of.map(|at| Word::Lent {
                    stamp,
                    age: age(at),
                    of: *held,
                });
                vec![Act::Say {
                    to: from,
                    word: lent.unwrap_or(Word::Alone { stamp }),
                }]
            }
            Word::Alone { stamp } => {
                self.sample
                    .iter_mut()
                    .filter(|s| s.0 == stamp && s.1 == from)
                    .for_each(|s| s.2 = true);
                Vec::new()
            }
            Word::Lent { stamp, age, of } => {
                // A stamp of the future is no answer to a question of ours.
                if stamp as Ms > now {
                    return Vec::new();
                }
                if held.revision == of.revision && held.digests != of.digests {
                    // Two texts under one number: which one holds is control's to say.
                    return Vec::new();
                }
                if held.revision.covers(&of.revision) {
                    return vec![Act::AsOf(stamp as Ms - f64::from(age))];
                }
                if now - self.fetched < FETCH_EVERY {
                    return Vec::new();
                }
                self.fetched = now;
                vec![Act::Fetch(from)]
            }
        }
    }
}
