//! What limiters say to each other of a customer's count, as datagrams: the one place that knows their bytes.
//! Numbers are big-endian. Whatever does not fit exactly is not understood. Nothing here decides.
//!
//! The first byte tells the kind and the version: kinds 1, 2 and 4 are those of limiters before gifts. Their
//! questions are understood, as questions without a gift; what they give back is not, since it could come
//! twice. They in turn drop the kinds from 5 on.

use crate::api::{Millis, TenantId};

/// A customer as the one who asks for it sees it: its plan, and its set of `spread` limiters from `first` on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Whose {
    pub acct: TenantId,
    pub plan: u8,
    pub first: u16,
    pub spread: u16,
}

/// When something was said: the low bits of the sender's clock, milliseconds. No two words of one limiter
/// have the same, so that it is their number too.
pub type Stamp = u32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// Is the receiver there? It answers as one that has no room for no time: one that is not heard would
    /// grant what nobody gets.
    Hello { stamp: Stamp },
    /// Has the customer room for these units? The low bits of `stamp` come back with the answer. `ceiling`:
    /// they are to come out of the keeper's part of the ceiling too. `gift`: steps of the burst that the
    /// sender gives away.
    Ask {
        stamp: Stamp,
        whose: Whose,
        units: f32,
        ceiling: bool,
        gift: u16,
    },
    /// The word on an `Ask` or a `Hello`; refused, it has no room for `wait` to come.
    /// `alone`: the keeper has no word of the counter's, and what the asker holds is of use to it.
    Answer {
        seq: u16,
        granted: bool,
        alone: bool,
        wait: Millis,
    },
    /// The units of that `Ask` were granted and went to no server.
    Back { stamp: Stamp },
    /// The sender keeps the customer's count and is out of units: whoever holds some is to give them.
    Want { whose: Whose },
    /// What a `Want` asked for.
    Gift {
        stamp: Stamp,
        whose: Whose,
        gift: u16,
    },
    /// Of a limiter before gifts, and of no use here.
    Old,
}

const OLD_ASK: u8 = 1;
const OLD_ASK_CEILING: u8 = 2;
const ANSWER: u8 = 3;
const OLD_BACK: u8 = 4;
const ASK: u8 = 5;
const ASK_CEILING: u8 = 6;
const BACK: u8 = 7;
const WANT: u8 = 8;
const GIFT: u8 = 9;
const HELLO: u8 = 10;
/// In the byte of an answer's word. Limiters before gifts drop an answer that has it, and go by their parts.
const ALONE: u8 = 2;

fn put(out: &mut Vec<u8>, whose: &Whose) {
    out.extend(&whose.acct.to_be_bytes()[3..]);
    out.push(whose.plan);
    out.extend(whose.first.to_be_bytes());
    out.extend(whose.spread.to_be_bytes());
}

/// Ten bytes.
fn whose(data: &[u8]) -> Option<Whose> {
    let acct = data[..5]
        .iter()
        .fold(0, |id, byte| id << 8 | TenantId::from(*byte));
    let two = |at: usize| u16::from_be_bytes([data[at], data[at + 1]]);
    Some(Whose {
        acct,
        plan: data[5],
        first: two(6),
        spread: two(8),
    })
    .filter(|w| w.spread > 0)
}

impl Word {
    /// The number of a question that is answered.
    pub fn stamp(self) -> Option<Stamp> {
        match self {
            Word::Ask { stamp, .. } | Word::Hello { stamp } => Some(stamp),
            _ => None,
        }
    }

    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(24);
        match *self {
            Word::Ask {
                stamp,
                ref whose,
                units,
                ceiling,
                gift,
            } => {
                out.push(if ceiling { ASK_CEILING } else { ASK });
                out.extend(stamp.to_be_bytes());
                put(&mut out, whose);
                out.extend(units.to_be_bytes());
                out.extend(gift.to_be_bytes());
            }
            Word::Answer {
                seq,
                granted,
                alone,
                wait,
            } => {
                out.push(ANSWER);
                out.extend(seq.to_be_bytes());
                out.push(u8::from(granted) | if alone { ALONE } else { 0 });
                out.extend((wait.clamp(0.0, 65_535.0) as u16).to_be_bytes());
            }
            Word::Back { stamp } => {
                out.push(BACK);
                out.extend(stamp.to_be_bytes());
            }
            Word::Hello { stamp } => {
                out.push(HELLO);
                out.extend(stamp.to_be_bytes());
            }
            Word::Want { ref whose } => {
                out.push(WANT);
                put(&mut out, whose);
            }
            Word::Gift {
                stamp,
                ref whose,
                gift,
            } => {
                out.push(GIFT);
                out.extend(stamp.to_be_bytes());
                put(&mut out, whose);
                out.extend(gift.to_be_bytes());
            }
            // Nobody says it.
            Word::Old => {}
        }
        out
    }

    /// `None` for whatever no limiter writes.
    pub fn read(data: &[u8]) -> Option<Word> {
        let two = |at: usize| Some(u16::from_be_bytes(data.get(at..at + 2)?.try_into().ok()?));
        let four = |at: usize| Some(u32::from_be_bytes(data.get(at..at + 4)?.try_into().ok()?));
        let units = |at: usize| {
            let units = f32::from_be_bytes(data.get(at..at + 4)?.try_into().ok()?);
            Some(units).filter(|u| u.is_finite() && *u > 0.0)
        };
        let (kind, size) = (*data.first()?, data.len());
        match (kind, size) {
            (ASK | ASK_CEILING, 21) => {
                let (stamp, whose, units) = (four(1)?, whose(&data[5..15])?, units(15)?);
                Some(Word::Ask {
                    stamp,
                    whose,
                    units,
                    ceiling: kind == ASK_CEILING,
                    gift: two(19)?,
                })
            }
            (OLD_ASK | OLD_ASK_CEILING, 17) => {
                let (stamp, whose, units) = (two(1)?.into(), whose(&data[3..13])?, units(13)?);
                Some(Word::Ask {
                    stamp,
                    whose,
                    units,
                    ceiling: kind == OLD_ASK_CEILING,
                    gift: 0,
                })
            }
            (OLD_BACK, 17) => Some(Word::Old),
            (ANSWER, 6) if data[3] <= 1 | ALONE => {
                let (granted, alone) = (data[3] & 1 == 1, data[3] & ALONE != 0);
                Some(Word::Answer {
                    seq: two(1)?,
                    granted,
                    alone,
                    wait: f64::from(two(4)?),
                })
            }
            (HELLO, 5) => Some(Word::Hello { stamp: four(1)? }),
            (BACK, 5) => Some(Word::Back { stamp: four(1)? }),
            (WANT, 11) => Some(Word::Want {
                whose: whose(&data[1..])?,
            }),
            (GIFT, 17) => Some(Word::Gift {
                stamp: four(1)?,
                whose: whose(&data[5..15])?,
                gift: two(15)?,
            }),
            _ => None,
        }
    }
}
