//! Graceful shutdown: connections are accepted for as long as they may come, everything accepted is answered, each response
//! closes its connection, and then idle connections are closed.

use crate::sessions::Capacity;
use crate::state::LimiterState;
use std::thread::sleep;

/// Returns once nothing is left to answer. Never gives up on a request: whoever started the limiter may.
pub(crate) fn drain(state: &LimiterState) {
    let limits = &state.limits;
    let lifecycle = &state.lifecycle;
    let started_ms = lifecycle.uptime_ms();
    lifecycle.start_draining();
    let keep_open_ms = limits.drain.keep_open.as_millis() as u64;
    let min_quiet_ms = limits.clients.min_idle.as_millis() as u64;
    loop {
        let now_ms = lifecycle.uptime_ms();
        let is_quiet = now_ms.saturating_sub(lifecycle.last_accepted_ms()) >= min_quiet_ms;
        if now_ms - started_ms >= keep_open_ms {
            // Between requests a close is allowed; a client whose request crosses it sends that again.
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
