//! The fake services that the limiters of a run depend on (servers, counter, discovery), and the faults injected into them.

use crate::config::DEDUPLICATION_WINDOW_S;
use crate::scenario::{FaultKind, LoadReports, Scenario};
use aspendrum_fake_services::counter::{Counter, CounterFaults, CounterOptions};
use aspendrum_fake_services::discovery::{Discovery, DiscoveryFaults, Health};
use aspendrum_fake_services::server::{RateServer, RateServerFaults, RateServerOptions, ServerLog};
use aspendrum_fake_services::Clock;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The address on which all fakes listen, each on a free port.
pub(super) const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The fake services of a run.
pub(super) struct FakeServices {
    pub(super) servers: Vec<Arc<RateServer>>,
    pub(super) server_log: Arc<ServerLog>,
    pub(super) counter: Arc<Counter>,
    pub(super) discovery: Arc<Discovery>,
}

impl FakeServices {
    /// Starts all fakes.
    ///
    /// # Errors
    /// The I/O error if a fake cannot listen.
    pub(super) async fn start(scenario: &Scenario, clock: Clock) -> io::Result<FakeServices> {
        let server_log = ServerLog::new(clock);
        let mut servers = Vec::new();
        for number in 0..scenario.servers.count {
            let options = server_options(scenario);
            let log = server_log.clone();
            let server = RateServer::start(LOOPBACK, number, options, scenario.seed, log).await?;
            servers.push(server);
        }
        let counter = Counter::start(LOOPBACK, counter_options(scenario), clock).await?;
        let zones: Vec<usize> = (0..scenario.servers.count)
            .map(|server| scenario.zone(server))
            .collect();
        let discovery = Discovery::new(clock, &zones);
        discovery.change_faults(|faults| *faults = discovery_faults(scenario, &[]));
        Ok(FakeServices {
            servers,
            server_log,
            counter,
            discovery,
        })
    }

    /// Applies the active faults, and clears all others.
    pub(super) fn apply_faults(&self, scenario: &Scenario, active: &[&FaultKind]) {
        let faults_by_server = server_faults(scenario, active);
        for (server, faults) in self.servers.iter().zip(faults_by_server) {
            server.change_faults(|current| *current = faults);
        }
        let faults = counter_faults(active);
        self.counter.change_faults(|current| *current = faults);
        let faults = discovery_faults(scenario, active);
        self.discovery.change_faults(|current| *current = faults);
    }

    /// Makes discovery report a server as draining, or crashes the server.
    pub(super) fn stop_server(&self, server: usize, is_draining: bool) {
        if is_draining {
            self.discovery.set_health(server, Health::Terminating, None);
            return;
        }
        self.discovery.set_health(server, Health::Terminated, None);
        self.servers[server].kill();
    }

    /// Kills a draining or crashed server, and starts it again as a new process with a slow start.
    ///
    /// # Errors
    /// The I/O error if its port is no longer free.
    pub(super) async fn restart_server(&self, server: usize) -> io::Result<()> {
        self.servers[server].kill();
        if self.servers[server].restart().await?.is_some() {
            self.discovery
                .set_health(server, Health::InService, Some(unix_ms()));
        }
        Ok(())
    }
}

fn server_options(scenario: &Scenario) -> RateServerOptions {
    let servers = &scenario.servers;
    let groups = scenario
        .groups
        .iter()
        .map(|group| (group.name.clone(), (group.work_ms, group.retry_safety)));
    RateServerOptions {
        cores: servers.cores,
        queue_capacity: servers.queue_capacity,
        max_connections: servers.max_connections,
        handshake_time: servers.handshake_ms,
        slow_start_capacity: servers.slow_start_capacity,
        slow_start: servers.slow_start_s * MILLIS_PER_SECOND,
        collapse_multiple: scenario.rules.collapse_multiple,
        collapse_window: scenario.rules.collapse_window_s * MILLIS_PER_SECOND,
        reports_load_in_responses: servers.reports == LoadReports::Answers,
        responds_to_probes: servers.reports == LoadReports::Probes,
        groups: groups.collect(),
        deduplication_window: DEDUPLICATION_WINDOW_S * MILLIS_PER_SECOND,
    }
}

fn counter_options(scenario: &Scenario) -> CounterOptions {
    CounterOptions {
        calls_per_second: scenario.counter.calls_per_s,
        max_wait: Duration::from_secs_f64(scenario.counter.max_wait_ms / MILLIS_PER_SECOND),
    }
}

/// Returns the faults of each server: the maximum of each parameter over all active faults.
fn server_faults(scenario: &Scenario, active: &[&FaultKind]) -> Vec<RateServerFaults> {
    let mut all = vec![RateServerFaults::default(); scenario.servers.count];
    for kind in active {
        let FaultKind::Server(fault) = kind else {
            continue;
        };
        for server in scenario.select_servers(&fault.servers) {
            let faults = &mut all[server];
            faults.slowdown = faults.slowdown.max(fault.slowdown);
            faults.error_share = faults.error_share.max(fault.error_share);
            faults.reset_share = faults.reset_share.max(fault.reset_share);
            faults.is_silent |= fault.is_silent;
            faults.is_draining |= fault.is_draining;
        }
    }
    all
}

fn counter_faults(active: &[&FaultKind]) -> CounterFaults {
    let mut faults = CounterFaults::default();
    for kind in active {
        if let FaultKind::Counter(fault) = kind {
            faults.is_silent |= fault.is_silent;
            faults.is_busy |= fault.is_busy;
            faults.extra_ms = faults.extra_ms.max(fault.delay_ms);
        }
    }
    faults
}

/// Returns the scenario's regular discovery parameters, overridden by the active faults.
fn discovery_faults(scenario: &Scenario, active: &[&FaultKind]) -> DiscoveryFaults {
    let mut faults = DiscoveryFaults {
        is_silent: false,
        delay_ms: scenario.discovery.delay_ms,
        is_stale: false,
        max_calls_per_second: scenario.discovery.calls_per_s,
    };
    for kind in active {
        if let FaultKind::Discovery(fault) = kind {
            faults.is_silent |= fault.is_silent;
            faults.is_stale |= fault.is_stale;
            faults.delay_ms = faults.delay_ms.max(fault.delay_ms);
            if fault.calls_per_s > 0.0 {
                faults.max_calls_per_second = fault.calls_per_s;
            }
        }
    }
    faults
}

#[expect(
    clippy::disallowed_methods,
    reason = "discovery reports the start time of a server as wall-clock time"
)]
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
