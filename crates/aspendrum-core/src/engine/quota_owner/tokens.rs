//! Tokens that instances hold, spend and transfer to each other while the shared counter is silent.
//! Even if messages are lost, all instances together never hold more than the quota allows
//! (docs/shared-state.md).

use super::routing::MAX_OWNERS;
use crate::api::Millis;
use crate::engine::breaker::PROBE_INTERVAL;
use crate::engine::quota::OWNERSHIP_TIMEOUT;
use crate::engine::tenant_count::MIN_EVEN_SHARE;
use crate::engine::DecisionEngine;
use crate::peer_message::{MessageId, PeerMessage, TenantKey};
use crate::state::request::Request;
use crate::state::tenant::SpareGrant;
use aspendrum_token_bucket::{BucketLimits, TokenTransfer, ONE_TOKEN};

/// The counter is treated as silent after two unanswered probes of the open breaker.
const SILENT_AFTER: Millis = 2.5 * PROBE_INTERVAL;
/// The maximum number of token requests sent at once.
const MAX_TOKEN_REQUESTS: f64 = 8.0;
/// The owners' shares of a quota whose even shares are too small for a request.
const OWNER_SHARES: [f64; MAX_OWNERS as usize] = [0.5, 0.3, 0.2];
/// The size of an even share, in parts.
const EVEN_PARTS: f64 = 100.0;

/// Converts units to token amounts, rounded up.
fn round_up(units: f64) -> u64 {
    (units * ONE_TOKEN as f64).ceil() as u64
}

/// Converts units to token amounts, rounded down.
fn round_down(units: f64) -> u64 {
    (units * ONE_TOKEN as f64) as u64
}

impl DecisionEngine {
    /// Returns the tokens held by this instance, in units.
    pub(super) fn available_tokens(&self, index: usize) -> f64 {
        self.tenants[index].token_bucket.tokens() as f64 / ONE_TOKEN as f64
    }

    /// Records the decision on a request. Tokens are spent for every grant of this instance, also
    /// for those based on the counter: it must not hold tokens for units that were already granted.
    pub(in crate::engine) fn record_decision(&mut self, slot: usize, within_quota: bool) {
        let request = &mut self.requests[slot];
        request.within_quota = within_quota;
        if within_quota && request.quota_owner.is_none() && self.params.has_quota_owners {
            let (index, units) = (request.tenant, round_up(request.units));
            let limits = self.bucket_limits(index);
            self.tenants[index]
                .token_bucket
                .spend(&limits, units, self.now as u64);
        }
    }

    /// Refunds the tokens of units that were granted and not used.
    pub(super) fn refund_tokens(&mut self, index: usize, units: f64) {
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .refund(&limits, round_up(units), self.now as u64);
    }

    /// Sets the tokens to this instance's share of the remaining quota that the counter has
    /// reported.
    pub(in crate::engine) fn set_tokens_from_total(&mut self, index: usize) {
        let limits = self.bucket_limits(index);
        let tenant = &mut self.tenants[index];
        tenant.token_bucket.set_remaining(
            &limits,
            round_down(tenant.remaining.max(0.0)),
            self.now as u64,
        );
    }

    /// Returns the limits of the tenant's token bucket. All instances hold even shares, unless
    /// these are too small for a request: collecting hundreds of them would delay the first grant.
    /// The owners then hold the whole quota, and each instance that reaches one of them is served.
    fn bucket_limits(&self, index: usize) -> BucketLimits {
        let tenant = &self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        let limiters = tenant.instances as u64;
        let total_shares = EVEN_PARTS as u64 * limiters;
        let is_owner_held =
            plan.burst < MIN_EVEN_SHARE * tenant.instances && self.params.has_quota_owners;
        let (even_shares, own_shares) = if is_owner_held {
            let owner_rank = self
                .quota_owners(index)
                .position(|owner| owner == self.params.instance);
            (
                0,
                owner_rank.map_or(0, |rank| (OWNER_SHARES[rank] * total_shares as f64) as u64),
            )
        } else {
            (EVEN_PARTS as u64, EVEN_PARTS as u64)
        };
        BucketLimits {
            rate: round_down(plan.rate),
            burst: round_down(plan.burst),
            limiters,
            own_shares,
            even_shares,
            total_shares,
            largest_request: round_down(self.params.max_units),
        }
    }

    /// Whether the counter appears to be unreachable. An overloaded counter that rejects and fails
    /// calls is not silent, since it still decides on quotas: treating it as silent made instances
    /// reject requests that had room. Always true without a counter.
    pub(super) fn is_counter_silent(&self) -> bool {
        let is_silent = self
            .last_counter_reply_at
            .is_none_or(|at| self.now - at > SILENT_AFTER);
        let has_failed = !self.breaker.is_closed() || self.breaker.has_failures();
        !self.params.has_counter || is_silent && has_failed
    }

    /// Whether the quota has room without a counter call: by the local count or, while the counter
    /// is silent, by the tokens held. The local count does not apply then: each side of a partition
    /// would grant the whole quota, and each restart would grant a burst until the breaker opens.
    pub(in crate::engine) fn has_room_without_counter(&mut self, slot: usize) -> bool {
        let Request {
            tenant: index,
            units,
            peer_origin,
            ..
        } = self.requests[slot];
        if !self.params.has_quota_owners || !self.is_counter_silent() {
            let tenant = &mut self.tenants[index];
            return tenant.refill_and_check_room(&self.params.plans[tenant.plan], units, self.now);
        }
        let (limits, now) = (self.bucket_limits(index), self.now as u64);
        let tenant = &mut self.tenants[index];
        let offset = f64::from(self.params.instance) - tenant.first_instance;
        let position = offset.rem_euclid(self.params.instances) as u64;
        let has_tokens = tenant
            .token_bucket
            .can_spend(&limits, position, round_up(units), now);
        if !has_tokens {
            self.request_tokens(index, &limits);
        }
        has_tokens || peer_origin.is_none() && self.use_spare_grant(index, units)
    }

    /// Uses the spare grant to admit a request without tokens, if one is available. Where the even
    /// share of a quota is less than a request, an instance that reaches no owner would otherwise
    /// reject everything. Each instance that has received a counter reply since its start may admit
    /// one request of a tenant per silence of the counter, and no more often than its even share
    /// refills one.
    fn use_spare_grant(&mut self, index: usize, units: f64) -> bool {
        let has_spare = self.has_spare_grant(index, units);
        if has_spare {
            self.tenants[index].spare_grant = SpareGrant {
                last_counter_reply_at: self.last_counter_reply_at,
                at: self.now,
            };
        }
        has_spare
    }

    /// Whether the spare grant is available. Requests admitted by the local count before the
    /// silence was detected use it up.
    pub(super) fn has_spare_grant(&mut self, index: usize, units: f64) -> bool {
        let limits = self.bucket_limits(index);
        let refill =
            limits.largest_request as f64 * limits.limiters as f64 / limits.rate.max(1) as f64;
        let tenant = &mut self.tenants[index];
        let last = tenant.spare_grant;
        let is_refilled = last.last_counter_reply_at.is_none() || self.now - last.at >= refill;
        let is_unused = last.last_counter_reply_at != self.last_counter_reply_at && is_refilled;
        let is_allowed =
            is_held_by_owners(&limits) && self.last_counter_reply_at.is_some() && is_unused;
        is_allowed && tenant.refill_and_check_room(&self.params.plans[tenant.plan], units, self.now)
    }

    /// Sends token requests from an owner without tokens to instances of the set that have not sent
    /// any recently, in turn. Each of them gets at most two requests in the time that refills the
    /// burst. Tokens thereby move from idle instances to those with traffic.
    fn request_tokens(&mut self, index: usize, limits: &BucketLimits) {
        let tenant = &self.tenants[index];
        if self.now - tenant.owned_at > OWNERSHIP_TIMEOUT {
            return;
        }
        let holders = token_holders(limits);
        let interval =
            (limits.fill_time() as f64 / holders as f64).max(self.params.token_request_interval);
        let since_last = self.now - tenant.token_request.sent_at;
        let due = (since_last / interval).min(MAX_TOKEN_REQUESTS) as usize;
        if due == 0 {
            return;
        }
        let targets = self.next_token_holders(index, limits, due);
        if let Some((last, _)) = targets.last() {
            let cursor = &mut self.tenants[index].token_request;
            cursor.next = (last + 1) % holders;
            cursor.sent_at = self.now;
        }
        let key = self.tenant_key(index);
        for (_, peer) in targets {
            self.send_to_peer(peer, PeerMessage::TokenRequest { key });
        }
    }

    /// Returns up to `count` instances to request tokens from, each with its position in the
    /// round-robin order. Skips this instance and those from which tokens were received recently.
    fn next_token_holders(
        &self,
        index: usize,
        limits: &BucketLimits,
        count: usize,
    ) -> Vec<(u64, u16)> {
        let tenant = &self.tenants[index];
        let holders = token_holders(limits);
        let mut owners = [0; MAX_OWNERS as usize];
        owners
            .iter_mut()
            .zip(self.quota_owners(index))
            .for_each(|(place, owner)| *place = owner);
        let holder = |number: u64| {
            let number = (number % holders) as usize;
            if is_held_by_owners(limits) {
                owners[number]
            } else {
                ((tenant.first_instance + number as f64) % self.params.instances) as u16
            }
        };
        let now = self.now as u64;
        let may_hold = |peer: u16| {
            peer != self.params.instance
                && !tenant
                    .token_bucket
                    .has_recent_transfer_from(limits, peer, now)
        };
        let first = tenant.token_request.next;
        (first..first + holders)
            .map(|number| (number, holder(number)))
            .filter(|(_, peer)| may_hold(*peer))
            .take(count)
            .collect()
    }

    /// Handles an owner's request for the tokens of this instance.
    pub(super) fn handle_token_request(&mut self, peer: u16, key: &TenantKey) {
        let Some(index) = self.find_or_add_peer_tenant(key) else {
            return;
        };
        let tenant = &self.tenants[index];
        let is_idle = self.now - tenant.last_request_at > self.params.plans[tenant.plan].window;
        // Without a recent reply from the owner, datagrams between the two may be lost. An instance
        // with requests of its own keeps its tokens then.
        if !is_idle && !self.peers[usize::from(peer)].is_responsive {
            return;
        }
        let steps = self.withdraw_all_tokens(index);
        if steps > 0 {
            let id = self.next_message_id();
            self.send_to_peer(
                peer,
                PeerMessage::TokenTransfer {
                    id,
                    key: *key,
                    steps,
                },
            );
        }
    }

    /// Withdraws all tokens for a transfer. Returns their number in steps of the burst.
    pub(super) fn withdraw_all_tokens(&mut self, index: usize) -> u16 {
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .withdraw_all(&limits, self.now as u64)
    }

    /// Adds the tokens that a peer transferred with that message.
    pub(super) fn receive_tokens(&mut self, index: usize, peer: u16, id: MessageId, steps: u16) {
        let transfer = TokenTransfer {
            steps,
            sent_at: self.sent_time(id),
        };
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .receive(&limits, peer, transfer, self.now as u64);
    }

    /// Returns the time at which a peer sent the message. The instances' clocks are assumed to be
    /// synchronized.
    fn sent_time(&self, id: MessageId) -> u64 {
        let now = self.now as u64;
        let offset = id.0.wrapping_sub(now as u32) as i32;
        now.wrapping_add_signed(i64::from(offset))
    }
}

/// Whether the quota is too small to be split evenly, so that only its owners hold tokens.
fn is_held_by_owners(limits: &BucketLimits) -> bool {
    limits.even_shares == 0
}

/// Returns the number of instances of the tenant's set that may hold tokens.
fn token_holders(limits: &BucketLimits) -> u64 {
    if is_held_by_owners(limits) {
        u64::from(MAX_OWNERS)
    } else {
        limits.limiters
    }
}
