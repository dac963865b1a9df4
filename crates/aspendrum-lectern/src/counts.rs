//! Tenants' counters inside proxies: which proxy holds a counter, what it holds, and the calls to others'. One
//! datagram asks, one answers; the module decides by the total. No I/O, no clock.

use aspendrum_catalog::hash::first;
use aspendrum_core::api::Ms;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// A datagram between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Add {
        call: u32,
        name: u64,
        add: f32,
    },
    /// `life`: the holder's, so that a counter which began anew is told from one that went on.
    Total {
        call: u32,
        total: f32,
        life: u32,
    },
}

/// The counters held here.
pub struct Ledger {
    life: u32,
    totals: HashMap<u64, (f64, Ms)>,
    swept: Ms,
}

/// Counters unused for so long are let go, as the module's names are.
const FORGET: Ms = 60_000.0;

impl Ledger {
    pub fn new(life: u32) -> Ledger {
        Ledger { life, totals: HashMap::new(), swept: 0.0 }
    }

    /// The plain add: the total with it.
    pub fn add(&mut self, now: Ms, name: u64, add: f32) -> f32 {
        if now - self.swept > FORGET {
            self.swept = now;
            self.totals.retain(|_, t| now - t.1 <= FORGET);
        }
        let total = self.totals.entry(name).or_insert((0.0, now));
        total.0 += f64::from(add);
        total.1 = now;
        total.0 as f32
    }

    pub fn life(&self) -> u32 {
        self.life
    }
}

/// A call that waits for its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub name: u64,
    pub add: f32,
    pub holder: Ipv4Addr,
    pub sent: Ms,
    until: Ms,
}

/// What a holder's answers take: mean and deviation (RFC 6298).
#[derive(Clone, Copy)]
struct Way {
    mean: Ms,
    dev: Ms,
}

/// The first time-out is the design's, on top of the longest way that a deployment has been seen to have.
const FIRST_WAIT: Ms = 160.0;
const LEAST_WAIT: Ms = 20.0;
const MOST_WAIT: Ms = 300.0;

/// A counter's holder as totals were last read from it.
struct Read {
    from: (Ipv4Addr, u32),
    last: f64,
    offset: f64,
}

/// The calls to counters, here and elsewhere.
pub struct Calls {
    holders: Vec<Ipv4Addr>,
    waiting: HashMap<u32, Call>,
    next: u32,
    ways: HashMap<Ipv4Addr, Way>,
    reads: HashMap<u64, Read>,
}

impl Calls {
    pub fn new() -> Calls {
        Calls {
            holders: Vec::new(),
            waiting: HashMap::new(),
            next: 1,
            ways: HashMap::new(),
            reads: HashMap::new(),
        }
    }

    /// The proxies that may hold counters. Calls to one that is gone have failed.
    pub fn holders(&mut self, holders: Vec<Ipv4Addr>) -> Vec<Call> {
        let gone = |c: &Call| !holders.contains(&c.holder);
        let lost: Vec<u32> = self.waiting.iter().filter(|w| gone(w.1)).map(|w| *w.0).collect();
        self.holders = holders;
        lost.iter().filter_map(|call| self.waiting.remove(call)).collect()
    }

    /// Who holds a name; none while no proxy is known.
    pub fn holder(&self, name: u64) -> Option<Ipv4Addr> {
        first(name, self.holders.iter().map(|h| (u64::from(u32::from(*h)), *h)))
    }

    /// Begins a call; the number that its answer bears.
    pub fn begin(&mut self, now: Ms, holder: Ipv4Addr, name: u64, add: f32) -> u32 {
        self.next = self.next.wrapping_add(1);
        let wait = self
            .ways
            .get(&holder)
            .map_or(FIRST_WAIT, |w| (2.0 * w.mean + 4.0 * w.dev + LEAST_WAIT).clamp(LEAST_WAIT, MOST_WAIT));
        self.waiting.insert(self.next, Call { name, add, holder, sent: now, until: now + wait });
        self.next
    }

    /// An answer came. None: nobody waits for it any more.
    pub fn answered(&mut self, now: Ms, call: u32, total: f32, life: u32) -> Option<(Call, f64)> {
        let call = self.waiting.remove(&call)?;
        let rtt = now - call.sent;
        let way = self.ways.entry(call.holder).or_insert(Way { mean: rtt, dev: rtt / 2.0 });
        way.dev += 0.25 * ((rtt - way.mean).abs() - way.dev);
        way.mean += 0.125 * (rtt - way.mean);
        let total = self.read(call.name, (call.holder, life), f64::from(total), f64::from(call.add));
        Some((call, total))
    }

    /// A total as the module is to see it: one that goes on where a counter changed its holder, so that nobody
    /// takes an empty counter for a fresh burst.
    pub fn read(&mut self, name: u64, from: (Ipv4Addr, u32), total: f64, add: f64) -> f64 {
        let read = self.reads.entry(name).or_insert(Read { from, last: 0.0, offset: 0.0 });
        if read.from != from {
            // As if others had added nothing while it moved.
            (read.from, read.offset) = (from, read.last - (total - add));
        }
        read.last = total + read.offset;
        read.last
    }

    /// Calls without an answer in time.
    pub fn late(&mut self, now: Ms) -> Vec<Call> {
        let late: Vec<u32> = self.waiting.iter().filter(|w| now >= w.1.until).map(|w| *w.0).collect();
        late.iter().filter_map(|call| self.waiting.remove(call)).collect()
    }
}
