//! Accepts requests and acts on the quota decision.

use super::DecisionEngine;
use crate::api::{Action, Millis, NewRequest, TenantId};
use crate::state::request::Request;
use crate::state::tenant::{RateLimitShare, Tenant};
use aspendrum_token_bucket::TokenBucket;

/// Tenants without requests for this long are removed. The rate limit share of a new tenant is
/// therefore refilled for at most this long.
pub(super) const IDLE_TIMEOUT: Millis = 90_000.0;
/// A new tenant of a windowed plan starts without local tokens for this long after the start of the
/// process, because the previous process may just have granted the share.
const RECENT_START: Millis = 5000.0;
/// The fraction of the rate limit share that is reserved for requests within their quota.
const RATE_LIMIT_RESERVE: f64 = 0.5;

impl DecisionEngine {
    /// Starts the admission of a client's request. A request with the id of an open request, or
    /// with an unconfigured group or plan, is dropped.
    pub(super) fn handle_request(&mut self, new: &NewRequest) {
        let (group, plan) = (usize::from(new.group), new.plan as usize);
        let is_known = self.requests.find(new.id).is_some();
        if is_known || group >= self.params.groups.len() || plan >= self.params.plans.len() {
            self.actions.push(Action::Drop { id: new.id });
            return;
        }
        let tenant = self.find_or_add_tenant(new.tenant, plan, f64::from(new.instances).max(1.0));
        let mut request = Request::new(new, tenant, self.now);
        let group = &self.params.groups[group];
        request.target_at = self.now + group.target;
        request.priority = group.importance * self.params.plans[plan].price;
        self.tenants[tenant].last_used_at = self.now;
        self.tenants[tenant].first_instance = f64::from(new.first_instance);
        let slot = self.add_request(request);
        self.start_admission(slot);
    }

    /// Stores a request and returns its index.
    pub(super) fn add_request(&mut self, request: Request) -> usize {
        let tenant = request.tenant;
        let slot = self.requests.insert(request.id, request);
        self.open_requests.push(slot);
        self.tenants[tenant].open_requests += 1;
        slot
    }

    /// Returns the tenant's index. A new tenant starts with an empty token bucket and its share of
    /// the local count.
    pub(super) fn find_or_add_tenant(
        &mut self,
        id: TenantId,
        plan: usize,
        instances: f64,
    ) -> usize {
        if let Some(index) = self.tenants.find(id) {
            self.tenants[index].instances = instances;
            return index;
        }
        let filled_from = self.started_at.max(self.now - IDLE_TIMEOUT);
        let share = RateLimitShare {
            tokens: 0.0,
            refilled_at: filled_from,
        };
        let mut tenant = Tenant {
            id,
            plan,
            instances,
            owned_at: f64::NEG_INFINITY,
            rate_limit_share: share,
            owner_rate_limit_share: share,
            // Starts empty: the previous process may have spent or transferred all of its tokens.
            token_bucket: TokenBucket::new(filled_from as u64, self.started_at as u64),
            ..Tenant::default()
        };
        let plan = &self.params.plans[plan];
        tenant.split_local_count(plan, instances, self.now);
        if plan.is_windowed && self.now - self.started_at < RECENT_START {
            tenant.local_tokens = 0.0;
        }
        self.tenants.insert(id, tenant)
    }

    /// Acts on the quota decision: replies to a peer, or queues or rejects a client's request.
    pub(super) fn complete_admission(&mut self, slot: usize, within_quota: bool) {
        self.record_decision(slot, within_quota);
        let request = &mut self.requests[slot];
        if request.rate_limit_charged && !within_quota {
            request.rate_limit_charged = false;
            self.tenants[request.tenant].rate_limit_share.tokens += request.units;
        }
        if request.peer_origin.is_some() {
            self.reply_to_peer(slot);
            self.finish(slot);
        } else if within_quota || self.admits_overage(slot) {
            self.requests[slot].waiting_since = self.now;
            self.enqueue(slot);
            self.dispatch();
        } else {
            let wait = self.time_until_quota(slot);
            self.send_local_reply(slot, wait);
        }
    }

    /// Whether a request beyond its quota is admitted as overage: its value exceeds its cost under
    /// the plan, and the rate limit has room for it. Scales the request's priority to its overage
    /// value.
    fn admits_overage(&mut self, slot: usize) -> bool {
        let request = &mut self.requests[slot];
        let tenant = &mut self.tenants[request.tenant];
        let plan = &self.params.plans[tenant.plan];
        request.priority *= plan.overage_value;
        let is_profitable = plan.overage_value > plan.overage_cost && self.breaker.is_closed();
        let share = self.params.split_rate_limit_share / tenant.instances;
        is_profitable
            && tenant.rate_limit_share.spend(
                plan,
                share,
                request.units,
                RATE_LIMIT_RESERVE,
                self.now,
            )
    }

    /// Estimates the time until the quota has room for the request.
    fn time_until_quota(&self, slot: usize) -> Millis {
        let request = &self.requests[slot];
        let tenant = &self.tenants[request.tenant];
        let plan = &self.params.plans[tenant.plan];
        let until_owner_refill = tenant.exhausted_until - self.now;
        if until_owner_refill > 0.0 {
            until_owner_refill
        } else if tenant.is_counted_by_window {
            (1.0 - tenant.window_position(self.now, plan).fract()) * plan.window
        } else {
            (request.units - tenant.remaining).max(0.0) / plan.rate.max(1e-9)
        }
    }
}
