//! The fakes around the limiters of a run: servers, the counter, discovery; and the faults that strike them.

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

/// Where all fakes listen, at free ports.
pub(super) const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The fakes around the limiters.
pub(super) struct FakeServices {
    pub(super) servers: Vec<Arc<RateServer>>,
    pub(super) server_log: Arc<ServerLog>,
    pub(super) counter: Arc<Counter>,
    pub(super) discovery: Arc<Discovery>,
}

impl FakeServices {
    /// Starts them all.
    ///
    /// # Errors
    /// No port is free.
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

    /// Applies the faults that are active now, and no other ones.
    pub(super) fn apply_faults(&self, scenario: &Scenario, active: &[&FaultKind]) {
        let of_servers = server_faults(scenario, active);
        for (server, faults) in self.servers.iter().zip(of_servers) {
            server.change_faults(|current| *current = faults);
        }
        let of_counter = counter_faults(active);
        self.counter.change_faults(|current| *current = of_counter);
        let of_discovery = discovery_faults(scenario, active);
        self.discovery
            .change_faults(|current| *current = of_discovery);
    }

    /// A server drains, as discovery reports, or crashes.
    pub(super) fn stop_server(&self, server: usize, is_draining: bool) {
        if is_draining {
            self.discovery.set_health(server, Health::Terminating, None);
            return;
        }
        self.discovery.set_health(server, Health::Terminated, None);
        self.servers[server].kill();
    }

    /// A server that was stopped ends, and is back as a new process.
    ///
    /// # Errors
    /// Its port is not free any more.
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
        reports_in_answers: servers.reports == LoadReports::Answers,
        answers_probes: servers.reports == LoadReports::Probes,
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

/// By server: the strongest of the active faults, each figure by itself.
fn server_faults(scenario: &Scenario, active: &[&FaultKind]) -> Vec<RateServerFaults> {
    let mut all = vec![RateServerFaults::default(); scenario.servers.count];
    for kind in active {
        let FaultKind::Server(fault) = kind else {
            continue;
        };
        for server in scenario.select_servers(&fault.of) {
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

/// The scenario's usual figures, and the active faults on top.
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
    reason = "discovery reports when a server started by the time of day"
)]
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
