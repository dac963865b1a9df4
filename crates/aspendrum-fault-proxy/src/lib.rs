//! Links between processes on loopback. Every path between two processes of a run goes through one, and a
//! link can lose, delay, reorder, repeat, cut and heal what it carries. Which faults stand on a link at a
//! moment is told by whoever holds the timeline; nothing here knows of time but the delays.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

mod mesh;
mod relay;

pub use mesh::Mesh;
pub use relay::Relay;

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// What is wrong with one direction of a path. The default is a whole link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes, and nothing is said of it.
    pub cut: bool,
    /// Whoever dials meanwhile is refused; a cut alone leaves him waiting. Nothing to a datagram.
    pub refuse: bool,
    /// The share of datagrams that get lost, 0 to 1. What a stream loses is sent again by the machine: it
    /// comes [`RESEND`] later.
    pub lose: f64,
    /// Milliseconds added to each datagram or chunk of a stream.
    pub delay_ms: f64,
    /// Up to so many milliseconds more, evenly drawn for each one. Datagrams overtake each other by it.
    pub jitter_ms: f64,
    /// The share of datagrams that are held back behind later ones, 0 to 1; nothing to a stream.
    pub reorder: f64,
    /// The share of datagrams that arrive twice, 0 to 1; nothing to a stream.
    pub twice: f64,
}

/// After so long the machine sends again what a stream lost: the least that Linux waits.
pub const RESEND: Duration = Duration::from_millis(200);
/// A datagram that is held back comes so long after the others.
pub const HELD_BACK: Duration = Duration::from_millis(30);

impl Fault {
    /// A link that says nothing.
    pub const CUT: Fault = Fault {
        cut: true,
        refuse: false,
        lose: 0.0,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        reorder: 0.0,
        twice: 0.0,
    };

    /// The same, and it refuses whoever dials.
    pub const REFUSE: Fault = Fault {
        refuse: true,
        ..Fault::CUT
    };

    /// Both at once: each loses its share, and delays add up.
    fn with(self, other: Fault) -> Fault {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Fault {
            cut: self.cut || other.cut,
            refuse: self.refuse || other.refuse,
            lose: either(self.lose, other.lose),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            reorder: either(self.reorder, other.reorder),
            twice: either(self.twice, other.twice),
        }
    }

    /// How long one datagram or chunk is under way; `chance` is drawn evenly from 0 to 1.
    fn delay(&self, chance: f64) -> Duration {
        Duration::from_secs_f64((self.delay_ms + self.jitter_ms * chance).max(0.0) / 1000.0)
    }
}

/// What passed and what did not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Carried {
    /// Datagrams, or chunks of a stream.
    pub messages: u64,
    pub bytes: u64,
    /// Datagrams that were lost or cut off; of a stream nothing is.
    pub lost: u64,
    /// Datagrams that are delayed or held back now.
    pub under_way: u64,
}

/// One direction of a path between two processes.
pub struct Link {
    /// The faults that stand on it, by the number of whoever put them there, and their sum.
    faults: watch::Sender<(Vec<(u32, Fault)>, Fault)>,
    /// Counts the resets: a change ends all connections.
    resets: watch::Sender<u64>,
    messages: AtomicU64,
    bytes: AtomicU64,
    lost: AtomicU64,
    under_way: AtomicU64,
}

impl Default for Link {
    fn default() -> Link {
        let (faults, resets) = (
            watch::Sender::new((Vec::new(), Fault::default())),
            watch::Sender::new(0),
        );
        let [messages, bytes, lost, under_way] = [(); 4].map(|()| AtomicU64::new(0));
        Link {
            faults,
            resets,
            messages,
            bytes,
            lost,
            under_way,
        }
    }
}

impl Link {
    pub fn whole() -> Arc<Link> {
        Arc::new(Link::default())
    }

    /// Puts a fault on it, beside those that stand there; the same number again takes the former's place.
    pub fn put(&self, number: u32, fault: Fault) {
        self.change(|faults| {
            faults.retain(|f| f.0 != number);
            faults.push((number, fault));
        });
    }

    /// Takes that fault off it; others may still stand.
    pub fn heal(&self, number: u32) {
        self.change(|faults| faults.retain(|f| f.0 != number));
    }

    fn change(&self, how: impl FnOnce(&mut Vec<(u32, Fault)>)) {
        self.faults.send_modify(|(faults, sum)| {
            how(faults);
            *sum = faults.iter().fold(Fault::default(), |sum, f| sum.with(f.1));
        });
    }

    /// Ends the connections that go over it with a reset.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// All faults that stand on it now, together.
    pub fn fault(&self) -> Fault {
        self.faults.borrow().1
    }

    pub fn carried(&self) -> Carried {
        let told = |n: &AtomicU64| n.load(Relaxed);
        Carried {
            messages: told(&self.messages),
            bytes: told(&self.bytes),
            lost: told(&self.lost),
            under_way: told(&self.under_way),
        }
    }

    fn passed(&self, bytes: usize) {
        self.messages.fetch_add(1, Relaxed);
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    fn lost(&self) {
        self.lost.fetch_add(1, Relaxed);
    }

    /// Returns once it is not cut.
    async fn open(&self) {
        // The sender lives as long as the link, so that the wait cannot fail.
        let _ = self.faults.subscribe().wait_for(|f| !f.1.cut).await;
    }

    async fn shut(&self) {
        let _ = self.faults.subscribe().wait_for(|f| f.1.cut).await;
    }
}
