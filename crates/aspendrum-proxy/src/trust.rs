//! How long a kept connection may have rested before a once-only query goes over it. A server may forget an idle
//! connection without a word: what is sent over it next is reset, and whether it ran is not known. So what was reset
//! unread on a rested connection tells how long is too long, for a while. No I/O, no clock.

use aspendrum_core::api::Millis;

/// Of the rest after which a connection was found forgotten, what once-only queries still trust.
const SHARE: f64 = 0.5;
/// So long is that held to: the trouble may be over, and a new connection for each query has its price.
const HELD: Millis = 15_000.0;

#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    /// The longest rest that is trusted, and until when; none: any.
    limit: Option<(Millis, Millis)>,
}

impl Trust {
    /// A query on a connection that had rested so long was reset before a byte came back.
    pub fn broke(&mut self, now: Millis, rested: Millis) {
        let held = self.most(now).unwrap_or(f64::INFINITY);
        self.limit = Some((held.min(rested * SHARE), now + HELD));
    }

    /// The longest rest, in milliseconds; none: any.
    pub fn most(&self, now: Millis) -> Option<Millis> {
        self.limit.filter(|l| now < l.1).map(|l| l.0)
    }
}
