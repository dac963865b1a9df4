//! Tokens that instances hold, spend and give to each other while the shared counter says nothing.
//! However messages are lost, all instances together never hold more than the quota has brought
//! (docs/shared-state.md).

use super::routing::OWNERS;
use crate::api::Millis;
use crate::engine::breaker::PROBE_INTERVAL;
use crate::engine::quota::OWNERSHIP_TIME;
use crate::engine::tenant_count::LEAST_EVEN_SHARE;
use crate::engine::DecisionEngine;
use crate::peer_message::{MessageId, PeerMessage, TenantKey};
use crate::state::request::Request;
use crate::state::tenant::SpareGrant;
use aspendrum_token_bucket::{BucketLimits, TokenTransfer, ONE_TOKEN};

/// While the breaker is open a probe a second asks the counter: two without an answer, and it is
/// silent.
const SILENT_AFTER: Millis = 2.5 * PROBE_INTERVAL;
/// Token requests sent at once at most.
const MAX_TOKEN_REQUESTS: f64 = 8.0;
/// The owners' shares of a quota whose even shares are less than a request.
const OWNER_SHARES: [f64; OWNERS as usize] = [0.5, 0.3, 0.2];
/// An even share, in the unit of shares.
const EVEN_PARTS: f64 = 100.0;

/// Units in the amounts that tokens are counted in, rounded up.
fn round_up(units: f64) -> u64 {
    (units * ONE_TOKEN as f64).ceil() as u64
}

/// Units in the amounts that tokens are counted in, rounded down.
fn round_down(units: f64) -> u64 {
    (units * ONE_TOKEN as f64) as u64
}

impl DecisionEngine {
    /// The units that the tokens held here come to.
    pub(super) fn tokens_in_hand(&self, index: usize) -> f64 {
        self.tenants[index].token_bucket.tokens() as f64 / ONE_TOKEN as f64
    }

    /// Notes the decision on a request. What was granted here, by whatever count, is spent: an
    /// instance never holds tokens for what the counter gave away.
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

    /// Units that were granted and not used can be granted again.
    pub(super) fn put_back_tokens(&mut self, index: usize, units: f64) {
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .refund(&limits, round_up(units), self.now as u64);
    }

    /// The counter has reported what is left of the quota: this instance holds its share of that.
    pub(in crate::engine) fn set_tokens_from_total(&mut self, index: usize) {
        let limits = self.bucket_limits(index);
        let tenant = &mut self.tenants[index];
        tenant.token_bucket.set_remaining(
            &limits,
            round_down(tenant.remaining.max(0.0)),
            self.now as u64,
        );
    }

    /// The quota in even shares. Where these are less than a request, hundreds would have to be fetched before the first
    /// is granted: the owners share all of it then, and each instance that reaches one of them is served.
    fn bucket_limits(&self, index: usize) -> BucketLimits {
        let tenant = &self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        let limiters = tenant.instances as u64;
        let total_shares = EVEN_PARTS as u64 * limiters;
        let is_thin =
            plan.burst < LEAST_EVEN_SHARE * tenant.instances && self.params.has_quota_owners;
        let (even_shares, own_shares) = if is_thin {
            let number = self
                .quota_owners(index)
                .position(|owner| owner == self.params.instance);
            (
                0,
                number.map_or(0, |number| {
                    (OWNER_SHARES[number] * total_shares as f64) as u64
                }),
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

    /// As far as this instance can tell, the counter says nothing. One that is too small rejects
    /// and fails calls all day, and still decides: taken for silent, it made instances refuse what
    /// had room.
    pub(super) fn is_counter_silent(&self) -> bool {
        let is_silent = self
            .counter_heard_at
            .is_none_or(|at| self.now - at > SILENT_AFTER);
        let has_failed = !self.breaker.is_closed() || self.breaker.has_failures();
        !self.params.has_counter || is_silent && has_failed
    }

    /// Whether there is room without asking the counter: by the local count, or, if the counter says nothing at all, by
    /// the tokens held. What was counted with its totals before permits nothing then: each side of a partition would go
    /// by the whole quota, and each start would hand out a burst until the breaker opens.
    pub(in crate::engine) fn has_room_without_counter(&mut self, slot: usize) -> bool {
        let Request {
            tenant: index,
            units,
            peer_origin,
            ..
        } = self.requests[slot];
        if !self.params.has_quota_owners || !self.is_counter_silent() {
            let tenant = &mut self.tenants[index];
            return tenant.has_local_room(&self.params.plans[tenant.plan], units, self.now);
        }
        let (limits, now) = (self.bucket_limits(index), self.now as u64);
        let tenant = &mut self.tenants[index];
        let number = f64::from(self.params.instance) - tenant.first_instance;
        let place = number.rem_euclid(self.params.instances) as u64;
        let has_tokens = tenant
            .token_bucket
            .can_spend(&limits, place, round_up(units), now);
        if !has_tokens {
            self.request_tokens(index, &limits);
        }
        has_tokens || peer_origin.is_none() && self.use_spare_grant(index, units)
    }

    /// Admits a request though no tokens are left and no peer can be asked: a thin quota's even share is less than
    /// a request, and an instance that reaches no peer would reject everything. An instance that has had an answer of the counter since its start
    /// lets one request of a tenant through in each silence of the counter, and no more often than the even share brings
    /// one.
    fn use_spare_grant(&mut self, index: usize, units: f64) -> bool {
        let has_spare = self.has_spare_grant(index, units);
        if has_spare {
            self.tenants[index].spare_grant = SpareGrant {
                counter_heard_at: self.counter_heard_at,
                at: self.now,
            };
        }
        has_spare
    }

    /// What the local count let through before the silence was noticed counts as that request.
    pub(super) fn has_spare_grant(&mut self, index: usize, units: f64) -> bool {
        let limits = self.bucket_limits(index);
        let refill =
            limits.largest_request as f64 * limits.limiters as f64 / limits.rate.max(1) as f64;
        let tenant = &mut self.tenants[index];
        let last = tenant.spare_grant;
        let is_refilled = last.counter_heard_at.is_none() || self.now - last.at >= refill;
        let is_unused = last.counter_heard_at != self.counter_heard_at && is_refilled;
        let is_allowed = is_held_by_owners(&limits) && self.counter_heard_at.is_some() && is_unused;
        is_allowed && tenant.has_local_room(&self.params.plans[tenant.plan], units, self.now)
    }

    /// Out of tokens, an owner asks instances of the set that have not given any lately for what
    /// they hold, in turn and each at most twice in the time that fills the burst: what idle
    /// instances hold goes to where the traffic is.
    fn request_tokens(&mut self, index: usize, limits: &BucketLimits) {
        let tenant = &self.tenants[index];
        if self.now - tenant.owned_at > OWNERSHIP_TIME {
            return;
        }
        let holders = token_holders(limits);
        let interval =
            (limits.fill_time() as f64 / holders as f64).max(self.params.token_request_interval);
        let since_last = self.now - tenant.token_request.asked_at;
        let due = (since_last / interval).min(MAX_TOKEN_REQUESTS) as usize;
        if due == 0 {
            return;
        }
        let asked = self.next_token_holders(index, limits, due);
        if let Some((last, _)) = asked.last() {
            let cursor = &mut self.tenants[index].token_request;
            cursor.next = (last + 1) % holders;
            cursor.asked_at = self.now;
        }
        let key = self.tenant_key(index);
        for (_, peer) in asked {
            self.send_to_peer(peer, PeerMessage::TokenRequest { key });
        }
    }

    /// The next instances to ask for tokens, `count` at most, each with its number in the turn: those other than this one
    /// from which no tokens have come lately.
    fn next_token_holders(
        &self,
        index: usize,
        limits: &BucketLimits,
        count: usize,
    ) -> Vec<(u64, u16)> {
        let tenant = &self.tenants[index];
        let holders = token_holders(limits);
        let mut owners = [0; OWNERS as usize];
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
                && !tenant.token_bucket.received_recently(limits, peer, now)
        };
        let first = tenant.token_request.next;
        (first..first + holders)
            .map(|number| (number, holder(number)))
            .filter(|(_, peer)| may_hold(*peer))
            .take(count)
            .collect()
    }

    /// An owner asks for the tokens held here.
    pub(super) fn accept_token_request(&mut self, peer: u16, key: &TenantKey) {
        let Some(index) = self.find_or_add_named_tenant(key) else {
            return;
        };
        let tenant = &self.tenants[index];
        let is_idle = self.now - tenant.last_request_at > self.params.plans[tenant.plan].window;
        // An instance that has requests of its own and gets no answer may be one whose datagrams
        // are lost.
        if !is_idle && !self.peers[usize::from(peer)].is_answering {
            return;
        }
        let steps = self.give_all_tokens(index);
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

    /// Takes all tokens out, to be given away; how many steps of the burst they are.
    pub(super) fn give_all_tokens(&mut self, index: usize) -> u16 {
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .withdraw_all(&limits, self.now as u64)
    }

    /// Takes in tokens that a peer gave away along with that message.
    pub(super) fn take_tokens(&mut self, index: usize, peer: u16, id: MessageId, steps: u16) {
        let transfer = TokenTransfer {
            steps,
            sent_at: self.time_of(id),
        };
        let limits = self.bucket_limits(index);
        self.tenants[index]
            .token_bucket
            .receive(&limits, peer, transfer, self.now as u64);
    }

    /// When a peer sent that message, by the clock that all read.
    fn time_of(&self, id: MessageId) -> u64 {
        let now = self.now as u64;
        let since = id.0.wrapping_sub(now as u32) as i32;
        now.wrapping_add_signed(i64::from(since))
    }
}

/// Whether the quota is too small to be divided, so that its owners alone hold tokens.
fn is_held_by_owners(limits: &BucketLimits) -> bool {
    limits.even_shares == 0
}

/// How many instances of the tenant's set may hold tokens.
fn token_holders(limits: &BucketLimits) -> u64 {
    if is_held_by_owners(limits) {
        u64::from(OWNERS)
    } else {
        limits.limiters
    }
}
