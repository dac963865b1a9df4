//! Tenants' counters as the decision engine uses them: those of this proxy are added to at once, the others by a call to
//! their owner.

use crate::counter::{
    CounterCall, CounterClient, CounterHandover, CounterId, CounterMessage, CounterSocket,
    CounterStore, OwnerLease, Quota,
};
use aspendrum_core::api::{Event, Millis, Outcome};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Of its even share of a quota, what a proxy spends without its counter's answer: the counter's last window may have
/// been spent just before.
const LOCAL_SHARE: f64 = 0.75;
/// The others may consider a proxy without contact to control as failed, and divide the whole quota among themselves. It spends
/// so much of its even share: with a sixth of the proxies cut off that stays within the quota's tolerance.
const CONTROL_SILENT_SHARE: f64 = 0.4;

/// How a call to a counter ended, at this proxy or at another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CounterResult {
    engine_name: u64,
    outcome: Outcome,
    total: f32,
    rtt: Millis,
}

impl CounterResult {
    /// The end of a call to another proxy.
    pub(super) fn of_call(
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

    /// As an event for the decision engine.
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

/// What follows from a datagram of another proxy.
pub(super) enum Received {
    /// An answer to it.
    Reply(CounterMessage),
    /// A call of ours has ended.
    Finished(CounterResult),
    /// Nothing.
    Ignored,
}

/// The counters of this proxy, and the calls to others'.
pub(super) struct Counters {
    client: CounterClient,
    store: CounterStore,
    lease: OwnerLease,
    socket: Arc<CounterSocket>,
    local_ip: Ipv4Addr,
    control_silent: bool,
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
            control_silent: false,
        }
    }

    /// Adds to the counter that the decision engine names. `None`: its owner was asked, and the answer follows.
    pub(super) fn add(
        &mut self,
        now: Millis,
        engine_name: u64,
        amount: f32,
    ) -> Option<CounterResult> {
        // The module's name holds a window of its own; the owner has its own windows.
        let counter = CounterId::of_engine_name(engine_name);
        let total = match self.client.owner(counter).filter(|_| !self.control_silent) {
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
            Some(_) => self.add_as_owner(now, counter, amount),
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

    /// `None`: nothing may be granted from it now.
    fn add_as_owner(&mut self, now: Millis, counter: CounterId, amount: f32) -> Option<f32> {
        if !self.lease.is_valid(now) {
            return None;
        }
        self.store.add(now, counter, amount)
    }

    /// Control has certainly heard this proxy: its agent has said so when it was asked then.
    pub(super) fn renew_lease(&mut self, asked_at: Millis) {
        self.lease.renew(asked_at);
    }

    /// A datagram of another proxy.
    pub(super) fn receive(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> Received {
        match message {
            CounterMessage::Add {
                call,
                counter,
                amount,
            } if amount.is_finite() => {
                self.lease.record_call(now, from);
                Received::Reply(match self.add_as_owner(now, counter, amount) {
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
                Received::Ignored
            }
            CounterMessage::Add { .. } | CounterMessage::Total { .. } => Received::Ignored,
        }
    }

    fn finish_call(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        call: u32,
        outcome: Outcome,
        total: f32,
    ) -> Received {
        match self.client.finish_call(now, from, call) {
            Some(call) => Received::Finished(CounterResult::of_call(now, &call, outcome, total)),
            None => Received::Ignored,
        }
    }

    /// Calls whose time-out is over.
    pub(super) fn expire_calls(&mut self, now: Millis) -> Vec<CounterCall> {
        self.client.expire_calls(now)
    }

    /// Replaces the tenants' quotas.
    pub(super) fn set_quotas(&mut self, quotas: HashMap<CounterId, Quota>) {
        let (client, local_ip) = (&self.client, self.local_ip);
        self.store
            .set_quotas(quotas, |counter| client.owner(counter) == Some(local_ip));
    }

    /// Replaces the proxies that may own counters, and hands over what others own now. Returns the calls to proxies that
    /// are gone.
    pub(super) fn set_owners(&mut self, now: Millis, owners: Vec<Ipv4Addr>) -> Vec<CounterCall> {
        let others = owners.iter().copied().filter(|ip| *ip != self.local_ip);
        self.lease.set_others(&others.collect::<Vec<_>>());
        let Some(failed) = self.client.set_owners(owners) else {
            return Vec::new();
        };
        let (client, local_ip) = (&self.client, self.local_ip);
        let handovers = self
            .store
            .set_owned(now, |counter| client.owner(counter) == Some(local_ip));
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

    /// While control is unreachable, others may consider this proxy as failed: it asks no owner. Returns whether that changed.
    pub(super) fn set_control_silent(&mut self, is_silent: bool) -> bool {
        std::mem::replace(&mut self.control_silent, is_silent) != is_silent
    }

    /// Among how many a tenant's quota is divided while its counter does not answer, out of so many proxies.
    pub(super) fn quota_sharers(&self, proxies: usize) -> f32 {
        let share = if self.control_silent {
            CONTROL_SILENT_SHARE
        } else {
            LOCAL_SHARE
        };
        (proxies as f64 / share) as f32
    }
}
