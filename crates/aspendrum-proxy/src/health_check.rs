//! Health checks of servers, as requested by the decision engine.

use crate::dispatcher::HealthCheckResult;
use crate::state::ProxyState;
use crate::wire;
use aspendrum_core::api::{LoadReport, Outcome, ServerId};
use aspendrum_net::http1::{MessageReader, Response};
use aspendrum_net::upload::Upload;
use std::time::{Duration, Instant};

/// A server's response to a health check.
struct HealthResponse {
    is_healthy: bool,
    load: LoadReport,
    slow_start_left: Option<f64>,
}

/// Checks a server and reports the result, including failures.
pub(crate) fn check(state: &ProxyState, server: ServerId) {
    let started_at = Instant::now();
    let response = exchange(state, server, started_at + state.connect_timeout);
    let rtt = started_at.elapsed().as_secs_f64() * 1000.0;
    let result = match response {
        Ok(HealthResponse {
            is_healthy,
            load,
            slow_start_left,
        }) => {
            let outcome = if is_healthy {
                Outcome::Ok
            } else {
                Outcome::Error
            };
            HealthCheckResult {
                outcome,
                rtt,
                load,
                slow_start_left,
            }
        }
        Err(outcome) => HealthCheckResult {
            outcome,
            rtt,
            load: LoadReport::default(),
            slow_start_left: None,
        },
    };
    state.dispatcher.record_health_check(server, &result);
}

fn exchange(
    state: &ProxyState,
    server: ServerId,
    deadline: Instant,
) -> Result<HealthResponse, Outcome> {
    let target = state
        .dispatcher
        .health_check_target(server)
        .ok_or(Outcome::NotSent)?;
    let address = target.server.address;
    let pool = &state.server_pool;
    pool.set_address(server, address.into());
    let mut connection = pool.acquire(server, state.connect_timeout, Duration::MAX, |_| true)?;
    connection.outgoing.append(&wire::encode_health_check(
        &target.path,
        &address.to_string(),
    ));
    let mut upload = Upload::without_body();
    connection.send(&mut upload)?;
    let reader = MessageReader::<Response>::new(wire::RESPONSE_LIMITS, &state.memory.responses);
    let response = connection.receive(&mut upload, deadline, pool.connection_options(), reader)?;
    // The address may belong to another server by now.
    let is_same_server = wire::server_id(&response) == Some(target.server.uid.as_str());
    let health = HealthResponse {
        is_healthy: response.status == 200 && is_same_server,
        load: wire::server_load(&response),
        slow_start_left: wire::slow_start_left(&response),
    };
    if !response.close {
        pool.release(server, connection);
    }
    Ok(health)
}
