//! A model check of token buckets: three limiters, two tenants, transfers that are lost, duplicated and reordered, a
//! crash and restart without state, and a stall that outlasts every transfer.
//!
//! In each reachable state, the granted and the spendable tokens together are at most the accrued tokens. The same
//! check detects each of the broken variants.

use aspendrum_token_bucket::{
    BucketLimits, ClockMillis, NanoTokens, TokenBucket, TokenTransfer, MAX_CLOCK_SKEW,
    TRANSFER_LIFETIME,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LIMITERS: usize = 3;
const TENANTS: usize = 2;
/// The limiter that owns each tenant's quota.
const OWNER: [usize; TENANTS] = [0, 1];
const START: ClockMillis = 10 * TRANSFER_LIFETIME;
const TICK: ClockMillis = 300;
const TICKS: u64 = 5;
const MAX_DEPTH: usize = 9;
const MAX_IN_FLIGHT: usize = 2;
const WITHIN_QUOTA: &str = "within the quota";
/// In nano-tokens per millisecond; two thirds are the owner's. Small integers, so that different paths reach equal
/// states.
const RATE: NanoTokens = 12;

fn limits(limiter: usize, tenant: usize) -> BucketLimits {
    BucketLimits {
        rate: RATE,
        burst: RATE * 2 * TICK,
        limiters: LIMITERS as u64,
        own_shares: if OWNER[tenant] == limiter { 4 } else { 1 },
        even_shares: 1,
        total_shares: 6,
        largest_request: TICK,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Limiter {
    /// One for each tenant.
    buckets: Vec<TokenBucket>,
    is_stalled: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Datagram {
    tenant: usize,
    sender: usize,
    transfer: TokenTransfer,
    /// The number of copies that may still arrive.
    copies: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: ClockMillis,
    limiters: Vec<Limiter>,
    in_flight: Vec<Datagram>,
    granted: [NanoTokens; TENANTS],
    transfers_sent: [ClockMillis; LIMITERS],
    crashes: u8,
    stalls: u8,
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    /// A limiter transfers all its tokens of a tenant to the owner.
    Transfer {
        limiter: usize,
        tenant: usize,
    },
    /// One copy of a datagram arrives, in any order.
    Receive(usize),
    Duplicate(usize),
    Lose(usize),
    /// A limiter spends as much from its own bucket as it may.
    Spend {
        limiter: usize,
        tenant: usize,
    },
    /// A limiter crashes and restarts without state.
    Restart(usize),
    Stall(usize),
    Resume(usize),
}

#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// Accepts every copy of a transfer.
    AcceptsTwice,
    /// Keeps the tokens that it transfers.
    KeepsTransferred,
    /// Starts with its share of the burst.
    StartsFull,
    /// Accepts transfers sent before its own start.
    AcceptsFromBeforeStart,
}

struct LimiterSet(Variant);

impl State {
    /// Returns a copy of a bucket, filled up to the current time.
    fn filled_bucket(&self, limiter: usize, tenant: usize) -> TokenBucket {
        let mut bucket = self.limiters[limiter].buckets[tenant].clone();
        bucket.spend(&limits(limiter, tenant), 0, self.now);
        bucket
    }

    /// Returns the tokens of a tenant held by all limiters together.
    fn held(&self, tenant: usize) -> NanoTokens {
        (0..LIMITERS)
            .map(|limiter| self.filled_bucket(limiter, tenant).tokens())
            .sum()
    }

    /// Returns the tokens of a tenant in transfers that would still be accepted.
    fn acceptable_in_flight(&self, tenant: usize) -> NanoTokens {
        let owner = OWNER[tenant];
        let is_acceptable = |datagram: &&Datagram| {
            let mut bucket = self.limiters[owner].buckets[tenant].clone();
            bucket.receive(
                &limits(owner, tenant),
                datagram.sender as u16,
                datagram.transfer,
                self.now,
            )
        };
        let datagrams = self
            .in_flight
            .iter()
            .filter(|datagram| datagram.tenant == tenant);
        datagrams
            .filter(is_acceptable)
            .map(|datagram| NanoTokens::from(datagram.transfer.steps))
            .sum()
    }
}

impl LimiterSet {
    fn start(&self, limiter: usize, now: ClockMillis) -> Limiter {
        let started_at = if self.0 == Variant::AcceptsFromBeforeStart {
            0
        } else {
            now
        };
        let mut buckets = vec![TokenBucket::new(now, started_at); TENANTS];
        if self.0 == Variant::StartsFull {
            for (tenant, bucket) in buckets.iter_mut().enumerate() {
                bucket.refund(&limits(limiter, tenant), RATE * TICK / 3, now);
            }
        }
        Limiter {
            buckets,
            is_stalled: false,
        }
    }

    fn transfer(&self, state: &mut State, limiter: usize, tenant: usize) -> Option<()> {
        let limits = limits(limiter, tenant);
        let bucket = &mut state.limiters[limiter].buckets[tenant];
        let steps = bucket.withdraw_all(&limits, state.now);
        state.transfers_sent[limiter] += 1;
        // Like real limiters, ensure that no two transfers of one limiter have the same send time.
        let transfer = TokenTransfer {
            steps,
            sent_at: state.now + state.transfers_sent[limiter],
        };
        if self.0 == Variant::KeepsTransferred {
            bucket.refund(&limits, steps.into(), state.now);
        }
        if steps == 0 {
            return None;
        }
        state.in_flight.push(Datagram {
            tenant,
            sender: limiter,
            transfer,
            copies: 1,
        });
        Some(())
    }

    fn receive(&self, state: &mut State, index: usize) {
        let datagram = state.in_flight[index].clone();
        let owner = OWNER[datagram.tenant];
        let limits = limits(owner, datagram.tenant);
        let bucket = &mut state.limiters[owner].buckets[datagram.tenant];
        if self.0 == Variant::AcceptsTwice {
            bucket.refund(&limits, datagram.transfer.steps.into(), state.now);
        } else {
            bucket.receive(
                &limits,
                datagram.sender as u16,
                datagram.transfer,
                state.now,
            );
        }
        state.in_flight[index].copies -= 1;
        if state.in_flight[index].copies == 0 {
            state.in_flight.remove(index);
        }
    }
}

fn spend_all(state: &mut State, limiter: usize, tenant: usize) -> Option<()> {
    let limits = limits(limiter, tenant);
    let bucket = &mut state.limiters[limiter].buckets[tenant];
    bucket.spend(&limits, 0, state.now);
    let mut amount = bucket.tokens();
    while amount > 0 && !bucket.can_spend(&limits, limiter as u64, amount, state.now) {
        amount -= amount.min(TICK);
    }
    if amount == 0 {
        return None;
    }
    bucket.spend(&limits, amount, state.now);
    state.granted[tenant] += amount;
    Some(())
}

fn limiter_actions(state: &State, index: usize, limiter: &Limiter, actions: &mut Vec<Action>) {
    if limiter.is_stalled {
        actions.push(Action::Resume(index));
        return;
    }
    for (tenant, owner) in OWNER.iter().enumerate() {
        actions.push(Action::Spend {
            limiter: index,
            tenant,
        });
        if index != *owner && state.in_flight.len() < MAX_IN_FLIGHT {
            actions.push(Action::Transfer {
                limiter: index,
                tenant,
            });
        }
    }
    if state.crashes < 1 {
        actions.push(Action::Restart(index));
    }
    if state.stalls < 1 {
        actions.push(Action::Stall(index));
    }
}

impl Model for LimiterSet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: START,
            limiters: (0..LIMITERS)
                .map(|limiter| self.start(limiter, START))
                .collect(),
            in_flight: Vec::new(),
            granted: [0; TENANTS],
            transfers_sent: [0; LIMITERS],
            crashes: 0,
            stalls: 0,
            duplicates: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < START + TICK * TICKS {
            actions.push(Action::Tick);
        }
        for (index, limiter) in state.limiters.iter().enumerate() {
            limiter_actions(state, index, limiter, actions);
        }
        for (index, datagram) in state.in_flight.iter().enumerate() {
            if !state.limiters[OWNER[datagram.tenant]].is_stalled {
                actions.push(Action::Receive(index));
            }
            actions.push(Action::Lose(index));
            if state.duplicates < 1 {
                actions.push(Action::Duplicate(index));
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Tick => state.now += TICK,
            Action::Transfer { limiter, tenant } => self.transfer(&mut state, limiter, tenant)?,
            Action::Receive(index) => self.receive(&mut state, index),
            Action::Duplicate(index) => {
                state.in_flight[index].copies += 1;
                state.duplicates += 1;
            }
            Action::Lose(index) => drop(state.in_flight.remove(index)),
            Action::Spend { limiter, tenant } => spend_all(&mut state, limiter, tenant)?,
            Action::Restart(limiter) => {
                state.limiters[limiter] = self.start(limiter, state.now);
                state.crashes += 1;
            }
            Action::Stall(limiter) => {
                state.limiters[limiter].is_stalled = true;
                state.stalls += 1;
            }
            Action::Resume(limiter) => state.limiters[limiter].is_stalled = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_QUOTA, |_, state: &State| {
                (0..TENANTS).all(|tenant| {
                    let spendable = state.held(tenant) + state.acceptable_in_flight(tenant);
                    state.granted[tenant] + spendable <= RATE * (state.now - START)
                })
            }),
            Property::always("within what the buckets may hold", |_, state: &State| {
                (0..TENANTS).all(|tenant| state.held(tenant) <= limits(0, 0).max_total_tokens(1))
            }),
            // Ensure that the search reaches the relevant states.
            Property::sometimes(
                "the owner spends what others transferred",
                |_, state: &State| {
                    state.granted[0] > RATE * 2 / 3 * (state.now - START) && state.granted[0] > 0
                },
            ),
            Property::sometimes("a transfer outlives its lifetime", |_, state: &State| {
                let expires_at = |datagram: &Datagram| {
                    datagram.transfer.sent_at + TRANSFER_LIFETIME + MAX_CLOCK_SKEW
                };
                state
                    .in_flight
                    .iter()
                    .any(|datagram| expires_at(datagram) < state.now)
            }),
        ]
    }
}

fn check(variant: Variant) -> impl Checker<LimiterSet> {
    let checker = LimiterSet(variant)
        .checker()
        .threads(4)
        .target_max_depth(MAX_DEPTH);
    let finish = if variant == Variant::Sound {
        HasDiscoveries::All
    } else {
        HasDiscoveries::AnyFailures
    };
    checker.finish_when(finish).spawn_bfs().join()
}

#[test]
fn no_order_of_events_grants_more_than_the_accrued_tokens() {
    let checker = check(Variant::Sound);
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
}

#[test]
fn each_broken_variant_is_detected() {
    for (name, variant) in [
        ("accepts twice", Variant::AcceptsTwice),
        ("keeps what it transfers", Variant::KeepsTransferred),
        ("starts full", Variant::StartsFull),
        (
            "accepts transfers from before its start",
            Variant::AcceptsFromBeforeStart,
        ),
    ] {
        let found = check(variant).discovery(WITHIN_QUOTA);
        assert!(found.is_some(), "a bucket that {name} passed");
    }
}
