//! Tenants' counters inside proxies: which proxy holds a counter, what it holds, and the calls to others'. One
//! datagram asks, one answers; the module decides by the total. No I/O, no clock.

use aspendrum_core::api::Millis;
use aspendrum_model::hash::highest_ranked;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// A counter that goes to its next holder: nothing more is granted from it by the last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handed {
    pub name: u64,
    /// What stands in its window; none: it is behind its fence, and nothing was granted.
    pub total: Option<f32>,
    /// Milliseconds since its window began, or its fence.
    pub age: u32,
}

/// A datagram between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Add {
        call: u32,
        name: u64,
        add: f32,
    },
    Total {
        call: u32,
        total: f32,
    },
    /// Nothing was added: the counter may still be held elsewhere, or its tenant is not known here.
    Fenced {
        call: u32,
    },
    /// The speaker holds that counter no more.
    Hand(Handed),
}

/// The quota of one tenant, as counters need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
    /// A counter's window.
    pub window: Millis,
}

/// What the terms leave above a tenant's quota, in any span of `win` seconds: `excess` of it, and `slack`.
#[derive(Clone, Copy, Debug)]
pub struct Leave {
    pub win: f64,
    pub excess: f64,
    pub slack: f64,
}

/// Of that, what windows grant. The rest is for proxies that are cut off and decide by their own part.
const LEAVE_TAKEN: f64 = 0.3;
/// Shorter, and chance alone fills a window of a tenant well within its quota.
const LEAST_WINDOW_S: f64 = 0.5;

impl Quota {
    /// A window of burst over rate, and what one may grant so that no span of `win` seconds, wherever it lies
    /// over the windows, holds more than the terms allow: (win rate + burst)(1 + excess) + slack, of which
    /// `LEAVE_TAKEN` of excess and slack, over win / window + 1 windows.
    pub fn of(rate: f64, burst: f64, leave: &Leave) -> Quota {
        let burst = if burst > 0.0 { burst } else { rate };
        if rate <= 0.0 {
            return Quota {
                rate: 0.0,
                burst: 0.0,
                window: 0.0,
            };
        }
        let window = (burst / rate).max(LEAST_WINDOW_S);
        let allowed = (leave.win * rate + burst) * (1.0 + LEAVE_TAKEN * leave.excess)
            + LEAVE_TAKEN * leave.slack;
        let burst = allowed / (leave.win / window + 1.0);
        Quota {
            rate: burst / window,
            burst,
            window: window * 1000.0,
        }
    }
}

struct Counter {
    total: f64,
    begun: Millis,
}

/// The counters held here.
#[derive(Default)]
pub struct Ledger {
    counters: HashMap<u64, Counter>,
    quotas: HashMap<u64, Quota>,
    /// Since when each name is to be held here. Of every name by itself: a list that changes for others' sake keeps
    /// no counter behind its fence.
    since: HashMap<u64, Millis>,
    /// It is known who may hold counters.
    listed: bool,
}

/// Beyond a window: so long do others go by an older list of holders.
const FENCE: Millis = 400.0;

impl Ledger {
    /// `holds`: whether a name is to be held here. A name that is new to the running process has been held nowhere.
    pub fn quotas(&mut self, quotas: HashMap<u64, Quota>, holds: impl Fn(u64) -> bool) {
        self.counters.retain(|name, _| quotas.contains_key(name));
        self.since.retain(|name, _| quotas.contains_key(name));
        if self.listed {
            let new = quotas
                .keys()
                .filter(|name| !self.quotas.contains_key(name) && holds(**name));
            self.since
                .extend(new.map(|name| (*name, f64::NEG_INFINITY)));
        }
        self.quotas = quotas;
    }

    /// The list of those that may hold counters has changed. What goes to others: nothing is granted from it here
    /// any more, so its next holder goes on with it at once.
    pub fn held(&mut self, now: Millis, holds: impl Fn(u64) -> bool) -> Vec<Handed> {
        self.listed = true;
        let mut handed = Vec::new();
        for name in self.quotas.keys() {
            if holds(*name) {
                self.since.entry(*name).or_insert(now);
                continue;
            }
            // Also one whose window is over: its next holder begins another without a fence. And one behind its fence,
            // which need not begin anew at each holder while a whole fleet comes back.
            let since = self.since.remove(name);
            let counter = self.counters.remove(name);
            let total = counter.as_ref().map(|c| c.total as f32);
            let Some(begun) = counter.map(|c| c.begun).or(since) else {
                continue;
            };
            let age = (now - begun).clamp(0.0, f64::from(u32::MAX)) as u32;
            handed.push(Handed {
                name: *name,
                total,
                age,
            });
        }
        handed
    }

    /// The last holder's word. What was granted here meanwhile stands beside it.
    pub fn take(&mut self, now: Millis, handed: Handed) {
        let begun = now - f64::from(handed.age);
        match handed.total {
            _ if !self.quotas.contains_key(&handed.name) => {}
            Some(total) if total >= 0.0 && total.is_finite() => {
                let counter = self
                    .counters
                    .entry(handed.name)
                    .or_insert(Counter { total: 0.0, begun });
                counter.total += f64::from(total);
            }
            Some(_) => {}
            None => {
                let since = self.since.entry(handed.name).or_insert(begun);
                *since = since.min(begun);
            }
        }
    }

    /// The plain add: the total of the window with it. None: a counter that was not held here before may be
    /// granted from by its last holder until that one's window is over, unless that one has said otherwise.
    pub fn add(&mut self, now: Millis, name: u64, add: f32) -> Option<f32> {
        let quota = self.quotas.get(&name)?;
        if !self.counters.contains_key(&name) {
            let since = self.since.get(&name)?;
            if now - since < quota.window + FENCE {
                return None;
            }
        }
        let counter = self.counters.entry(name).or_insert(Counter {
            total: 0.0,
            begun: now,
        });
        if now - counter.begun >= quota.window {
            *counter = Counter {
                total: 0.0,
                begun: now,
            };
        }
        counter.total += f64::from(add);
        Some(counter.total as f32)
    }
}

/// A call that waits for its total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The name as the module knows it.
    pub name: u64,
    pub holder: Ipv4Addr,
    pub sent: Millis,
    until: Millis,
}

/// What a holder's answers take: mean and deviation (RFC 6298).
#[derive(Clone, Copy)]
struct Way {
    mean: Millis,
    dev: Millis,
}

/// The first time-out is the design's, on top of the longest way that a deployment has been seen to have.
const FIRST_WAIT: Millis = 160.0;
const LEAST_WAIT: Millis = 20.0;
const MOST_WAIT: Millis = 300.0;

/// The calls to counters, here and elsewhere.
#[derive(Default)]
pub struct Calls {
    holders: Vec<Ipv4Addr>,
    waiting: HashMap<u32, Call>,
    next: u32,
    ways: HashMap<Ipv4Addr, Way>,
}

impl Calls {
    /// The proxies that may hold counters. Calls to one that is gone have failed; none if nothing changed.
    pub fn holders(&mut self, holders: Vec<Ipv4Addr>) -> Option<Vec<Call>> {
        if self.holders == holders {
            return None;
        }
        let gone = |c: &Call| !holders.contains(&c.holder);
        let lost: Vec<u32> = self
            .waiting
            .iter()
            .filter(|w| gone(w.1))
            .map(|w| *w.0)
            .collect();
        self.holders = holders;
        Some(
            lost.iter()
                .filter_map(|call| self.waiting.remove(call))
                .collect(),
        )
    }

    /// Who holds a name; none while no proxy is known.
    pub fn holder(&self, name: u64) -> Option<Ipv4Addr> {
        highest_ranked(
            name,
            self.holders.iter().map(|h| (u64::from(u32::from(*h)), *h)),
        )
    }

    /// Begins a call; the number that its answer bears.
    pub fn begin(&mut self, now: Millis, holder: Ipv4Addr, name: u64) -> u32 {
        self.next = self.next.wrapping_add(1);
        let wait = self.ways.get(&holder).map_or(FIRST_WAIT, |w| {
            (2.0 * w.mean + 4.0 * w.dev + LEAST_WAIT).clamp(LEAST_WAIT, MOST_WAIT)
        });
        self.waiting.insert(
            self.next,
            Call {
                name,
                holder,
                sent: now,
                until: now + wait,
            },
        );
        self.next
    }

    /// An answer came. None: nobody waits for it any more, or another was asked.
    pub fn answered(&mut self, now: Millis, from: Ipv4Addr, call: u32) -> Option<Call> {
        self.waiting.get(&call).filter(|c| c.holder == from)?;
        let call = self.waiting.remove(&call)?;
        let rtt = now - call.sent;
        let way = self.ways.entry(call.holder).or_insert(Way {
            mean: rtt,
            dev: rtt / 2.0,
        });
        way.dev += 0.25 * ((rtt - way.mean).abs() - way.dev);
        way.mean += 0.125 * (rtt - way.mean);
        Some(call)
    }

    /// Calls without an answer in time.
    pub fn late(&mut self, now: Millis) -> Vec<Call> {
        let late: Vec<u32> = self
            .waiting
            .iter()
            .filter(|w| now >= w.1.until)
            .map(|w| *w.0)
            .collect();
        late.iter()
            .filter_map(|call| self.waiting.remove(call))
            .collect()
    }
}
