//! Random schedules of forty limiters with lost, duplicated, delayed and reordered transfers, crashes, stalls and clock
//! skew. The amount granted in any interval is at most the tokens accrued in it plus what the buckets may hold.

use aspendrum_token_bucket::{
    BucketLimits, ClockMillis, NanoTokens, TokenBucket, TokenTransfer, MAX_CLOCK_SKEW, ONE_TOKEN,
    TRANSFER_LIFETIME,
};
use proptest::prelude::*;

const LIMITERS: usize = 40;
/// The first limiters own the quota.
const OWNERS: usize = 3;
const RATE: NanoTokens = 2 * ONE_TOKEN / 1000;
const BURST: NanoTokens = 6 * ONE_TOKEN;
const START: ClockMillis = 1_000_000;

/// An even share is 40 of 100 shares per limiter. The first limiter gets all remaining shares.
fn limits(limiter: usize) -> BucketLimits {
    let limiters = LIMITERS as u64;
    let even_shares = 40;
    let total_shares = 100 * limiters;
    let first_limiters_shares = total_shares - even_shares * (limiters - 1);
    BucketLimits {
        rate: RATE,
        burst: BURST,
        limiters,
        own_shares: if limiter == 0 {
            first_limiters_shares
        } else {
            even_shares
        },
        even_shares,
        total_shares,
        largest_request: 2 * ONE_TOKEN,
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A limiter gets a request. It transfers all its tokens to `owner`, or spends its own tokens if `is_alone` or if
    /// it is that owner.
    Request {
        limiter: usize,
        owner: usize,
        is_alone: bool,
        delay: ClockMillis,
        copies: u8,
    },
    /// A limiter grants a request from its bucket.
    Spend(usize),
    Restart(usize),
    /// A limiter is suspended for the given time.
    Stall(usize, ClockMillis),
}

/// Generates an event and the time before it.
fn event() -> impl Strategy<Value = (ClockMillis, Event)> {
    let request = (
        0..LIMITERS,
        0..OWNERS,
        any::<bool>(),
        0..3 * TRANSFER_LIFETIME,
        0..3u8,
    )
        .prop_map(|(limiter, owner, is_alone, delay, copies)| Event::Request {
            limiter,
            owner,
            is_alone,
            delay,
            copies,
        });
    let kinds = prop_oneof![
        20 => request,
        10 => (0..LIMITERS).prop_map(Event::Spend),
        1 => (0..LIMITERS).prop_map(Event::Restart),
        1 => (0..LIMITERS, 0..5 * TRANSFER_LIFETIME).prop_map(|(limiter, time)| Event::Stall(limiter, time)),
    ];
    (0..200u64, kinds)
}

struct Limiter {
    bucket: TokenBucket,
    stalled_until: ClockMillis,
    last_sent_at: ClockMillis,
}

impl Limiter {
    fn start(local_time: ClockMillis) -> Limiter {
        let bucket = TokenBucket::new(local_time, local_time);
        Limiter {
            bucket,
            stalled_until: 0,
            last_sent_at: 0,
        }
    }
}

struct Datagram {
    arrives_at: ClockMillis,
    sender: usize,
    receiver: usize,
    transfer: TokenTransfer,
}

struct Grant {
    at: ClockMillis,
    amount: NanoTokens,
}

struct LimiterSet {
    now: ClockMillis,
    /// By how much each limiter's clock is ahead.
    clock_errors: Vec<ClockMillis>,
    limiters: Vec<Limiter>,
    in_flight: Vec<Datagram>,
    grants: Vec<Grant>,
}

impl LimiterSet {
    fn new(clock_errors: Vec<ClockMillis>) -> LimiterSet {
        let limiters = clock_errors
            .iter()
            .map(|error| Limiter::start(START + error))
            .collect();
        LimiterSet {
            now: START,
            clock_errors,
            limiters,
            in_flight: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn advance(&mut self, time: ClockMillis) {
        self.now += time;
        self.in_flight.sort_by_key(|datagram| datagram.arrives_at);
        let due = self
            .in_flight
            .partition_point(|datagram| datagram.arrives_at <= self.now);
        for datagram in self.in_flight.drain(..due) {
            let receiver = datagram.receiver;
            let limiter = &mut self.limiters[receiver];
            // A datagram for a stalled limiter waits in the socket buffer.
            let received_at = self.now.max(limiter.stalled_until) + self.clock_errors[receiver];
            let sender = datagram.sender as u16;
            limiter
                .bucket
                .receive(&limits(receiver), sender, datagram.transfer, received_at);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                limiter,
                owner,
                is_alone,
                delay,
                copies,
            } => {
                if is_alone || limiter == owner {
                    self.spend(limiter);
                } else {
                    self.transfer(limiter, owner, delay, copies);
                }
            }
            Event::Spend(limiter) => self.spend(limiter),
            Event::Restart(limiter) => {
                self.limiters[limiter] = Limiter::start(self.now + self.clock_errors[limiter]);
            }
            Event::Stall(limiter, time) => self.limiters[limiter].stalled_until = self.now + time,
        }
    }

    fn spend(&mut self, index: usize) {
        let local_time = self.now + self.clock_errors[index];
        let limits = limits(index);
        let limiter = &mut self.limiters[index];
        if self.now < limiter.stalled_until {
            return;
        }
        if limiter
            .bucket
            .can_spend(&limits, index as u64, ONE_TOKEN, local_time)
        {
            limiter.bucket.spend(&limits, ONE_TOKEN, local_time);
            self.grants.push(Grant {
                at: self.now,
                amount: ONE_TOKEN,
            });
        }
    }

    fn transfer(&mut self, sender: usize, receiver: usize, delay: ClockMillis, copies: u8) {
        let local_time = self.now + self.clock_errors[sender];
        let limiter = &mut self.limiters[sender];
        if self.now < limiter.stalled_until {
            return;
        }
        let steps = limiter.bucket.withdraw_all(&limits(sender), local_time);
        limiter.last_sent_at = (limiter.last_sent_at + 1).max(local_time);
        let transfer = TokenTransfer {
            steps,
            sent_at: limiter.last_sent_at,
        };
        for copy in 0..copies {
            let arrives_at = self.now + delay + ClockMillis::from(copy);
            self.in_flight.push(Datagram {
                arrives_at,
                sender,
                receiver,
                transfer,
            });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_grants_more_than_the_bound(
        events in proptest::collection::vec(event(), 100..600),
        clock_errors in proptest::collection::vec(0..MAX_CLOCK_SKEW / 2, LIMITERS),
    ) {
        let mut set = LimiterSet::new(clock_errors);
        for (gap, event) in events {
            set.advance(gap);
            set.handle(event);
        }
        // A constant clock error does not add tokens. A clock that jumps adds tokens for at most the clock skew.
        let slack = RATE * MAX_CLOCK_SKEW;
        let total: NanoTokens = set.grants.iter().map(|grant| grant.amount).sum();
        prop_assert!(total <= RATE * (set.now - START) + slack, "{total} in {} ms", set.now - START);
        for (index, first) in set.grants.iter().enumerate() {
            let mut granted = 0;
            for grant in &set.grants[index..] {
                granted += grant.amount;
                let bound = RATE * (grant.at - first.at) + limits(0).max_total_tokens(OWNERS as u64) + slack;
                prop_assert!(granted <= bound);
            }
        }
    }
}
