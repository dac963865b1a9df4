//! The stages of a planned end. At first new requests are still taken, since clients hold old answers of the directory;
//! then no more are, and what is in hand is finished. No I/O, no clock: times are milliseconds since SIGTERM.

use aspendrum_core::api::Millis;

/// Idle connections stay open for so long: their clients hear of the end with their next answer.
const KEEP_IDLE: Millis = 1200.0;
/// After the last newcomer it may end once nothing is in hand any more.
const QUIET: Millis = 400.0;
/// What is left of the grace when the process ends whatever is in hand.
const LEFT: Millis = 400.0;
/// New requests are taken for so long at least: the directory names this proxy for about half of that.
const TAKES_LEAST: Millis = 1000.0;

/// When each stage of a planned end begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// From then on no new request is taken.
    pub takes_until: Millis,
    /// From then on connections between requests are closed.
    pub idle_until: Millis,
    /// Then the process ends.
    pub ends_at: Millis,
}

impl Drain {
    /// `grace`: the platform kills the process after that. `longest`: a request may last so long. Whatever is taken has
    /// its whole time before the end, and none is taken in the second half of the grace.
    pub fn new(grace: Millis, longest: Millis) -> Drain {
        let ends_at = (grace - LEFT).max(grace / 2.0);
        let takes_until = (ends_at - longest).max(TAKES_LEAST).min(grace / 2.0);
        Drain {
            takes_until,
            idle_until: KEEP_IDLE.min(takes_until),
            ends_at,
        }
    }

    /// Connections between requests are to be closed.
    pub fn closes_idle(&self, since: Millis) -> bool {
        since >= self.idle_until
    }

    /// The process may end. `connections`: open ones; `quiet`: since the last newcomer.
    pub fn ended(&self, since: Millis, connections: usize, quiet: Millis) -> bool {
        let nobody = connections == 0 && self.closes_idle(since) && quiet >= QUIET;
        nobody || since >= self.ends_at
    }
}
