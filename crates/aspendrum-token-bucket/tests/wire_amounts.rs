//! Pinned amounts of transfers between limiters. Only the number of steps is sent (in a datagram defined by
//! `aspendrum_core`), so limiters of different versions must agree on the number of nano-tokens per step.

use aspendrum_token_bucket::{BucketLimits, TokenBucket, TokenTransfer, ONE_TOKEN};

fn limits() -> BucketLimits {
    BucketLimits {
        rate: ONE_TOKEN / 500,
        burst: 6 * ONE_TOKEN,
        limiters: 3,
        own_shares: 1,
        even_shares: 1,
        total_shares: 3,
        largest_request: ONE_TOKEN,
    }
}

#[test]
fn a_token_is_a_billion_nano_tokens() {
    assert_eq!(ONE_TOKEN, 1_000_000_000);
    assert_eq!(limits().fill_time(), 3_000);
    assert_eq!(limits().max_total_tokens(2), 21 * ONE_TOKEN);
}

#[test]
fn withdrawn_steps_match_the_pinned_values() {
    let sent = |waited: u64| {
        let mut bucket = TokenBucket::new(10_000, 10_000);
        let steps = bucket.withdraw_all(&limits(), 10_000 + waited);
        (steps, bucket.tokens())
    };
    let expected = [
        (0, 0),
        (7, 25_788),
        (728, 15_354),
        (21_845, 2_870),
        (21_845, 2_870),
    ];
    assert_eq!([0, 1, 100, 3_000, 60_000].map(sent), expected);
}

#[test]
fn received_steps_add_the_pinned_amounts() {
    let received = |steps: u16| {
        let mut bucket = TokenBucket::new(10_000, 10_000);
        let accepted = bucket.receive(
            &limits(),
            2,
            TokenTransfer {
                steps,
                sent_at: 10_100,
            },
            10_101,
        );
        (accepted, bucket.tokens())
    };
    let expected = [
        (true, 67_333_333),
        (true, 67_424_887),
        (true, 2_067_330_463),
        (true, 4 * ONE_TOKEN),
    ];
    assert_eq!([0, 1, 21_845, u16::MAX].map(received), expected);
}
