//! The lease under which this proxy may grant from the counters that it owns.
//!
//! Control distributes the list of owners. A proxy from which control no longer receives heartbeats is removed
//! from the list, and does not learn of that. The other proxies select new owners, which begin to grant one
//! window after the change. The removed proxy must have stopped granting by then, so an owner grants only while
//! its lease is valid: for a limited time after its agent has confirmed contact with control, or while most
//! other proxies call it, which shows that their lists still contain it. The latter keeps counters available
//! while no control node is running, since no list changes then.

use aspendrum_core::api::Millis;
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// The lease duration in milliseconds, measured from the heartbeat whose reply confirms contact with control.
/// Control considers an agent silent after 1,000 ms. With the agent's own bound of 650 ms, the lease ends at most
/// 150 ms after that. A new owner waits for at least one window before it grants, which is longer.
const LEASE_DURATION: Millis = 500.0;
/// How long a call from another proxy shows that the caller's list contains this proxy, in milliseconds.
const CALL_VALIDITY: Millis = 500.0;

/// The lease on the counters owned by this proxy.
pub struct OwnerLease {
    valid_until: Millis,
    /// The time of the last call from each other proxy.
    last_calls: HashMap<Ipv4Addr, Millis>,
    /// The number of other proxies that may own counters.
    others: usize,
}

impl Default for OwnerLease {
    fn default() -> OwnerLease {
        OwnerLease {
            valid_until: f64::NEG_INFINITY,
            last_calls: HashMap::new(),
            others: 0,
        }
    }
}

impl OwnerLease {
    /// Sets the other proxies that may own counters.
    pub fn set_others(&mut self, others: &[Ipv4Addr]) {
        self.others = others.len();
        self.last_calls.retain(|proxy, _| others.contains(proxy));
    }

    /// Extends the lease: the agent has confirmed contact with control in reply to a heartbeat sent at
    /// `heartbeat_sent_at`.
    pub fn renew(&mut self, heartbeat_sent_at: Millis) {
        self.valid_until = self.valid_until.max(heartbeat_sent_at + LEASE_DURATION);
    }

    /// Records a call from another proxy to a counter of this one.
    pub fn record_call(&mut self, now: Millis, from: Ipv4Addr) {
        self.last_calls.insert(from, now);
    }

    /// Whether this proxy may grant from its counters.
    pub fn is_valid(&self, now: Millis) -> bool {
        let is_recent = |called_at: &&Millis| now - **called_at < CALL_VALIDITY;
        let recent_callers = self.last_calls.values().filter(is_recent).count();
        self.others == 0 || now < self.valid_until || recent_callers * 2 > self.others
    }
}
