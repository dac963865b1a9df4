//! What is due from time to time: the decision engine's timer, health checks, heartbeats to the agent, and looks after
//! clients that have left.

use crate::dispatcher::TICK_MS;
use crate::state::ProxyState;
use crate::{disconnects, health_check};
use aspendrum_model::message::Readiness;
use aspendrum_net::disconnect_metrics::DisconnectReporter;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Between two heartbeats to the agent.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);
/// The same while the proxy is not ready: it may be for want of a report of control's.
const FIRST_HEARTBEATS_EVERY: Duration = Duration::from_millis(40);
/// Time-out of the agent. Without an agent the proxy has no contact to control.
const CONTROL_SILENT_AFTER_MS: u64 = 1200;
const SWEEP_POOL_EVERY: Duration = Duration::from_millis(1000);
/// Between two digests of the tables: a table that changed under its proxy shows within that.
const UPDATE_APPLIED_EVERY: Duration = Duration::from_millis(2000);

/// Does what is due, for as long as the process lives.
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

/// When each task ran last.
struct PeriodicTasks {
    heartbeat_at: Instant,
    applied_updated_at: Instant,
    pool_swept_at: Instant,
    last_readiness: Readiness,
    disconnect_report: DisconnectReporter,
}

impl PeriodicTasks {
    fn new() -> PeriodicTasks {
        let now = Instant::now();
        PeriodicTasks {
            heartbeat_at: now,
            applied_updated_at: now,
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
        let every = match self.last_readiness {
            Readiness::Ready => HEARTBEAT_EVERY,
            Readiness::Closed | Readiness::Draining => FIRST_HEARTBEATS_EVERY,
        };
        if !has_changed && self.heartbeat_at.elapsed() < every {
            return;
        }
        self.heartbeat_at = Instant::now();
        self.last_readiness = state.readiness();
        state
            .dispatcher
            .set_control_silent(state.control_silent_ms() > CONTROL_SILENT_AFTER_MS);
        if self.applied_updated_at.elapsed() >= UPDATE_APPLIED_EVERY {
            self.applied_updated_at = Instant::now();
            state.update_applied();
        }
        let applied = state.consistency.applied();
        state
            .agent_link
            .send_heartbeat(state.uptime_ms(), self.last_readiness, applied);
    }

    fn sweep_pool(&mut self, state: &ProxyState) {
        if self.pool_swept_at.elapsed() >= SWEEP_POOL_EVERY {
            self.pool_swept_at = Instant::now();
            state.server_pool.close_expired();
        }
    }
}

fn start_health_checks(state: &Arc<ProxyState>) {
    for server in state.dispatcher.tick() {
        let own_state = state.clone();
        // Without a free thread the check is not made, and the decision engine asks again.
        let _ = state
            .workers
            .run(Box::new(move || health_check::check(&own_state, server)));
    }
}
