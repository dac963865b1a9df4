//! Selects the instance that decides on a request's quota, and sends it quota requests.

use crate::api::{Action, Millis};
use crate::engine::breaker::PROBE_INTERVAL;
use crate::engine::DecisionEngine;
use crate::peer_message::{MessageId, PeerMessage, QuotaRequest, TenantKey};
use crate::spread;
use crate::state::peer::Peer;

/// The number of instances of a tenant's set that may own its quota. Each takes over if those
/// before it do not answer.
pub(super) const MAX_OWNERS: u32 = 3;
/// The network round trip allowed for an owner's reply, in addition to the counter's timeout.
const REPLY_TIMEOUT: Millis = 100.0;
/// A request without a reply is retransmitted once after this time, since datagrams may be lost.
const RETRANSMIT_AFTER: Millis = 50.0;
/// After this many consecutive missed replies, which lost datagrams are unlikely to explain, an
/// owner counts as unreachable for `PROBE_INTERVAL`.
const MAX_MISSED_REPLIES: u32 = 2;

impl DecisionEngine {
    /// Starts the quota decision on a client's request, by its tenant's quota owner or by this
    /// instance.
    pub(in crate::engine) fn start_admission(&mut self, slot: usize) {
        let tenant = self.requests[slot].tenant;
        self.tenants[tenant].last_request_at = self.now;
        self.route_to_owner(slot, 0);
    }

    /// Routes the request to the first reachable owner, skipping that many owners. This instance
    /// decides if it is that owner or if none is reachable.
    fn route_to_owner(&mut self, slot: usize, skipped: usize) {
        let tenant = self.requests[slot].tenant;
        let owner = self
            .quota_owners(tenant)
            .skip(skipped)
            .find(|peer| self.is_reachable(*peer));
        match owner {
            Some(peer) if peer != self.params.instance => self.send_to_owner(slot, peer),
            Some(_) => {
                self.tenants[tenant].owned_at = self.now;
                self.decide_quota(slot);
            }
            None => self.decide_quota(slot),
        }
    }

    /// Returns the instances that may own the tenant's quota, in order of preference. They are
    /// derived from the tenant's id and its set, so that all instances of the set agree.
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
        (0..if has_owners { MAX_OWNERS } else { 0 }).map(move |number| {
            let position = spread::phase(id + f64::from(number)) * set;
            ((first + position.floor()) % instances) as u16
        })
    }

    fn is_reachable(&self, peer: u16) -> bool {
        peer == self.params.instance || self.peers[usize::from(peer)].unreachable_until <= self.now
    }

    /// Returns the tenant's key in peer messages.
    pub(super) fn tenant_key(&self, index: usize) -> TenantKey {
        let tenant = &self.tenants[index];
        TenantKey {
            tenant: tenant.id,
            plan: tenant.plan as u8,
            first_instance: tenant.first_instance as u16,
            instances: tenant.instances as u16,
        }
    }

    /// Sends a quota request to the owner, preceded by a ping if the owner may be unreachable. The
    /// request is rejected at once while the owner's last rejection is in effect.
    pub(super) fn send_to_owner(&mut self, slot: usize, peer: u16) {
        let index = self.requests[slot].tenant;
        if self.now < self.tenants[index].exhausted_until {
            return self.complete_admission(slot, false);
        }
        let is_charged_locally =
            self.requests[slot].rate_limit_charged || self.charge_rate_limit_share(slot);
        let (id, key) = (self.next_message_id(), self.tenant_key(index));
        let units = self.requests[slot].units as f32;
        let quota_request = |transferred_steps| {
            let charges_rate_limit = !is_charged_locally;
            PeerMessage::QuotaRequest(QuotaRequest {
                id,
                key,
                units,
                charges_rate_limit,
                transferred_steps,
            })
        };
        let Peer {
            is_responsive,
            counter_unreachable,
            ..
        } = self.peers[usize::from(peer)];
        let needs_tokens = counter_unreachable || self.is_counter_silent();
        let message = match (is_responsive, needs_tokens) {
            (true, true) => quota_request(self.withdraw_all_tokens(index)),
            // Tokens sent to an owner whose datagrams are lost would be lost too, and so would its
            // grants.
            (false, true) => PeerMessage::Ping { id },
            // The counter accounts for the grants of an owner whose datagrams are lost. An owner
            // that can reach the counter needs no tokens; each instance keeps its own for when the
            // counter becomes unreachable.
            (_, false) => quota_request(0),
        };
        let request = &mut self.requests[slot];
        request.quota_owner = Some(peer);
        request.waiting_since = self.now;
        request.rate_limit_charged = is_charged_locally;
        request.message_to_owner = Some(message);
        self.send_to_peer(peer, message);
    }

    /// Checks a request without a reply from its owner. The message is retransmitted once; after
    /// the timeout, the request is decided without this owner.
    pub(in crate::engine) fn check_quota_owner(&mut self, slot: usize, peer: u16) {
        let request = &mut self.requests[slot];
        let waited = self.now - request.waiting_since;
        if !request.retransmitted_to_owner && waited > RETRANSMIT_AFTER {
            request.retransmitted_to_owner = true;
            if let Some(message) = request.message_to_owner {
                self.send_to_peer(peer, message);
            }
        } else if waited > REPLY_TIMEOUT + self.params.counter_timeout {
            request.quota_owner = None;
            request.retransmitted_to_owner = false;
            self.count_missed_reply(peer);
            self.decide_without_owner(slot, peer);
        }
    }

    fn count_missed_reply(&mut self, peer: u16) {
        let peer = &mut self.peers[usize::from(peer)];
        peer.missed_replies += 1;
        peer.is_responsive = false;
        if peer.missed_replies >= MAX_MISSED_REPLIES {
            // After the interval, a single missed reply makes the owner unreachable again.
            peer.missed_replies = MAX_MISSED_REPLIES - 1;
            peer.unreachable_until = self.now + PROBE_INTERVAL;
        }
    }

    /// Decides on a request after its owner's timeout. If this instance can use the counter or a
    /// spare grant, it decides itself: waiting for the timeouts of all three owners would take half
    /// of a latency target. Otherwise the request is routed to the next owner, which may reach the
    /// counter.
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

    /// Returns an id that no other message of this instance has, not even across restarts.
    pub(super) fn next_message_id(&mut self) -> MessageId {
        self.last_message_time = (self.last_message_time + 1).max(self.now as u64);
        MessageId(self.last_message_time as u32)
    }

    pub(super) fn send_to_peer(&mut self, peer: u16, message: PeerMessage) {
        self.actions.push(Action::SendDatagram {
            to: Some(peer.into()),
            data: message.encode(),
        });
    }
}
