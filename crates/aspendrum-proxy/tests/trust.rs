//! Connections that a server may have forgotten: what goes over them, and for how long that is remembered.

use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::pool::{Pool, PoolLimits};
use aspendrum_proxy::trust::Trust;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn what_was_forgotten_tells_how_long_a_rest_is_too_long() {
    let mut trust = Trust::default();
    assert_eq!(trust.most(0.0), None, "any rest, until one was too long");
    trust.broke(1000.0, 400.0);
    assert_eq!(trust.most(1001.0), Some(200.0));
    // A longer rest that broke says nothing new; a shorter one does.
    trust.broke(2000.0, 5000.0);
    assert_eq!(trust.most(2001.0), Some(200.0));
    trust.broke(3000.0, 120.0);
    assert_eq!(trust.most(3001.0), Some(60.0));
    assert_eq!(trust.most(18_001.0), None, "the trouble may be over");
}

/// Danger: a transfer goes over a connection that its server has forgotten, is reset, and may or may not have run.
#[test]
fn a_connection_that_rested_too_long_is_left_for_others() {
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
        "a rest of any length is too long"
    );
    let kept = take(Duration::MAX);
    assert!(
        own(&kept) == port && !kept.idle_time().is_zero(),
        "it is there for whoever may repeat"
    );
}
