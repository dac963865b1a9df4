//! The owner's replies to quota requests, and the return of granted units that were not used.

use super::reply_cache::{peer_request_id, CachedReply};
use crate::engine::DecisionEngine;
use crate::peer_message::{MessageId, PeerMessage, QuotaReply, QuotaRequest};
use crate::state::request::{PeerOrigin, Request, RequestStage};

impl DecisionEngine {
    /// Decides on a peer's request for units of a quota that this instance owns. A retransmitted
    /// request gets the same reply.
    pub(super) fn handle_quota_request(&mut self, peer: u16, quota_request: &QuotaRequest) {
        let id = peer_request_id(peer, quota_request.id);
        if let Some(message) = self.reply_cache.find(id).map(|reply| reply.message) {
            return self.send_to_peer(peer, message);
        }
        let Some(tenant) = self.find_or_add_peer_tenant(&quota_request.key) else {
            return;
        };
        self.tenants[tenant].owned_at = self.now;
        if self.requests.find(id).is_some() {
            return;
        }
        self.receive_tokens(
            tenant,
            peer,
            quota_request.id,
            quota_request.transferred_steps,
        );
        let origin = PeerOrigin {
            peer,
            sequence: quota_request.id.sequence(),
        };
        let mut request = Request::from_peer(id, origin, tenant, f64::from(quota_request.units));
        request.priority = self.params.plans[self.tenants[tenant].plan].price;
        request.charges_owner_rate_limit = quota_request.charges_rate_limit;
        let slot = self.add_request(request);
        self.decide_quota(slot);
    }

    /// Sends the decision on a peer's request. A rejection contains the time until the quota has
    /// room.
    pub(in crate::engine) fn reply_to_peer(&mut self, slot: usize) {
        let counter_unreachable = self.is_counter_silent();
        let request = &self.requests[slot];
        let Some(PeerOrigin { peer, sequence }) = request.peer_origin else {
            return;
        };
        let tenant = &self.tenants[request.tenant];
        let plan = &self.params.plans[tenant.plan];
        let granted = request.within_quota;
        let available = if counter_unreachable {
            self.available_tokens(request.tenant)
        } else {
            tenant.local_tokens
        };
        let refill = ((request.units - available).max(0.0) / plan.rate.max(1e-9)).min(plan.window);
        let retry_after = if granted { 0.0 } else { refill };
        let reply = QuotaReply {
            sequence,
            granted,
            counter_unreachable,
            retry_after,
        };
        let message = PeerMessage::QuotaReply(reply);
        let units = if granted { request.units } else { 0.0 };
        self.reply_cache.insert(CachedReply {
            request: request.id,
            message,
            tenant: tenant.id,
            units,
        });
        self.send_to_peer(peer, message);
    }

    /// Answers a ping with a rejection without a retry delay, which shows the peer that this
    /// instance is reachable.
    pub(super) fn reply_to_ping(&mut self, peer: u16, id: MessageId) {
        let counter_unreachable = self.is_counter_silent();
        let reply = QuotaReply {
            sequence: id.sequence(),
            granted: false,
            counter_unreachable,
            retry_after: 0.0,
        };
        self.send_to_peer(peer, PeerMessage::QuotaReply(reply));
    }

    /// Handles an owner's reply, which decides on the request that waits for it. After a reply to a
    /// ping, the quota request itself is sent.
    pub(super) fn handle_quota_reply(&mut self, peer: u16, reply: &QuotaReply) {
        let owner = &mut self.peers[usize::from(peer)];
        owner.missed_replies = 0;
        owner.unreachable_until = 0.0;
        owner.is_responsive = true;
        owner.counter_unreachable = reply.counter_unreachable;
        let awaits_reply = |slot: &&usize| {
            let request = &self.requests[**slot];
            let sent_id = request.message_to_owner.and_then(PeerMessage::answered_id);
            sent_id.is_some_and(|id| id.sequence() == reply.sequence)
                && request.quota_owner == Some(peer)
                && request.stage == RequestStage::Admission
        };
        let Some(&slot) = self.open_requests.iter().find(awaits_reply) else {
            return;
        };
        let Request {
            tenant,
            message_to_owner,
            ..
        } = self.requests[slot];
        if matches!(message_to_owner, Some(PeerMessage::Ping { .. })) {
            return self.send_to_owner(slot, peer);
        }
        self.tenants[tenant].exhausted_until = if reply.granted {
            0.0
        } else {
            self.now + reply.retry_after
        };
        self.complete_admission(slot, reply.granted);
    }

    /// Takes back units that a peer returns. Only units granted by this instance are accepted, and
    /// only once: each accepted return allows the units to be granted again.
    pub(super) fn handle_return(&mut self, peer: u16, id: MessageId) {
        let Some(reply) = self.reply_cache.find(peer_request_id(peer, id)) else {
            return;
        };
        let (tenant, units) = (reply.tenant, std::mem::take(&mut reply.units));
        let Some(index) = self.tenants.find(tenant) else {
            return;
        };
        self.refund_tokens(index, units);
        let tenant = &mut self.tenants[index];
        let burst = self.params.plans[tenant.plan].burst;
        tenant.remaining = (tenant.remaining + units).min(burst);
        tenant.local_tokens = (tenant.local_tokens + units).min(burst);
        self.schedule_settlement(index, -units);
    }

    /// Returns the units of a granted request that was not sent to any server, to the instance or
    /// the counter that granted them.
    pub(in crate::engine) fn return_units(&mut self, slot: usize) {
        let Request {
            tenant: index,
            units,
            quota_owner,
            message_to_owner,
            ..
        } = self.requests[slot];
        if let (Some(peer), Some(PeerMessage::QuotaRequest(request))) =
            (quota_owner, message_to_owner)
        {
            return self.send_to_peer(peer, PeerMessage::Return { id: request.id });
        }
        self.refund_tokens(index, units);
        let tenant = &mut self.tenants[index];
        tenant.remaining += units;
        tenant.local_tokens += if tenant.split_among == 1.0 {
            units
        } else {
            0.0
        };
        self.schedule_settlement(index, -units);
    }
}
