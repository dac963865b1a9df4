//! What limiters say to each other of a customer's count, as datagrams: the one place that knows their bytes.
//! Numbers are big-endian. Whatever does not fit exactly is not understood. Nothing here decides.

use crate::api::{AcctId, Ms};

/// A customer as the one who asks for it sees it: its plan, and its set of `spread` limiters from `first` on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Whose {
    pub acct: AcctId,
    pub plan: u8,
    pub first: u16,
    pub spread: u16,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// Has the customer room for these units? `seq` comes back with the answer. `ceiling`: they are to come
    /// out of the keeper's part of the ceiling too.
    Ask { seq: u16, whose: Whose, units: f32, ceiling: bool },
    /// The word on an `Ask`; refused, it has no room for `wait` to come.
    Answer { seq: u16, granted: bool, wait: Ms },
    /// Units granted before that went to no server.
    Back { whose: Whose, units: f32 },
}

const ASK: u8 = 1;
const ASK_CEILING: u8 = 2;
const ANSWER: u8 = 3;
const BACK: u8 = 4;

impl Word {
    pub fn write(&self) -> Vec<u8> {
        let about = |kind: u8, seq: u16, whose: &Whose, units: f32| {
            let mut out = vec![kind];
            out.extend(seq.to_be_bytes());
            out.extend(&whose.acct.to_be_bytes()[3..]);
            out.push(whose.plan);
            out.extend(whose.first.to_be_bytes());
            out.extend(whose.spread.to_be_bytes());
            out.extend(units.to_be_bytes());
            out
        };
        match *self {
            Word::Ask { seq, ref whose, units, ceiling } => {
                about(if ceiling { ASK_CEILING } else { ASK }, seq, whose, units)
            }
            Word::Back { ref whose, units } => about(BACK, 0, whose, units),
            Word::Answer { seq, granted, wait } => {
                let mut out = vec![ANSWER];
                out.extend(seq.to_be_bytes());
                out.push(u8::from(granted));
                out.extend((wait.clamp(0.0, 65_535.0) as u16).to_be_bytes());
                out
            }
        }
    }

    /// `None` for whatever no limiter writes.
    pub fn read(data: &[u8]) -> Option<Word> {
        let two = |at: usize| Some(u16::from_be_bytes(data.get(at..at + 2)?.try_into().ok()?));
        let seq = two(1)?;
        match (*data.first()?, data.len()) {
            (kind @ (ASK | ASK_CEILING | BACK), 17) => {
                let acct = data[3..8].iter().fold(0, |id, byte| id << 8 | AcctId::from(*byte));
                let whose = Whose { acct, plan: data[8], first: two(9)?, spread: two(11)? };
                let units = f32::from_be_bytes(data[13..17].try_into().ok()?);
                let sound = units.is_finite() && units > 0.0 && whose.spread > 0;
                let ask = Word::Ask { seq, whose, units, ceiling: kind == ASK_CEILING };
                sound.then_some(if kind == BACK { Word::Back { whose, units } } else { ask })
            }
            (ANSWER, 6) if data[3] <= 1 => {
                Some(Word::Answer { seq, granted: data[3] == 1, wait: f64::from(two(4)?) })
            }
            _ => None,
        }
    }
}
