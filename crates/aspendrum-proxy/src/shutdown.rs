//! Graceful shutdown: clients are sent elsewhere, after a while no request is taken any more, and those in flight are
//! finished.

use crate::drain::DrainSchedule;
use crate::state::ProxyState;
use aspendrum_core::api::Millis;
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
    let elapsed_ms = || started_at.elapsed().as_secs_f64() * 1000.0;
    let schedule = state.begin_drain(grace_period);
    let connections = state.sessions.count();
    log::info!(
        "event=draining connections={connections} takes_ms={}",
        schedule.accepts_until
    );
    let is_quiet = || {
        schedule.is_finished(
            elapsed_ms(),
            state.sessions.count(),
            state.quiet_ms() as f64,
        )
    };
    while state.accepts_requests() && !is_quiet() {
        sleep(STEP);
        close_idle(state, &schedule, elapsed_ms());
    }
    state.stop_accepting();
    while elapsed_ms() < schedule.ends_at && !(state.is_closed() && state.sessions.count() == 0) {
        if !state.is_closed() {
            wake_listener(listen_address);
        }
        sleep(STEP);
        close_idle(state, &schedule, elapsed_ms());
    }
}

/// The listener looks whether it is to close when a connection comes.
fn wake_listener(listen_address: SocketAddrV4) {
    let _ = TcpStream::connect_timeout(&listen_address.into(), WAKE_TIMEOUT);
}

fn close_idle(state: &ProxyState, schedule: &DrainSchedule, elapsed: Millis) {
    if schedule.closes_idle(elapsed) {
        state.sessions.close_idle();
    }
}
