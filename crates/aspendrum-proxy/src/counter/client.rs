//! Calls to counters owned by other proxies.

use super::id::CounterId;
use super::rtt::RttEstimator;
use aspendrum_core::api::Millis;
use aspendrum_model::hash::rendezvous_owner;
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// A call that awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The decision engine's name for the counter and its window.
    pub engine_name: u64,
    /// The called proxy.
    pub owner: Ipv4Addr,
    /// The time of the call.
    pub sent_at: Millis,
    deadline: Millis,
}

/// The owners of counters, and the pending calls to them.
#[derive(Default)]
pub struct CounterClient {
    owners: Vec<Ipv4Addr>,
    pending: HashMap<u32, CounterCall>,
    last_call: u32,
    rtt_estimators: HashMap<Ipv4Addr, RttEstimator>,
}

impl CounterClient {
    /// Replaces the proxies that may own counters. Returns the calls to removed proxies, which have failed, or
    /// `None` if the owners are unchanged.
    pub fn set_owners(&mut self, owners: Vec<Ipv4Addr>) -> Option<Vec<CounterCall>> {
        if self.owners == owners {
            return None;
        }
        self.owners = owners;
        let owners = &self.owners;
        let is_removed = |call: &CounterCall| !owners.contains(&call.owner);
        Some(remove_calls(&mut self.pending, is_removed))
    }

    /// Returns the owner of a counter, or `None` if no proxy is known.
    pub fn owner(&self, counter: CounterId) -> Option<Ipv4Addr> {
        rendezvous_owner(
            counter.0,
            self.owners
                .iter()
                .map(|owner| (u64::from(u32::from(*owner)), *owner)),
        )
    }

    /// Starts a call and returns the call number that identifies its reply.
    pub fn start_call(&mut self, now: Millis, owner: Ipv4Addr, engine_name: u64) -> u32 {
        self.last_call = self.last_call.wrapping_add(1);
        let estimator = self.rtt_estimators.get(&owner);
        let timeout = estimator.map_or(RttEstimator::INITIAL_TIMEOUT, RttEstimator::timeout);
        let call = CounterCall {
            engine_name,
            owner,
            sent_at: now,
            deadline: now + timeout,
        };
        self.pending.insert(self.last_call, call);
        self.last_call
    }

    /// Completes a call on a reply. Returns `None` if the call has timed out, or if the reply is not from the
    /// called proxy.
    pub fn finish_call(&mut self, now: Millis, from: Ipv4Addr, call: u32) -> Option<CounterCall> {
        self.pending
            .get(&call)
            .filter(|pending| pending.owner == from)?;
        let call = self.pending.remove(&call)?;
        let sample = now - call.sent_at;
        let estimator = self
            .rtt_estimators
            .entry(call.owner)
            .or_insert(RttEstimator::new(sample));
        estimator.record(sample);
        Some(call)
    }

    /// Removes and returns the calls that have timed out.
    pub fn expire_calls(&mut self, now: Millis) -> Vec<CounterCall> {
        remove_calls(&mut self.pending, |call| now >= call.deadline)
    }
}

/// Removes and returns the calls that match the predicate.
fn remove_calls(
    pending: &mut HashMap<u32, CounterCall>,
    predicate: impl Fn(&CounterCall) -> bool,
) -> Vec<CounterCall> {
    let matching: Vec<u32> = pending
        .iter()
        .filter(|entry| predicate(entry.1))
        .map(|entry| *entry.0)
        .collect();
    matching
        .iter()
        .filter_map(|call| pending.remove(call))
        .collect()
}
