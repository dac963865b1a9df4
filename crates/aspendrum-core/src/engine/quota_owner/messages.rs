//! Handles datagrams from other instances.

use crate::api::Action;
use crate::engine::counter_name::fits_counter_name;
use crate::engine::DecisionEngine;
use crate::peer_message::{PeerMessage, TenantKey};

impl DecisionEngine {
    /// Handles a datagram from a peer. Malformed and unexpected datagrams are dropped and counted.
    pub(in crate::engine) fn handle_datagram(&mut self, peer: u16, data: &[u8]) {
        let is_expected = usize::from(peer) < self.peers.len() && self.params.has_quota_owners;
        let max_units = self.params.max_units.max(1.0) as f32;
        match PeerMessage::decode(data).filter(|_| is_expected) {
            Some(PeerMessage::QuotaRequest(request)) if request.units <= max_units => {
                self.handle_quota_request(peer, &request);
            }
            Some(PeerMessage::Ping { id }) => self.reply_to_ping(peer, id),
            Some(PeerMessage::Return { id }) => self.handle_return(peer, id),
            Some(PeerMessage::TokenRequest { key }) => self.handle_token_request(peer, &key),
            Some(PeerMessage::TokenTransfer { id, key, steps }) => {
                if let Some(index) = self.find_or_add_peer_tenant(&key) {
                    self.receive_tokens(index, peer, id, steps);
                }
            }
            Some(PeerMessage::QuotaReply(reply)) => self.handle_quota_reply(peer, &reply),
            Some(PeerMessage::Legacy) => {}
            Some(PeerMessage::QuotaRequest(_)) | None => self.count_malformed_datagram(),
        }
    }

    fn count_malformed_datagram(&mut self) {
        self.malformed_datagrams += 1;
        if self.malformed_datagrams.is_power_of_two() {
            let text = format!("malformed peer datagrams: {}", self.malformed_datagrams);
            self.actions.push(Action::Log(text));
        }
    }

    /// Returns the index of the tenant in a peer's message, or `None` if its id does not fit a
    /// counter name or its plan has no quota or differs from the known one.
    pub(super) fn find_or_add_peer_tenant(&mut self, key: &TenantKey) -> Option<usize> {
        let plan = usize::from(key.plan);
        let instances = f64::from(key.instances).min(self.params.instances);
        let known = self.tenants.find(key.tenant);
        let has_other_plan = known.is_some_and(|index| self.tenants[index].plan != plan);
        let has_quota = self
            .params
            .plans
            .get(plan)
            .is_some_and(|plan| plan.rate > 0.0);
        if !fits_counter_name(key.tenant) || !has_quota || has_other_plan {
            return None;
        }
        let index = self.find_or_add_tenant(key.tenant, plan, instances);
        let tenant = &mut self.tenants[index];
        tenant.last_used_at = self.now;
        tenant.first_instance = f64::from(key.first_instance);
        Some(index)
    }
}
