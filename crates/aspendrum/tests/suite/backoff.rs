//! Tests of the backoff delays between attempts.

use aspendrum::backoff::Backoff;
use std::time::Duration;

const INITIAL: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_secs(2);

/// With equal delays, all limiters of a fleet retried at the same time. With unbounded delays, a limiter was without a
/// server list for longer than the platform allows.
#[test]
fn delays_grow_with_failures_differ_and_stay_bounded() {
    let delay_after = |seed, failures| {
        let mut backoff = Backoff::new(INITIAL, MAX, seed);
        (0..failures)
            .map(|_| backoff.next_delay().as_secs_f64())
            .last()
            .unwrap_or(0.0)
    };
    for (failures, longest) in [(1, 0.1), (2, 0.2), (4, 0.8), (8, 2.0), (100, 2.0)] {
        let delays: Vec<f64> = (0..1000).map(|seed| delay_after(seed, failures)).collect();
        let mean = delays.iter().sum::<f64>() / 1000.0;
        assert!(
            delays.iter().all(|delay| *delay <= longest),
            "after {failures}"
        );
        assert!(
            (mean / longest - 0.5).abs() < 0.05,
            "{mean} after {failures}"
        );
    }
}

#[test]
fn a_success_returns_to_the_initial_interval() {
    let mut backoff = Backoff::new(INITIAL, MAX, 5);
    let longest = (0..20).map(|_| backoff.next_delay()).max();
    assert!(longest > Some(Duration::from_millis(500)));
    backoff.reset();
    assert!(backoff.next_delay() <= INITIAL);
}
