//! Graceful shutdown: the proxy is reported as draining, later it stops accepting requests, and those in flight are
//! completed.

use crate::drain::DrainSchedule;
use crate::state::ProxyState;
use aspendrum_core::api::Millis;
use std::net::{SocketAddrV4, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval at which the progress of the shutdown is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout of the connection that wakes the proxy's own listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Drains the proxy, and returns when the process may end. The platform kills the process after `grace_period`.
pub(crate) fn drain(state: &ProxyState, listen_address: SocketAddrV4, grace_period: Duration) {
    let started_at = Instant::now();
    let elapsed_ms = || started_at.elapsed().as_secs_f64() * 1000.0;
    let schedule = state.begin_drain(grace_period);
    let connections = state.sessions.count();
    log::info!(
        "event=draining connections={connections} takes_ms={}",
        schedule.accepts_until
    );
    let may_end = || {
        schedule.is_finished(
            elapsed_ms(),
            state.sessions.count(),
            state.ms_since_last_accept() as f64,
        )
    };
    while state.accepts_requests() && !may_end() {
        sleep(POLL_INTERVAL);
        close_idle(state, &schedule, elapsed_ms());
    }
    state.stop_accepting();
    while elapsed_ms() < schedule.deadline
        && !(state.is_listener_closed() && state.sessions.count() == 0)
    {
        if !state.is_listener_closed() {
            wake_listener(listen_address);
        }
        sleep(POLL_INTERVAL);
        close_idle(state, &schedule, elapsed_ms());
    }
}

/// Wakes the listener, which checks whether to close when it accepts a connection.
fn wake_listener(listen_address: SocketAddrV4) {
    let _ = TcpStream::connect_timeout(&listen_address.into(), WAKE_TIMEOUT);
}

fn close_idle(state: &ProxyState, schedule: &DrainSchedule, elapsed: Millis) {
    if schedule.closes_idle(elapsed) {
        state.sessions.close_idle();
    }
}
