//! Benchmarks of real control processes with a fleet of simulated agents: the cost of control by the number of agents
//! and by the size of the decided state, while idle, on changes and on restarts.

pub mod agent;
pub mod plan;

mod platform;
mod processes;
mod thread_guard;
mod traffic;
mod usage;

use crate::error::BenchmarkError;
use crate::figure::FigureLine;
use crate::fleet_data::{config_text, server_addr, servers};
use crate::fleet_size::{region, zone, FleetSize};
use crate::measure::Samples;
use agent::{spawn_agents, FleetCounters, SimulatedAgent};
use aspendrum_model::config::Config;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use plan::Plan;
use platform::Platform;
use processes::{lookup_addr, operator_addr, Processes};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use traffic::{Servers, Traffic};
use usage::status_mb;

/// The maximum time to wait for any condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
const OPERATOR_RETRY_DELAY: Duration = Duration::from_millis(200);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
const LOOKUPS: usize = 500;
/// The additional time for which short operations are observed, since the kernel counts CPU time in units of 10 ms.
const ACCOUNTING_TIME: Duration = Duration::from_secs(1);
/// The time after which the effects of an event are assumed to be complete.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The number of runs per traffic rate.
const TRAFFIC_RUNS: usize = 2;
const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 32 << 20,
};

/// Runs the simulated fleet and prints its figures.
///
/// # Errors
/// Returns [`BenchmarkError`] if a part of the fleet cannot be started.
pub fn run(plan: &Plan) -> Result<(), BenchmarkError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .map_err(BenchmarkError::Runtime)?;
    runtime.block_on(async {
        let directory = tempfile::tempdir().map_err(BenchmarkError::TemporaryDirectory)?;
        let processes = Processes::prepare(plan, directory.path()).await?;
        Simulation::new(plan, processes)?.run().await
    })
}

/// The simulated fleet and its processes.
struct Simulation<'p> {
    plan: &'p Plan,
    size: FleetSize,
    processes: Processes,
    agents: Vec<Arc<SimulatedAgent>>,
    counters: Arc<FleetCounters>,
    platform: Arc<Platform>,
    /// The version of the latest configuration.
    version: u32,
}

/// The acknowledgement of a configuration by control.
struct Acknowledgement {
    /// The time since the first call, in seconds.
    total_s: f64,
    /// The time since the call that was acknowledged, in seconds.
    last_call_s: f64,
    calls: usize,
}

/// Waits until the condition holds. Returns the elapsed time in seconds, or `None` after [`WAIT_TIMEOUT`].
fn wait_until(condition: impl Fn() -> bool) -> Option<f64> {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > WAIT_TIMEOUT {
            return None;
        }
        sleep(POLL_INTERVAL);
    }
    Some(started_at.elapsed().as_secs_f64())
}

impl<'p> Simulation<'p> {
    fn new(plan: &'p Plan, processes: Processes) -> Result<Simulation<'p>, BenchmarkError> {
        let size = plan.size();
        let platform = Platform::start(
            processes::platform_addr(),
            servers(&size),
            plan.platform_calls_per_s,
            Duration::from_millis(plan.page_delay_ms),
        );
        let counters = Arc::new(FleetCounters::default());
        let control_nodes: Vec<_> = (0..plan.control_nodes)
            .map(processes::control_addr)
            .collect();
        let agents = spawn_agents(plan.agents, &control_nodes, &counters);
        Ok(Simulation {
            plan,
            size,
            processes,
            agents: agents.map_err(BenchmarkError::Agents)?,
            counters,
            platform: platform.map_err(BenchmarkError::Platform)?,
            version: 0,
        })
    }

    fn figure(&self, name: &str) -> FigureLine {
        FigureLine::new(name)
            .with("controls", self.plan.control_nodes)
            .with("agents", self.plan.agents)
            .with("servers", self.plan.servers)
            .with("routes", self.plan.routes)
            .with("tenants", self.plan.tenants)
    }

    async fn run(mut self) -> Result<(), BenchmarkError> {
        for node in &mut self.processes.control_nodes {
            node.start()?;
        }
        thread_guard::start(&self.processes.control_nodes);
        self.set_first_config();
        for process in &mut self.processes.limiters {
            process.start()?;
        }
        let is_complete = self.start_agents();
        self.observe_idle("hollow.calm");
        if !is_complete {
            // Further figures of an incomplete fleet are meaningless, and its connection attempts occupy threads of the
            // machine.
            return Ok(());
        }
        self.measure_lookups();
        self.send_traffic()?;
        self.change_configuration();
        self.drain_server();
        self.restart_agent();
        self.restart_control_node().await?;
        self.observe_idle("hollow.calm_after");
        Ok(())
    }

    fn set_first_config(&mut self) {
        let acknowledgement = self.set_config();
        let acknowledgement = acknowledgement.as_ref();
        self.figure("hollow.first")
            .seconds("acknowledged_s", acknowledgement.map(|a| a.total_s))
            .with("calls", acknowledgement.map_or(0, |a| a.calls))
            .with("disk_bytes", self.processes.database_bytes())
            .print();
    }

    /// Sends the next version to the control nodes in turn until one acknowledges it. Returns `None` after
    /// [`WAIT_TIMEOUT`].
    fn set_config(&mut self) -> Option<Acknowledgement> {
        self.version += 1;
        let text = config_text(&self.size, self.plan.services, self.version);
        let (started_at, mut calls) = (Instant::now(), 0);
        while started_at.elapsed() < WAIT_TIMEOUT {
            let node = (calls + self.version as usize) % self.plan.control_nodes;
            calls += 1;
            let call_started_at = Instant::now();
            let mut client = HttpClient::new(operator_addr(node), MESSAGE_LIMITS);
            let response = client.call("POST", "/api/Cfg.Set", text.as_bytes(), OPERATOR_TIMEOUT);
            if response.is_ok_and(|r| r.status == 200) {
                return Some(Acknowledgement {
                    total_s: started_at.elapsed().as_secs_f64(),
                    last_call_s: call_started_at.elapsed().as_secs_f64(),
                    calls,
                });
            }
            sleep(OPERATOR_RETRY_DELAY);
        }
        None
    }

    fn all_agents(&self, condition: impl Fn(&SimulatedAgent) -> bool) -> bool {
        self.agents.iter().all(|agent| condition(agent))
    }

    fn all_have_config(&self, version: u32) -> bool {
        self.all_agents(|agent| agent.applied().config_version >= Some(version))
    }

    fn all_are_connected(&self) -> bool {
        self.all_agents(SimulatedAgent::is_connected)
    }

    /// Starts all agents. Returns whether all of them connected and received the configuration.
    fn start_agents(&self) -> bool {
        let usage_before = self.usage();
        for agent in &self.agents {
            agent.start();
            sleep(Duration::from_millis(self.plan.agent_start_interval_ms));
        }
        let count = self.plan.agents;
        let have_config = wait_until(|| self.all_have_config(1));
        let connected = wait_until(|| self.all_are_connected());
        let know_all =
            wait_until(|| self.all_agents(|agent| agent.applied().ready_proxies >= count));
        let since_start =
            |later: Option<f64>| have_config.zip(later).map(|(first, later)| first + later);
        sleep(ACCOUNTING_TIME);
        self.figure("hollow.greeting")
            .with("every_ms", self.plan.agent_start_interval_ms)
            .seconds("all_hold_config_s", have_config)
            .seconds("all_linked_s", since_start(connected))
            .seconds("all_know_all_s", since_start(know_all))
            .print();
        self.print_usage("hollow.greeting", &usage_before);
        have_config.is_some() && connected.is_some()
    }

    fn observe_idle(&self, name: &str) {
        sleep(SETTLING_TIME);
        let usage_before = self.usage();
        sleep(Duration::from_secs(self.plan.seconds));
        self.print_usage(name, &usage_before);
    }

    /// Measures proxy lookups by clients at the first control node.
    fn measure_lookups(&self) {
        let usage_before = self.usage();
        let mut client = HttpClient::new(lookup_addr(0), MESSAGE_LIMITS);
        let (mut times, mut answered) = (Vec::new(), 0);
        for number in 0..LOOKUPS {
            let (region, zone) = (region(number), zone(number));
            let path = format!("/api/lookup?name=a.example&geo={region}&az={zone}");
            let call_started_at = Instant::now();
            let response = client.call("GET", &path, b"", LOOKUP_TIMEOUT);
            times.push(call_started_at.elapsed().as_secs_f64() * 1000.0);
            answered += usize::from(response.is_ok_and(|r| r.status == 200));
        }
        let times = Samples::new(times);
        // Includes all other work of the node during the lookups.
        let cpu_s = self.usage().control_cpu_s(0) - usage_before.control_cpu_s(0);
        self.figure("hollow.look_up")
            .with("asked", LOOKUPS)
            .with("answered", answered)
            .number("passed_ms", times.median())
            .number("passed_99_ms", times.quantile(0.99))
            .number("vault_cpu_ms_each", cpu_s * 1000.0 / LOOKUPS as f64)
            .print();
    }

    /// Sends requests through the first real limiter and, for comparison, directly to a server.
    fn send_traffic(&self) -> Result<(), BenchmarkError> {
        let Some(proxy) = self.processes.proxies().next() else {
            return Ok(());
        };
        let servers = Servers::start().map_err(BenchmarkError::Servers)?;
        let text = config_text(&self.size, self.plan.services, self.version);
        let config = Config::read(text.as_bytes()).map_err(BenchmarkError::InvalidConfig)?;
        for rate in self.plan.traffic_rates() {
            let figure = |name| self.figure(name).number("rate", rate);
            let direct = self.traffic(server_addr(0), rate).send(&config, &servers);
            direct.print(figure("hollow.traffic.straight"));
            for run in 0..TRAFFIC_RUNS {
                let (cpu_before, started_at) = (proxy.cpu_s(), Instant::now());
                let traffic = self.traffic(processes::limiter_addr(0), rate);
                let result = traffic.send(&config, &servers);
                let cpu_s = proxy.cpu_s() - cpu_before;
                let line = figure("hollow.traffic.proxy")
                    .with("play", run)
                    .number("core", cpu_s / started_at.elapsed().as_secs_f64())
                    .number("rss_mb", status_mb(proxy, "VmRSS"))
                    .with("descriptors", proxy.open_descriptors())
                    .with("threads", proxy.status("Threads").unwrap_or(0));
                result.print(line);
            }
        }
        Ok(())
    }

    fn traffic(&self, addr: std::net::SocketAddrV4, rate: f64) -> Traffic {
        Traffic {
            addr: addr.into(),
            rate,
            duration: Duration::from_secs(self.plan.seconds),
        }
    }

    fn change_configuration(&mut self) {
        for number in 0..self.plan.changes {
            let usage_before = self.usage();
            let acknowledgement = self.set_config();
            let acknowledged_at = Instant::now();
            let version = self.version;
            let all_received = wait_until(|| self.all_have_config(version));
            let limiters_applied = self.wait_for_limiters(version);
            let delay = |agent: &Arc<SimulatedAgent>| {
                let received_at = agent.applied().config_received_at?;
                let delay = received_at.saturating_duration_since(acknowledged_at);
                Some(delay.as_secs_f64())
            };
            let delays = Samples::new(self.agents.iter().filter_map(delay).collect());
            let acknowledgement = acknowledgement.as_ref();
            self.figure("hollow.change")
                .with("n", number)
                .seconds("acknowledged_s", acknowledgement.map(|a| a.total_s))
                .with("calls", acknowledgement.map_or(0, |a| a.calls))
                .seconds("last_call_s", acknowledgement.map(|a| a.last_call_s))
                .seconds("all_hold_s", all_received)
                .number("half_hold_s", delays.median())
                .with("whole_applied_s", limiters_applied)
                .with("disk_bytes", self.processes.database_bytes())
                .print();
            sleep(SETTLING_TIME);
            self.print_usage("hollow.change.spent", &usage_before);
        }
    }

    /// Waits until the proxies of all real limiters have applied a version. Returns the value of the figure: the
    /// elapsed time in seconds, `never`, or `none` if there are no real limiters.
    fn wait_for_limiters(&self, version: u32) -> String {
        if self.plan.limiters == 0 {
            return "none".into();
        }
        let event = format!("event=applied version={version:08x}");
        let applied = wait_until(|| {
            self.processes
                .proxies()
                .all(|proxy| proxy.has_logged(&event))
        });
        applied.map_or("never".into(), |s| format!("{s:.3}"))
    }

    /// Sets one server to draining and back to in service.
    fn drain_server(&self) {
        for draining in [true, false] {
            let usage_before = self.usage();
            self.platform.set_draining(0, draining);
            let expected = usize::from(draining);
            let known = wait_until(|| {
                self.all_agents(|agent| agent.applied().draining_servers == expected)
            });
            self.figure("hollow.server")
                .with("drains", draining)
                .seconds("all_know_s", known)
                .print();
            sleep(ACCOUNTING_TIME);
            self.print_usage("hollow.server.spent", &usage_before);
        }
    }

    /// Stops one agent, and restarts it [`ACCOUNTING_TIME`] after all others have received the change.
    fn restart_agent(&self) {
        let usage_before = self.usage();
        let [restarted, others @ ..] = &*self.agents else {
            return;
        };
        let Some(other) = others.first() else { return };
        let count = other.applied().ready_proxies;
        restarted.stop();
        let gone = wait_until(|| others.iter().all(|a| a.applied().ready_proxies < count));
        sleep(ACCOUNTING_TIME);
        restarted.start();
        let back = wait_until(|| self.all_agents(|a| a.applied().ready_proxies >= count));
        self.figure("hollow.restart_one")
            .seconds("all_know_gone_s", gone)
            .seconds("all_know_back_s", back)
            .print();
        self.print_usage("hollow.restart_one.spent", &usage_before);
    }

    /// Kills a control node, and restarts it [`SETTLING_TIME`] after all agents have reconnected to other nodes.
    async fn restart_control_node(&mut self) -> Result<(), BenchmarkError> {
        let usage_before = self.usage();
        self.processes.control_nodes[0].kill().await;
        let reconnected = wait_until(|| self.all_are_connected());
        sleep(SETTLING_TIME);
        self.processes.control_nodes[0].start()?;
        sleep(SETTLING_TIME);
        let connected_after = wait_until(|| self.all_are_connected());
        self.figure("hollow.restart_control")
            .seconds("all_linked_s", reconnected)
            .seconds("all_linked_after_s", connected_after)
            .print();
        self.print_usage("hollow.restart_control.spent", &usage_before);
        Ok(())
    }
}
