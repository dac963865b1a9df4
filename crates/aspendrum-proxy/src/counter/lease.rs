//! Whether this proxy may grant from the counters that it owns.
//!
//! The list of owners comes from control. A proxy that control no longer hears is dropped from it, and does not learn of
//! that: the others find new owners, which begin to grant one window after the change. By then it must have ceased.
//! So it grants only under a lease: for a while after control has certainly heard it, or while most of the other proxies
//! ask it, which shows that their lists still name it. The second keeps counters at work while no control node is there, as
//! no list changes then.

use aspendrum_core::api::Millis;
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// For how long the lease lasts from when this proxy asked its agent, if that says that control has heard of it. With the
/// agent's own bound, 650 ms, this is less than the 1,000 ms after which control takes an agent for silent.
const LEASE_TIME: Millis = 500.0;
/// For how long a call of another proxy shows that its list names this one.
const CALL_COUNTS_FOR: Millis = 500.0;

/// The lease on the counters of this proxy.
pub struct OwnerLease {
    valid_until: Millis,
    /// When each other proxy asked last.
    asked_at: HashMap<Ipv4Addr, Millis>,
    /// How many other proxies may own counters.
    others: usize,
}

impl Default for OwnerLease {
    fn default() -> OwnerLease {
        OwnerLease {
            valid_until: f64::NEG_INFINITY,
            asked_at: HashMap::new(),
            others: 0,
        }
    }
}

impl OwnerLease {
    /// The proxies that may own counters have changed.
    pub fn set_others(&mut self, others: &[Ipv4Addr]) {
        self.others = others.len();
        self.asked_at.retain(|proxy, _| others.contains(proxy));
    }

    /// Control is known to have heard this proxy, by an answer to a question that was sent then.
    pub fn renew(&mut self, asked_at: Millis) {
        self.valid_until = self.valid_until.max(asked_at + LEASE_TIME);
    }

    /// Another proxy asks this one for a counter.
    pub fn record_call(&mut self, now: Millis, from: Ipv4Addr) {
        self.asked_at.insert(from, now);
    }

    /// Whether this proxy may grant from its counters.
    pub fn is_valid(&self, now: Millis) -> bool {
        let is_recent = |asked_at: &&Millis| now - **asked_at < CALL_COUNTS_FOR;
        let asking = self.asked_at.values().filter(is_recent).count();
        self.others == 0 || now < self.valid_until || asking * 2 > self.others
    }
}
