//! The counter's protocol, RESP2: calls out, replies in.

use aspendrum_core::api::Millis;
use aspendrum_net::ring_buffer::RingBuffer;
use std::io::Write;

const VERB: &str = "CNT.ADD";
/// No reply of the counter is longer; one that claims to be is nonsense.
const LONGEST: usize = 256;

#[derive(Debug, PartialEq)]
pub enum Reply {
    Total(f32),
    /// Turned away or not understood, in the protocol's own words: nothing was added.
    TurnedAway,
}

#[derive(Debug, PartialEq)]
pub enum Parsed {
    More,
    Whole(Reply),
    /// Not this protocol: nothing behind it can be trusted either.
    Nonsense,
}

/// Writes one call that adds `add` to a number that lives `ttl` if it is new.
pub fn add(out: &mut impl Write, name: u64, add: f32, ttl: Millis) {
    let (name, add, ttl) = (
        name.to_string(),
        add.to_string(),
        (ttl.ceil().max(1.0) as u64).to_string(),
    );
    // Writing to memory does not fail.
    let _ = write!(out, "*4\r\n");
    for part in [VERB, &name, &add, &ttl] {
        let _ = write!(out, "${}\r\n{part}\r\n", part.len());
    }
}

pub fn reply(ring: &mut RingBuffer) -> Parsed {
    let bytes = ring.contiguous();
    let Some((first, line)) = bytes.split_first() else {
        return Parsed::More;
    };
    let Some(end) = line.windows(2).position(|w| w == b"\r\n") else {
        return if bytes.len() > LONGEST {
            Parsed::Nonsense
        } else {
            Parsed::More
        };
    };
    let text = std::str::from_utf8(&line[..end]).unwrap_or("");
    let (taken, reply) = match first {
        // Only these two words prove it. Whatever else comes may stand in for a total that was added, and
        // added once more it would count twice.
        b'-' if matches!(text.split(' ').next(), Some("BUSY" | "ERR")) => {
            (end + 3, Reply::TurnedAway)
        }
        b':' | b'+' => match total(text) {
            Some(total) => (end + 3, Reply::Total(total)),
            None => return Parsed::Nonsense,
        },
        b'$' => {
            let Some(size) = text.parse::<usize>().ok().filter(|n| *n <= LONGEST) else {
                return Parsed::Nonsense;
            };
            let (from, to) = (end + 3, end + 3 + size);
            if bytes.len() < to + 2 {
                return Parsed::More;
            }
            match std::str::from_utf8(&bytes[from..to]).ok().and_then(total) {
                Some(total) if &bytes[to..to + 2] == b"\r\n" => (to + 2, Reply::Total(total)),
                _ => return Parsed::Nonsense,
            }
        }
        _ => return Parsed::Nonsense,
    };
    ring.consume(taken);
    Parsed::Whole(reply)
}

fn total(text: &str) -> Option<f32> {
    text.trim().parse().ok().filter(|n: &f32| n.is_finite())
}
