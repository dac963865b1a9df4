//! Graceful shutdown.
//!
//! New connections are still accepted and all their requests get responses, each of which closes its connection. After
//! a grace period idle connections are closed too.

use crate::sessions::Capacity;
use crate::state::LimiterState;
use std::thread::sleep;

/// Returns once no session is open and no connection has arrived recently. There is no timeout; the process supervisor
/// may enforce one.
pub(crate) fn drain(state: &LimiterState) {
    let limits = &state.limits;
    let lifecycle = &state.lifecycle;
    let started_ms = lifecycle.uptime_ms();
    lifecycle.start_draining();
    let idle_grace_ms = limits.drain.idle_grace.as_millis() as u64;
    let min_quiet_ms = limits.clients.min_idle.as_millis() as u64;
    loop {
        let now_ms = lifecycle.uptime_ms();
        let is_quiet = now_ms.saturating_sub(lifecycle.last_accepted_ms()) >= min_quiet_ms;
        if now_ms - started_ms >= idle_grace_ms {
            // HTTP allows closing a connection between requests. A client whose request crosses the close retries it.
            while state
                .sessions
                .close_idle(lifecycle.uptime_ms(), &limits.clients)
                == Capacity::Available
            {}
            if is_quiet && state.sessions.count() == 0 {
                return;
            }
        }
        sleep(limits.drain.check_interval);
    }
}
