//! Graceful shutdown: clients are sent elsewhere, after a while no request is taken any more, and those in flight are
//! finished.

use crate::state::ProxyState;
use std::net::{SocketAddrV4, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Between two looks at how far it has come.
const STEP: Duration = Duration::from_millis(20);
/// For the connection by which a proxy that drains wakes its own listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns when the process may end. `grace_period`: it is killed after that.
pub(crate) fn drain(state: &ProxyState, listen_address: SocketAddrV4, grace_period: Duration) {
    let started_at = Instant::now();
    let schedule = state.begin_drain(grace_period);
    let connections = state.sessions.count();
    log::info!(
        "event=draining connections={connections} takes_ms={}",
        schedule.accepts_until
    );
    let mut listener_is_woken = false;
    loop {
        sleep(STEP);
        let elapsed = started_at.elapsed().as_secs_f64() * 1000.0;
        if schedule.closes_idle(elapsed) {
            state.sessions.close_idle();
        }
        if !state.accepts_requests() && !listener_is_woken {
            listener_is_woken = true;
            // The listener closes with the next connection: later connections are refused, and their clients go elsewhere at once.
            let _ = TcpStream::connect_timeout(&listen_address.into(), WAKE_TIMEOUT);
        }
        if schedule.is_finished(elapsed, state.sessions.count(), state.quiet_ms() as f64) {
            return;
        }
    }
}
