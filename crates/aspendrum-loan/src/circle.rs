//! An agent among its neighbours. In touch with control it shuffles its view and nothing else. Without a majority's
//! word for a while it asks neighbours for theirs: what was decided, and how long ago a majority held nothing
//! newer. Ages only ever grow on the way, each counted from when the asker asked; so a borrowed word promises no
//! more than the lender's did.

use crate::view::{Neighbour, View};
use crate::Ms;
use aspendrum_catalog::news::Mark;
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
        of: Mark,
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
/// Between two snapshots: a lender's word may come again before its news have been taken.
const FETCH_EVERY: Ms = 500.0;

pub struct Circle {
    view: View,
    rng: Rng,
    shuffled: Ms,
    asked: Ms,
    fetched: Ms,
}

impl Circle {
    pub fn new(me: Ipv4Addr, seed: u64) -> Circle {
        let long_ago = f64::NEG_INFINITY;
        let (view, rng) = (View::new(me), Rng::with_seed(seed));
        Circle { view, rng, shuffled: long_ago, asked: long_ago, fetched: long_ago }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// Agents that control named.
    pub fn meet(&mut self, known: &[Ipv4Addr]) {
        self.view.meet(&mut self.rng, known);
    }

    /// What is due. `alone`: no majority's word has come for too long.
    pub fn beat(&mut self, now: Ms, alone: bool) -> Vec<Act> {
        let mut acts = Vec::new();
        if now - self.shuffled >= SHUFFLE_EVERY {
            self.shuffled = now;
            let begun = self.view.shuffle(&mut self.rng);
            acts.extend(begun.map(|(to, offer)| Act::Say { to, word: Word::Shuffle { offer } }));
        }
        if alone && now - self.asked >= ASK_EVERY {
            self.asked = now;
            let stamp = now.max(0.0) as u64;
            let some = self.view.some(&mut self.rng, ASKED);
            acts.extend(some.into_iter().map(|to| Act::Say { to, word: Word::Ask { stamp } }));
        }
        acts
    }

    /// `held`: what is held here. `as_of`: when a majority held nothing above that, if that is known.
    pub fn hear(&mut self, now: Ms, from: Ipv4Addr, word: Word, held: Mark, as_of: Option<Ms>) -> Vec<Act> {
        match word {
            Word::Shuffle { offer } => {
                let offer = self.view.asked(&mut self.rng, &offer);
                vec![Act::Say { to: from, word: Word::Shuffled { offer } }]
            }
            Word::Shuffled { offer } => {
                self.view.answered(from, &offer);
                Vec::new()
            }
            Word::Ask { stamp } => {
                let Some(as_of) = as_of else { return Vec::new() };
                let age = (now - as_of).max(0.0).ceil().min(f64::from(u32::MAX)) as u32;
                vec![Act::Say { to: from, word: Word::Lent { stamp, age, of: held } }]
            }
            Word::Lent { stamp, age, of } => {
                // A stamp of the future is no answer to a question of ours.
                if stamp as Ms > now {
                    return Vec::new();
                }
                if held.covers(&of) {
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
