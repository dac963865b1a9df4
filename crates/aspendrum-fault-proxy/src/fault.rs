//! The faults of a link.

use std::time::Duration;

/// The delay after which lost data of a stream is retransmitted. This is the shortest retransmission timeout of Linux.
pub const RESEND_DELAY: Duration = Duration::from_millis(200);
/// The additional delay of a reordered datagram.
pub const REORDER_DELAY: Duration = Duration::from_millis(30);

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A fault of one direction of a path; by default none. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Blocks all traffic without an error at either side.
    pub is_cut: bool,
    /// Refuses new connections while the link is cut; otherwise they hang while it is cut. Has no effect on datagrams.
    pub refuses_connections: bool,
    /// The share of datagrams, or of chunks of a stream, that are lost. A lost chunk arrives after [`RESEND_DELAY`].
    pub loss: f64,
    /// The delay of each datagram or chunk, in milliseconds.
    pub delay_ms: f64,
    /// The maximum of the additional random delay of each datagram or chunk, in milliseconds, with a uniform
    /// distribution. It reorders datagrams.
    pub jitter_ms: f64,
    /// The share of datagrams that are delayed by [`REORDER_DELAY`], so that later ones overtake them. Has no effect on
    /// streams.
    pub reordering: f64,
    /// The share of datagrams that arrive twice. Has no effect on streams.
    pub duplication: f64,
}

impl Fault {
    /// A cut link.
    pub const CUT: Fault = Fault {
        is_cut: true,
        refuses_connections: false,
        loss: 0.0,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        reordering: 0.0,
        duplication: 0.0,
    };

    /// A cut link that refuses connections.
    pub const REFUSE: Fault = Fault {
        refuses_connections: true,
        ..Fault::CUT
    };

    /// Combines two faults: shares combine as independent probabilities, and delays add up.
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

    /// Returns the delay of one datagram or chunk. `chance` is uniformly distributed from 0 to 1.
    pub(crate) fn delay(&self, chance: f64) -> Duration {
        let delay_ms = (self.delay_ms + self.jitter_ms * chance).max(0.0);
        Duration::from_secs_f64(delay_ms / MILLIS_PER_SECOND)
    }
}
