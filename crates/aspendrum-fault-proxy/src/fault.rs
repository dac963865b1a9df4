//! What can be wrong with a link.

use std::time::Duration;

/// A stream's lost data is sent again after so long: the shortest time-out of Linux.
pub const RESEND_DELAY: Duration = Duration::from_millis(200);
/// A datagram that is reordered arrives so much later.
pub const REORDER_DELAY: Duration = Duration::from_millis(30);

const MILLIS_PER_SECOND: f64 = 1000.0;

/// What is wrong with one direction of a path; by default nothing. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes, and neither side is told.
    pub is_cut: bool,
    /// New connections are refused; if the link is only cut, they never come up. Without effect on datagrams.
    pub refuses_connections: bool,
    /// The share of datagrams, or of chunks of a stream, that are lost. A chunk arrives [`RESEND_DELAY`] later.
    pub loss: f64,
    /// Milliseconds added to each datagram or chunk of a stream.
    pub delay_ms: f64,
    /// Up to so many milliseconds more, drawn evenly for each one. Datagrams overtake each other by it.
    pub jitter_ms: f64,
    /// The share of datagrams that arrive [`REORDER_DELAY`] later, after others. Without effect on streams.
    pub reordering: f64,
    /// The share of datagrams that arrive twice. Without effect on streams.
    pub duplication: f64,
}

impl Fault {
    /// A link that is cut.
    pub const CUT: Fault = Fault {
        is_cut: true,
        refuses_connections: false,
        loss: 0.0,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        reordering: 0.0,
        duplication: 0.0,
    };

    /// A link that is cut and refuses connections.
    pub const REFUSE: Fault = Fault {
        refuses_connections: true,
        ..Fault::CUT
    };

    /// Both faults at once: each takes its share, and delays add up.
    pub(crate) fn combined_with(self, other: Fault) -> Fault {
        let either = |one: f64, other: f64| 1.0 - (1.0 - one) * (1.0 - other);
        Fault {
            is_cut: self.is_cut || other.is_cut,
            refuses_connections: self.refuses_connections || other.refuses_connections,
            loss: either(self.loss, other.loss),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            reordering: either(self.reordering, other.reordering),
            duplication: either(self.duplication, other.duplication),
        }
    }

    /// How long one datagram or chunk is delayed. `chance` is drawn evenly from 0 to 1.
    pub(crate) fn delay(&self, chance: f64) -> Duration {
        let delay_ms = (self.delay_ms + self.jitter_ms * chance).max(0.0);
        Duration::from_secs_f64(delay_ms / MILLIS_PER_SECOND)
    }
}
