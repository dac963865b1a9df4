//! Calls to counters that other proxies own.

use super::id::CounterId;
use super::rtt::RttEstimator;
use aspendrum_core::api::Millis;
use aspendrum_model::hash::highest_ranked;
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter and its window as the decision engine names them.
    pub engine_name: u64,
    /// The proxy that was asked.
    pub owner: Ipv4Addr,
    /// When it was asked.
    pub sent_at: Millis,
    deadline: Millis,
}

/// The owners of counters, and the calls to them that wait for an answer.
#[derive(Default)]
pub struct CounterClient {
    owners: Vec<Ipv4Addr>,
    pending: HashMap<u32, CounterCall>,
    last_call: u32,
    round_trips: HashMap<Ipv4Addr, RttEstimator>,
}

impl CounterClient {
    /// Replaces the proxies that may own counters. Returns the calls to removed proxies, which have failed; `None`
    /// if nothing changed.
    pub fn set_owners(&mut self, owners: Vec<Ipv4Addr>) -> Option<Vec<CounterCall>> {
        if self.owners == owners {
            return None;
        }
        self.owners = owners;
        let owners = &self.owners;
        let is_gone = |call: &CounterCall| !owners.contains(&call.owner);
        Some(drain_calls(&mut self.pending, is_gone))
    }

    /// The owner of a counter; `None` while no proxy is known.
    pub fn owner(&self, counter: CounterId) -> Option<Ipv4Addr> {
        highest_ranked(
            counter.0,
            self.owners
                .iter()
                .map(|owner| (u64::from(u32::from(*owner)), *owner)),
        )
    }

    /// Begins a call. Returns the number that its answer bears.
    pub fn start_call(&mut self, now: Millis, owner: Ipv4Addr, engine_name: u64) -> u32 {
        self.last_call = self.last_call.wrapping_add(1);
        let round_trips = self.round_trips.get(&owner);
        let timeout = round_trips.map_or(RttEstimator::INITIAL_TIMEOUT, RttEstimator::timeout);
        let call = CounterCall {
            engine_name,
            owner,
            sent_at: now,
            deadline: now + timeout,
        };
        self.pending.insert(self.last_call, call);
        self.last_call
    }

    /// An answer came. `None`: the call timed out before, or another proxy was asked.
    pub fn finish_call(&mut self, now: Millis, from: Ipv4Addr, call: u32) -> Option<CounterCall> {
        self.pending
            .get(&call)
            .filter(|pending| pending.owner == from)?;
        let call = self.pending.remove(&call)?;
        let sample = now - call.sent_at;
        let round_trips = self
            .round_trips
            .entry(call.owner)
            .or_insert(RttEstimator::new(sample));
        round_trips.record(sample);
        Some(call)
    }

    /// Removes and returns the calls whose time-out is over.
    pub fn expire_calls(&mut self, now: Millis) -> Vec<CounterCall> {
        drain_calls(&mut self.pending, |call| now >= call.deadline)
    }
}

/// Removes and returns the calls for which that holds.
fn drain_calls(
    pending: &mut HashMap<u32, CounterCall>,
    holds: impl Fn(&CounterCall) -> bool,
) -> Vec<CounterCall> {
    let taken: Vec<u32> = pending
        .iter()
        .filter(|entry| holds(entry.1))
        .map(|entry| *entry.0)
        .collect();
    taken
        .iter()
        .filter_map(|call| pending.remove(call))
        .collect()
}
