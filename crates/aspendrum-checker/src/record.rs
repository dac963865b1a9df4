//! What a run leaves behind.

use serde::{Deserialize, Serialize};

/// Milliseconds since the run began.
pub type Ms = f64;

/// How a query ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Final {
    /// 200, with the body that a server made for this query.
    Answered,
    /// 200 with anything else.
    Foreign,
    /// 429 or 503.
    Shed,
    /// Any other answer.
    Dropped,
    /// The connection ended without a whole answer.
    Lost,
    /// No connection to the limiter came up, or it was closed before the query was written, twice.
    Unreached,
    /// Nothing came until well after the client's time.
    Silent,
}

/// One query of a client.
#[derive(Clone, Debug)]
pub struct Query {
    pub id: u64,
    /// Places in the record's own lists.
    pub customer: usize,
    pub group: usize,
    pub limiter: usize,
    pub units: f64,
    pub sent: Ms,
    /// The client's time: the answer is due by then.
    pub until: Ms,
    pub ended: Ms,
    pub outcome: Final,
}

/// What a server did with a forward that reached it whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It ran, whether an answer came or not.
    Ran,
    TurnedAway,
    /// Dropped as a repeat of a keyed query that had run.
    Repeat,
}

/// A forward as the server saw it.
#[derive(Clone, Debug)]
pub struct Forward {
    pub id: u64,
    pub server: usize,
    /// Its first and its last byte.
    pub first: Ms,
    pub whole: Ms,
    pub fate: Fate,
    /// It carried both Content-Length and Transfer-Encoding.
    pub two_lengths: bool,
}

/// What discovery wrote to a limiter about a server.
#[derive(Clone, Debug)]
pub struct Told {
    pub limiter: usize,
    pub server: usize,
    pub at: Ms,
    /// In service; else it drains or is gone.
    pub well: bool,
}

/// A server's process, from a start on. One that was never down has one life from 0 on that is not cold.
#[derive(Clone, Debug)]
pub struct Life {
    pub server: usize,
    pub from: Ms,
    pub cold: bool,
    /// It fell over under its load.
    pub fell: Option<Ms>,
}

/// A time in which a limiter, the way to it, or a limiter's way to a server could not do as it should.
#[derive(Clone, Debug)]
pub struct Excuse {
    pub limiter: usize,
    /// `None`: the limiter itself or its clients' way to it.
    pub server: Option<usize>,
    pub from: Ms,
    pub to: Ms,
}

/// A fault of the timeline, for the time to recover after it.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub name: String,
    pub from: Ms,
    pub to: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    /// May run again.
    Repeatable,
    /// Carries a key; servers drop a repeat within the window.
    Keyed,
    /// Must never run twice.
    Mutating,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub repeats: Repeats,
    /// Milliseconds of one core's work, the mean.
    pub work: Ms,
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub name: String,
    /// Units a millisecond, and units at once.
    pub rate: f64,
    pub burst: f64,
    /// The hard ceiling, likewise; 0: none.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    /// Units a millisecond that its clients ask for, the mean.
    pub asked: f64,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub cores: f64,
    /// Of its capacity just after a cold start, and the time until it is warm.
    pub cold_share: f64,
    pub ramp: Ms,
}

impl Server {
    /// Cores' worth of work a millisecond, `age` after a cold start.
    pub fn capacity(&self, age: Ms) -> f64 {
        let warm = if self.ramp > 0.0 {
            (age / self.ramp).clamp(0.0, 1.0)
        } else {
            1.0
        };
        self.cores * (self.cold_share + (1.0 - self.cold_share) * warm)
    }
}

/// The figures of the rules, milliseconds where they are times.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Beyond the client's time, until a query counts as lost.
    pub answer_slack: Ms,
    pub drain_grace: Ms,
    pub fall_multiple: f64,
    pub fall_window: Ms,
    /// Of a ceiling: the share that may be passed, and the time in which its rate may be passed.
    pub ceiling_slack: f64,
    pub ceiling_time: Ms,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures {
            answer_slack: 500.0,
            drain_grace: 2050.0,
            fall_multiple: 3.0,
            fall_window: 3000.0,
            ceiling_slack: 0.1,
            ceiling_time: 150.0,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub figures: Figures,
    pub groups: Vec<Group>,
    pub customers: Vec<Customer>,
    pub servers: Vec<Server>,
    pub queries: Vec<Query>,
    pub forwards: Vec<Forward>,
    pub told: Vec<Told>,
    pub lives: Vec<Life>,
    pub excuses: Vec<Excuse>,
    pub troubles: Vec<Trouble>,
    /// The traffic's first and last moment.
    pub from: Ms,
    pub to: Ms,
}

impl Record {
    pub fn excused(&self, limiter: usize, server: Option<usize>, from: Ms, to: Ms) -> bool {
        let meets = |e: &Excuse| e.from <= to && e.to >= from;
        self.excuses
            .iter()
            .any(|e| e.limiter == limiter && (e.server.is_none() || e.server == server) && meets(e))
    }
}
