//! The decision engine's access to tenant counters: counters owned by this proxy are updated locally, all others
//! by a call to their owner.

use crate::counter::{
    CounterCall, CounterClient, CounterHandover, CounterId, CounterMessage, CounterSocket,
    CounterStore, OwnerLease, Quota,
};
use aspendrum_core::api::{Event, Millis, Outcome};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The fraction of its even share of a quota that a proxy grants while the counter does not answer. It is below 1
/// because the counter's last window may have been used up immediately before.
const LOCAL_QUOTA_SHARE: f64 = 0.75;
/// The corresponding fraction while control is unreachable. The other proxies may then consider this one failed and
/// divide the whole quota among themselves: with a sixth of the proxies isolated, the total stays within the quota's
/// tolerance.
const ISOLATED_QUOTA_SHARE: f64 = 0.4;

/// The result of adding to a counter, local or remote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CounterResult {
    engine_name: u64,
    outcome: Outcome,
    total: f32,
    rtt: Millis,
}

impl CounterResult {
    /// Returns the result of a call to another proxy.
    pub(super) fn from_call(
        now: Millis,
        call: &CounterCall,
        outcome: Outcome,
        total: f32,
    ) -> CounterResult {
        CounterResult {
            engine_name: call.engine_name,
            outcome,
            total,
            rtt: now - call.sent_at,
        }
    }

    /// Returns the result as an event for the decision engine.
    pub(super) fn event(&self) -> Event<'static> {
        let CounterResult {
            engine_name: name,
            outcome,
            total,
            rtt,
        } = *self;
        Event::CounterReplied {
            name,
            outcome,
            total,
            rtt,
        }
    }
}

/// The effect of a datagram from another proxy.
pub(super) enum ReceiveOutcome {
    /// A reply must be sent.
    Reply(CounterMessage),
    /// A call made by this proxy has finished.
    Finished(CounterResult),
    /// The datagram has no effect that needs handling.
    Ignored,
}

/// The counters owned by this proxy, and the calls to counters owned by others.
pub(super) struct Counters {
    client: CounterClient,
    store: CounterStore,
    lease: OwnerLease,
    socket: Arc<CounterSocket>,
    local_ip: Ipv4Addr,
    control_unreachable: bool,
}

impl Counters {
    pub(super) fn new(socket: Arc<CounterSocket>, local_ip: Ipv4Addr) -> Counters {
        let (client, store) = (CounterClient::default(), CounterStore::default());
        Counters {
            client,
            store,
            lease: OwnerLease::default(),
            socket,
            local_ip,
            control_unreachable: false,
        }
    }

    /// Adds to a counter. `engine_name` is the decision engine's name for the counter. Returns `None` if a call
    /// to the counter's owner was started, whose result follows later.
    pub(super) fn add(
        &mut self,
        now: Millis,
        engine_name: u64,
        amount: f32,
    ) -> Option<CounterResult> {
        // The engine's name includes a window number; the owner maintains its own windows.
        let counter = CounterId::from_engine_name(engine_name);
        let total = match self
            .client
            .owner(counter)
            .filter(|_| !self.control_unreachable)
        {
            Some(owner) if owner != self.local_ip => {
                let call = self.client.start_call(now, owner, engine_name);
                self.socket.send(
                    owner,
                    &CounterMessage::Add {
                        call,
                        counter,
                        amount,
                    },
                );
                return None;
            }
            Some(_) => self.add_owned(now, counter, amount),
            None => None,
        };
        let (outcome, total) = match total {
            Some(total) => (Outcome::Ok, total),
            None => (Outcome::ConnectFailed, 0.0),
        };
        Some(CounterResult {
            engine_name,
            outcome,
            total,
            rtt: 0.0,
        })
    }

    /// Adds to a counter owned by this proxy. Returns `None` if the counter may not grant anything now.
    fn add_owned(&mut self, now: Millis, counter: CounterId, amount: f32) -> Option<f32> {
        if !self.lease.is_valid(now) {
            return None;
        }
        self.store.add(now, counter, amount)
    }

    /// Extends the owner lease: the agent has confirmed contact with control in reply to a heartbeat sent at
    /// `heartbeat_sent_at`.
    pub(super) fn renew_lease(&mut self, heartbeat_sent_at: Millis) {
        self.lease.renew(heartbeat_sent_at);
    }

    /// Handles a datagram from another proxy.
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> ReceiveOutcome {
        match message {
            CounterMessage::Add {
                call,
                counter,
                amount,
            } if amount.is_finite() => {
                self.lease.record_call(now, from);
                ReceiveOutcome::Reply(match self.add_owned(now, counter, amount) {
                    Some(total) => CounterMessage::Total { call, total },
                    None => CounterMessage::Unavailable { call },
                })
            }
            CounterMessage::Total { call, total } if total.is_finite() => {
                self.finish_call(now, from, call, Outcome::Ok, total)
            }
            CounterMessage::Unavailable { call } => {
                self.finish_call(now, from, call, Outcome::ConnectFailed, 0.0)
            }
            CounterMessage::Handover(handover) => {
                self.store.accept_handover(now, handover);
                ReceiveOutcome::Ignored
            }
            CounterMessage::Add { .. } | CounterMessage::Total { .. } => ReceiveOutcome::Ignored,
        }
    }

    fn finish_call(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        call: u32,
        outcome: Outcome,
        total: f32,
    ) -> ReceiveOutcome {
        match self.client.finish_call(now, from, call) {
            Some(call) => {
                ReceiveOutcome::Finished(CounterResult::from_call(now, &call, outcome, total))
            }
            None => ReceiveOutcome::Ignored,
        }
    }

    /// Removes and returns the calls that have timed out.
    pub(super) fn expire_calls(&mut self, now: Millis) -> Vec<CounterCall> {
        self.client.expire_calls(now)
    }

    /// Replaces the tenants' quotas.
    pub(super) fn set_quotas(&mut self, quotas: HashMap<CounterId, Option<Quota>>) {
        let (client, local_ip) = (&self.client, self.local_ip);
        self.store
            .set_quotas(quotas, |counter| client.owner(counter) == Some(local_ip));
    }

    /// Replaces the proxies that may own counters, and hands over the counters that other proxies own from now on.
    /// Returns the calls to proxies that were removed.
    pub(super) fn set_owners(&mut self, now: Millis, owners: Vec<Ipv4Addr>) -> Vec<CounterCall> {
        let others = owners.iter().copied().filter(|ip| *ip != self.local_ip);
        self.lease.set_others(&others.collect::<Vec<_>>());
        let Some(failed) = self.client.set_owners(owners) else {
            return Vec::new();
        };
        let (client, local_ip) = (&self.client, self.local_ip);
        let handovers = self
            .store
            .update_ownership(now, |counter| client.owner(counter) == Some(local_ip));
        handovers
            .into_iter()
            .for_each(|handover| self.send_handover(handover));
        failed
    }

    fn send_handover(&self, handover: CounterHandover) {
        if let Some(owner) = self.client.owner(handover.counter) {
            self.socket.send(owner, &CounterMessage::Handover(handover));
        }
    }

    /// Sets whether control is unreachable. If it is, this proxy starts no addition of its own, local or remote, since
    /// the other proxies may consider this one failed. Returns whether the value changed.
    pub(super) fn set_control_unreachable(&mut self, is_unreachable: bool) -> bool {
        std::mem::replace(&mut self.control_unreachable, is_unreachable) != is_unreachable
    }

    /// Returns the divisor that gives this proxy's share of a tenant's quota while the counter does not answer.
    /// `proxies` is the number of proxies.
    pub(super) fn quota_divisor(&self, proxies: usize) -> f32 {
        let share = if self.control_unreachable {
            ISOLATED_QUOTA_SHARE
        } else {
            LOCAL_QUOTA_SHARE
        };
        (proxies as f64 / share) as f32
    }
}
