//! The counters that this proxy owns, and how ownership passes from one proxy to the next without granting a window
//! twice.

use super::id::CounterId;
use super::message::CounterHandover;
use super::quota::Quota;
use aspendrum_core::api::Millis;
use std::collections::HashMap;

/// How much longer than a window other proxies may use an older list of owners.
const STALE_OWNERS: Millis = 400.0;

/// What was granted in the current window of one counter.
struct Window {
    total: f64,
    started_at: Millis,
}

/// The counters owned by this proxy.
#[derive(Default)]
pub struct CounterStore {
    windows: HashMap<CounterId, Window>,
    quotas: HashMap<CounterId, Quota>,
    /// Since when this proxy owns each counter. Kept by counter: a change of owners that concerns others makes no
    /// counter wait. Negative infinity: no other proxy ever owned it.
    owned_since: HashMap<CounterId, Millis>,
    /// The list of owners is known.
    owners_known: bool,
}

impl CounterStore {
    /// Replaces the quotas. A counter that is new to the running process had no owner before, so it need not wait.
    pub fn set_quotas(
        &mut self,
        quotas: HashMap<CounterId, Quota>,
        is_owned: impl Fn(CounterId) -> bool,
    ) {
        self.windows
            .retain(|counter, _| quotas.contains_key(counter));
        self.owned_since
            .retain(|counter, _| quotas.contains_key(counter));
        if self.owners_known {
            let is_new = |counter: &&CounterId| !self.quotas.contains_key(counter);
            let new = quotas
                .keys()
                .filter(is_new)
                .filter(|counter| is_owned(**counter));
            self.owned_since
                .extend(new.map(|counter| (*counter, f64::NEG_INFINITY)));
        }
        self.quotas = quotas;
    }

    /// The list of owners has changed. Returns what goes to other owners: nothing is granted from these here any more,
    /// so the next owner goes on at once.
    pub fn set_owned(
        &mut self,
        now: Millis,
        is_owned: impl Fn(CounterId) -> bool,
    ) -> Vec<CounterHandover> {
        self.owners_known = true;
        let mut handovers = Vec::new();
        for counter in self.quotas.keys() {
            if is_owned(*counter) {
                self.owned_since.entry(*counter).or_insert(now);
                continue;
            }
            // Also a window that is over: the next owner begins another without waiting. And one that still waits: it
            // need not wait from the start at each owner while a whole fleet comes back.
            let since = self.owned_since.remove(counter);
            let window = self.windows.remove(counter);
            let total = window.as_ref().map(|window| window.total as f32);
            let Some(started_at) = window.map(|window| window.started_at).or(since) else {
                continue;
            };
            let age_ms = (now - started_at).clamp(0.0, f64::from(u32::MAX)) as u32;
            handovers.push(CounterHandover {
                counter: *counter,
                total,
                age_ms,
            });
        }
        handovers
    }

    /// The last owner hands a counter over. What was granted here meanwhile is added to it.
    pub fn accept_handover(&mut self, now: Millis, handover: CounterHandover) {
        let CounterHandover { counter, total, .. } = handover;
        if !self.quotas.contains_key(&counter) {
            return;
        }
        let started_at = now - f64::from(handover.age_ms);
        match total {
            Some(total) if total >= 0.0 && total.is_finite() => {
                let window = self.windows.entry(counter).or_insert(Window {
                    total: 0.0,
                    started_at,
                });
                window.total += f64::from(total);
            }
            Some(_) => {}
            None => {
                let since = self.owned_since.entry(counter).or_insert(started_at);
                *since = since.min(started_at);
            }
        }
    }

    /// Adds to a counter; returns what its window then holds. `None`: the last owner may still grant from the counter
    /// until its window is over, unless it has handed it over, or the tenant is not known.
    pub fn add(&mut self, now: Millis, counter: CounterId, amount: f32) -> Option<f32> {
        let quota = self.quotas.get(&counter)?;
        if !self.windows.contains_key(&counter) {
            let since = self.owned_since.get(&counter)?;
            if now - since < quota.window + STALE_OWNERS {
                return None;
            }
        }
        let fresh = Window {
            total: 0.0,
            started_at: now,
        };
        let window = self.windows.entry(counter).or_insert(fresh);
        if now - window.started_at >= quota.window {
            *window = Window {
                total: 0.0,
                started_at: now,
            };
        }
        window.total += f64::from(amount);
        Some(window.total as f32)
    }
}
