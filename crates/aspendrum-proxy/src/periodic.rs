//! Periodic work: the decision engine's timer, health checks, heartbeats to the agent, and the detection of
//! disconnected clients.

use crate::dispatcher::TICK_MS;
use crate::state::ProxyState;
use crate::{disconnects, health_check};
use aspendrum_model::message::Readiness;
use aspendrum_net::disconnect_metrics::DisconnectReporter;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval of heartbeats to the agent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The interval while the proxy is not ready, which may only be for lack of a report from control.
const NOT_READY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// The time without a report of contact to control, in milliseconds, after which control counts as unreachable.
/// A proxy without an agent has no contact to control.
const CONTROL_TIMEOUT_MS: u64 = 1200;
const POOL_SWEEP_INTERVAL: Duration = Duration::from_millis(1000);
/// The interval at which the digest of the tables is recomputed, which detects a corrupted table within that time.
const DIGEST_UPDATE_INTERVAL: Duration = Duration::from_millis(2000);

/// Runs the periodic work for the lifetime of the process.
pub fn run(state: &Arc<ProxyState>) {
    let mut tasks = PeriodicTasks::new();
    loop {
        sleep(Duration::from_secs_f64(TICK_MS / 1000.0));
        tasks.check_clients(state);
        start_health_checks(state);
        tasks.send_heartbeat(state);
        tasks.sweep_pool(state);
    }
}

/// The last execution of each task.
struct PeriodicTasks {
    heartbeat_at: Instant,
    digest_updated_at: Instant,
    pool_swept_at: Instant,
    last_readiness: Readiness,
    disconnect_report: DisconnectReporter,
}

impl PeriodicTasks {
    fn new() -> PeriodicTasks {
        let now = Instant::now();
        PeriodicTasks {
            heartbeat_at: now,
            digest_updated_at: now,
            pool_swept_at: now,
            last_readiness: Readiness::Closed,
            disconnect_report: DisconnectReporter::default(),
        }
    }

    fn check_clients(&mut self, state: &ProxyState) {
        if state.disconnect_watcher.is_due() {
            disconnects::check_clients(state);
            let line = self.disconnect_report.next_line(&state.disconnect_metrics);
            line.iter().for_each(|line| log::info!("{line}"));
        }
    }

    fn send_heartbeat(&mut self, state: &ProxyState) {
        let has_changed = self.last_readiness != state.readiness();
        let interval = match self.last_readiness {
            Readiness::Ready => HEARTBEAT_INTERVAL,
            Readiness::Closed | Readiness::Draining => NOT_READY_HEARTBEAT_INTERVAL,
        };
        if !has_changed && self.heartbeat_at.elapsed() < interval {
            return;
        }
        self.heartbeat_at = Instant::now();
        self.last_readiness = state.readiness();
        state
            .dispatcher
            .set_control_unreachable(state.ms_since_control_contact() > CONTROL_TIMEOUT_MS);
        if self.digest_updated_at.elapsed() >= DIGEST_UPDATE_INTERVAL {
            self.digest_updated_at = Instant::now();
            state.update_applied_digest();
        }
        let applied = state.consistency.applied();
        state
            .agent_link
            .send_heartbeat(state.uptime_ms(), self.last_readiness, applied);
    }

    fn sweep_pool(&mut self, state: &ProxyState) {
        if self.pool_swept_at.elapsed() >= POOL_SWEEP_INTERVAL {
            self.pool_swept_at = Instant::now();
            state.server_pool.close_expired();
        }
    }
}

fn start_health_checks(state: &Arc<ProxyState>) {
    for server in state.dispatcher.tick() {
        let check_state = state.clone();
        // Without a free thread the check is skipped, and the decision engine requests it again.
        let _ = state
            .workers
            .run(Box::new(move || health_check::check(&check_state, server)));
    }
}
