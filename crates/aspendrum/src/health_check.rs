//! Health checks of servers, each on a worker thread.

use crate::clock::millis_from_duration;
use crate::event::DispatcherEvent;
use crate::http::{parse_load_report, write_get, HEALTH_CHECK_PATH, LOAD_REPORT_PATH};
use crate::state::LimiterState;
use aspendrum_core::api::{Event, LoadReport, Outcome, ServerId};
use aspendrum_net::upload::Upload;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a health check of a server, whose result is reported to the dispatcher. If no thread is available, the check
/// is reported as a failed connection.
pub(crate) fn start_health_check(state: &Arc<LimiterState>, server: ServerId) {
    let job_state = state.clone();
    let job = move || run(&job_state, server);
    if state.workers.run(Box::new(job)).is_err() {
        let event = Event::ProbeEnded {
            server,
            outcome: Outcome::ConnectFailed,
            rtt: 0.0,
            load: LoadReport::default(),
        };
        let _ = state.dispatcher.try_send(DispatcherEvent::Engine(event));
    }
}

fn run(state: &LimiterState, server: ServerId) {
    let started_at = Instant::now();
    let deadline = started_at + state.limits.servers.health_check_timeout;
    let (outcome, load) = match check(state, server, deadline) {
        Ok(result) => result,
        Err(outcome) => (outcome, LoadReport::default()),
    };
    let rtt = millis_from_duration(started_at.elapsed());
    let values = &load.values[..usize::from(load.count)];
    tracing::debug!(
        server = format_args!("{server:x}"),
        ?outcome,
        ?values,
        "health check"
    );
    state
        .dispatcher
        .send(DispatcherEvent::Engine(Event::ProbeEnded {
            server,
            outcome,
            rtt,
            load,
        }));
}

fn check(
    state: &LimiterState,
    server: ServerId,
    deadline: Instant,
) -> Result<(Outcome, LoadReport), Outcome> {
    let load_values = &state.schema.load_values;
    let path = if load_values.is_empty() {
        HEALTH_CHECK_PATH
    } else {
        LOAD_REPORT_PATH
    };
    let timeout = deadline.saturating_duration_since(Instant::now());
    let mut connection = state
        .pool
        .acquire(server, timeout, Duration::MAX, |_| true)?;
    write_get(&mut connection.outgoing, path);
    let mut upload = Upload::without_body();
    connection.send(&mut upload)?;
    let response = state.receive(&mut connection, &mut upload, deadline)?;
    let load = match response.load.count {
        0 => parse_load_report(&response.body, load_values),
        _ => response.load,
    };
    if !response.close {
        state.pool.release(server, connection);
    }
    Ok((response.health_check_outcome(), load))
}
