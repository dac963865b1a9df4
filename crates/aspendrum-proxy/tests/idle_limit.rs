//! Idle connections that a server may have dropped: which requests use them, and how long a limit applies.

use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::pool::{Pool, PoolLimits};
use aspendrum_proxy::idle_limit::IdleConnectionLimit;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn a_reset_idle_connection_limits_how_long_others_may_be_idle() {
    let mut limit = IdleConnectionLimit::default();
    assert_eq!(limit.max_idle(0.0), None, "no limit before the first reset");
    limit.record_reset(1000.0, 400.0);
    assert_eq!(limit.max_idle(1001.0), Some(200.0));
    // A reset after a longer idle time does not raise the limit; one after a shorter idle time lowers it.
    limit.record_reset(2000.0, 5000.0);
    assert_eq!(limit.max_idle(2001.0), Some(200.0));
    limit.record_reset(3000.0, 120.0);
    assert_eq!(limit.max_idle(3001.0), Some(60.0));
    assert_eq!(
        limit.max_idle(18_001.0),
        None,
        "the server may have recovered"
    );
}

/// Guards against a non-idempotent request on a connection that its server has dropped: the request is reset,
/// and it is unknown whether it ran.
#[test]
fn a_connection_that_was_idle_too_long_is_kept_for_idempotent_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = Duration::from_secs(1);
    let pool = Pool::new(PoolLimits {
        max_connections: 8,
        min_idle: Duration::ZERO,
        connection: ConnectionOptions {
            initial_buffer_bytes: 1 << 10,
            max_buffer_bytes: 1 << 12,
            min_timeout: Duration::from_millis(1),
            read_timeout: second,
            idle_timeout: 60 * second,
            memory: MemoryBudget::unlimited(),
        },
    });
    pool.set_address(1, listener.local_addr().unwrap());
    let acquire = |max_idle| pool.acquire(1, second, max_idle, |_| true).unwrap();
    let local_port =
        |conn: &aspendrum_net::connection::Connection| conn.stream.local_addr().unwrap().port();
    let first = acquire(Duration::MAX);
    let port = local_port(&first);
    assert!(first.idle_time().is_zero() && first.is_receive_buffer_empty());
    pool.release(1, first);
    let fresh = acquire(Duration::ZERO);
    assert!(
        local_port(&fresh) != port && fresh.idle_time().is_zero(),
        "any idle time exceeds the limit"
    );
    let kept = acquire(Duration::MAX);
    assert!(
        local_port(&kept) == port && !kept.idle_time().is_zero(),
        "it is kept for idempotent requests"
    );
}
