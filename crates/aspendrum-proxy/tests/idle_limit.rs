//! Idle connections that a server may have dropped: what goes over them, and for how long that is remembered.

use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::pool::{Pool, PoolLimits};
use aspendrum_proxy::idle_limit::IdleConnectionLimit;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn a_reset_idle_connection_limits_how_long_others_may_be_idle() {
    let mut limit = IdleConnectionLimit::default();
    assert_eq!(
        limit.max_idle(0.0),
        None,
        "any idle time, until one was too long"
    );
    limit.record_reset(1000.0, 400.0);
    assert_eq!(limit.max_idle(1001.0), Some(200.0));
    // A reset after a longer idle time tells nothing new; one after a shorter time does.
    limit.record_reset(2000.0, 5000.0);
    assert_eq!(limit.max_idle(2001.0), Some(200.0));
    limit.record_reset(3000.0, 120.0);
    assert_eq!(limit.max_idle(3001.0), Some(60.0));
    assert_eq!(
        limit.max_idle(18_001.0),
        None,
        "the server may be well again"
    );
}

/// Danger: a once-only request goes over a connection that its server has dropped, is reset, and may or may not have run.
#[test]
fn a_connection_that_was_idle_too_long_is_kept_for_repeatable_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = Duration::from_secs(1);
    let pool = Pool::new(PoolLimits {
        max_connections: 8,
        min_idle: Duration::ZERO,
        connection: ConnectionOptions {
            initial_buffer_bytes: 1 << 10,
            max_buffer_bytes: 1 << 12,
            min_timeout: Duration::from_millis(1),
            write_timeout: second,
            read_timeout: second,
            idle_timeout: 60 * second,
        },
    });
    pool.set_address(1, listener.local_addr().unwrap());
    let take = |most| pool.acquire(1, second, most, |_| true).unwrap();
    let own =
        |conn: &aspendrum_net::connection::Connection| conn.stream.local_addr().unwrap().port();
    let first = take(Duration::MAX);
    let port = own(&first);
    assert!(first.idle_time().is_zero() && first.nothing_received());
    pool.release(1, first);
    let fresh = take(Duration::ZERO);
    assert!(
        own(&fresh) != port && fresh.idle_time().is_zero(),
        "any idle time is too long"
    );
    let kept = take(Duration::MAX);
    assert!(
        own(&kept) == port && !kept.idle_time().is_zero(),
        "it is kept for repeatable requests"
    );
}
