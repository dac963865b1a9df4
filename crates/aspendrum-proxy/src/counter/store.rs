//! The counters owned by this proxy, and the transfer of ownership between proxies without granting a window twice.

use super::id::CounterId;
use super::message::CounterHandover;
use super::quota::Quota;
use aspendrum_core::api::Millis;
use std::collections::HashMap;

/// How long, beyond the length of a window, other proxies may still use an older list of owners, in milliseconds.
const OWNER_LIST_LAG: Millis = 400.0;

/// The total granted in the current window of a counter.
struct Window {
    total: f64,
    started_at: Millis,
}

/// The counters owned by this proxy.
#[derive(Default)]
pub struct CounterStore {
    windows: HashMap<CounterId, Window>,
    /// The quota of each tenant; `None` without a limit.
    quotas: HashMap<CounterId, Option<Quota>>,
    /// The time since which this proxy owns each counter. It is stored per counter so that a counter whose owner does
    /// not change is not delayed. A handover of a counter that is still waiting can move the time back to when the
    /// sender began to wait. Negative infinity means that no other proxy has ever owned the counter.
    owned_since: HashMap<CounterId, Millis>,
    /// Whether the list of owners is known.
    owners_known: bool,
}

impl CounterStore {
    /// Replaces the quotas. A counter that is first configured while the process is running had no previous
    /// owner, so it grants without delay.
    pub fn set_quotas(
        &mut self,
        quotas: HashMap<CounterId, Option<Quota>>,
        is_owned: impl Fn(CounterId) -> bool,
    ) {
        self.windows
            .retain(|counter, _| quotas.contains_key(counter));
        self.owned_since
            .retain(|counter, _| quotas.contains_key(counter));
        if self.owners_known {
            let is_new = |counter: &&CounterId| !self.quotas.contains_key(counter);
            let new_counters = quotas
                .keys()
                .filter(is_new)
                .filter(|counter| is_owned(**counter));
            self.owned_since
                .extend(new_counters.map(|counter| (*counter, f64::NEG_INFINITY)));
        }
        self.quotas = quotas;
    }

    /// Updates the owned counters after a change of owners. Returns the handovers for counters owned by other
    /// proxies from now on. Nothing more is granted from these here, so their next owners can continue at once.
    pub fn update_ownership(
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
            // An expired window is handed over too, so that the next owner can start another one without
            // waiting. A counter that is still waiting is handed over with the time it has waited: otherwise,
            // while a whole fleet restarts, the wait would begin again at each owner.
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

    /// Accepts a counter from its previous owner. Units already granted here are added to the received total.
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

    /// Adds to a counter and returns the total of its window. Returns `None` if the tenant is unknown or has no limit, or if
    /// the previous owner has not handed the counter over and may still grant from it until its window has
    /// ended.
    pub fn add(&mut self, now: Millis, counter: CounterId, amount: f32) -> Option<f32> {
        let quota = (*self.quotas.get(&counter)?)?;
        if !self.windows.contains_key(&counter) {
            let since = self.owned_since.get(&counter)?;
            if now - since < quota.window + OWNER_LIST_LAG {
                return None;
            }
        }
        let new_window = Window {
            total: 0.0,
            started_at: now,
        };
        let window = self.windows.entry(counter).or_insert(new_window);
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
