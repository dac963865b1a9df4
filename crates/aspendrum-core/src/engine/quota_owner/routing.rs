//! Which instance decides on a request's quota, and what it is asked.

use crate::api::{Action, Millis};
use crate::engine::breaker::PROBE_INTERVAL;
use crate::engine::DecisionEngine;
use crate::peer_message::{MessageId, PeerMessage, QuotaRequest, TenantKey};
use crate::spread;
use crate::state::peer::Peer;

/// Instances of a tenant's set that may own its quota, one after another as those before don't
/// answer.
pub(super) const OWNERS: u32 = 3;
/// An owner answers within its counter's time-out and the way there and back.
const REPLY_TIMEOUT: Millis = 100.0;
/// A request is sent once more before it counts as missed: datagrams get lost.
const REPEAT_AFTER: Millis = 50.0;
/// So many missed replies in a row are not due to lost datagrams: the owner is not asked for a
/// while.
const MISSED_REPLIES: u32 = 2;

impl DecisionEngine {
    /// Decides on a client's request, or has its tenant's quota owner decide.
    pub(in crate::engine) fn start_admission(&mut self, slot: usize) {
        let tenant = self.requests[slot].tenant;
        self.tenants[tenant].last_request_at = self.now;
        self.route_to_owner(slot, 0);
    }

    /// The first reachable one of the tenant's owners decides, from that of number `first` on; this
    /// instance if it is that one or none is reachable.
    fn route_to_owner(&mut self, slot: usize, first: usize) {
        let tenant = self.requests[slot].tenant;
        let owner = self
            .quota_owners(tenant)
            .skip(first)
            .find(|peer| self.is_reachable(*peer));
        match owner {
            Some(peer) if peer != self.params.instance => self.ask_owner(slot, peer),
            Some(_) => {
                self.tenants[tenant].owned_at = self.now;
                self.decide_quota(slot);
            }
            None => self.decide_quota(slot),
        }
    }

    /// The instances that may own the tenant's quota, the first one first. Derived from its id and its set, so that all of the
    /// set conclude the same.
    pub(in crate::engine) fn quota_owners(&self, index: usize) -> impl Iterator<Item = u16> {
        let tenant = &self.tenants[index];
        let (id, first, set, instances) = (
            tenant.id as f64,
            tenant.first_instance,
            tenant.instances,
            self.params.instances,
        );
        let has_quota = self.params.plans[tenant.plan].rate > 0.0;
        let has_owners = self.params.has_quota_owners && set > 1.0 && has_quota;
        (0..if has_owners { OWNERS } else { 0 }).map(move |number| {
            let place = spread::phase(id + f64::from(number)) * set;
            ((first + place.floor()) % instances) as u16
        })
    }

    fn is_reachable(&self, peer: u16) -> bool {
        peer == self.params.instance || self.peers[usize::from(peer)].unreachable_until <= self.now
    }

    /// The tenant as messages name it.
    pub(super) fn tenant_key(&self, index: usize) -> TenantKey {
        let tenant = &self.tenants[index];
        TenantKey {
            tenant: tenant.id,
            plan: tenant.plan as u8,
            first_instance: tenant.first_instance as u16,
            instances: tenant.instances as u16,
        }
    }

    /// Asks the owner for the request's units, or first whether it is there.
    pub(super) fn ask_owner(&mut self, slot: usize, peer: u16) {
        let index = self.requests[slot].tenant;
        if self.now < self.tenants[index].exhausted_until {
            return self.conclude_admission(slot, false);
        }
        let is_paid = self.requests[slot].rate_limit_charged || self.charge_rate_limit_share(slot);
        let (id, key) = (self.next_message_id(), self.tenant_key(index));
        let units = self.requests[slot].units as f32;
        let quota_request = |transferred_steps| {
            let charges_rate_limit = !is_paid;
            PeerMessage::QuotaRequest(QuotaRequest {
                id,
                key,
                units,
                charges_rate_limit,
                transferred_steps,
            })
        };
        let Peer {
            is_answering,
            lacks_counter,
            ..
        } = self.peers[usize::from(peer)];
        let needs_tokens = lacks_counter || self.is_counter_silent();
        let message = match (is_answering, needs_tokens) {
            (true, true) => quota_request(self.give_all_tokens(index)),
            // Tokens given to an owner whose datagrams are lost are lost too, and so are its
            // grants.
            (false, true) => PeerMessage::Ping { id },
            // The counter makes good the grants of an owner whose datagrams are lost. An owner that can read the counter needs
            // no tokens: each instance keeps its tokens for when the counter becomes unreachable.
            (_, false) => quota_request(0),
        };
        let request = &mut self.requests[slot];
        request.quota_owner = Some(peer);
        request.waiting_since = self.now;
        request.rate_limit_charged = is_paid;
        request.message_to_owner = Some(message);
        self.send_to_peer(peer, message);
    }

    /// The owner has not answered yet: it is asked again, then given up for this request, and after
    /// misses in a row for a while.
    pub(in crate::engine) fn check_quota_owner(&mut self, slot: usize, peer: u16) {
        let request = &mut self.requests[slot];
        let waited = self.now - request.waiting_since;
        if !request.repeated_to_owner && waited > REPEAT_AFTER {
            request.repeated_to_owner = true;
            if let Some(message) = request.message_to_owner {
                self.send_to_peer(peer, message);
            }
        } else if waited > REPLY_TIMEOUT + self.params.counter_timeout {
            request.quota_owner = None;
            request.repeated_to_owner = false;
            self.count_missed_reply(peer);
            self.decide_without_owner(slot, peer);
        }
    }

    fn count_missed_reply(&mut self, peer: u16) {
        let peer = &mut self.peers[usize::from(peer)];
        peer.missed_replies += 1;
        peer.is_answering = false;
        if peer.missed_replies >= MISSED_REPLIES {
            // After the pause, one more miss is enough for another.
            peer.missed_replies = MISSED_REPLIES - 1;
            peer.unreachable_until = self.now + PROBE_INTERVAL;
        }
    }

    /// The next owner may be able to reach what this instance cannot. But with the counter, or with a spare grant, the request need
    /// not wait for other owners' time-outs too: three of them are half of a latency target.
    fn decide_without_owner(&mut self, slot: usize, owner: u16) {
        let index = self.requests[slot].tenant;
        let units = self.requests[slot].units;
        if !self.is_counter_silent() || self.has_spare_grant(index, units) {
            return self.decide_quota(slot);
        }
        let next = self
            .quota_owners(index)
            .position(|peer| peer == owner)
            .map_or(0, |number| number + 1);
        self.route_to_owner(slot, next);
    }

    /// No two messages of this instance have the same id, also after a restart.
    pub(super) fn next_message_id(&mut self) -> MessageId {
        self.last_message_at = (self.last_message_at + 1).max(self.now as u64);
        MessageId(self.last_message_at as u32)
    }

    pub(super) fn send_to_peer(&mut self, peer: u16, message: PeerMessage) {
        self.actions.push(Action::SendDatagram {
            to: Some(peer.into()),
            data: message.encode(),
        });
    }
}
