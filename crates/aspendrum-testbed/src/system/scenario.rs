//! Scenarios of the whole system: size, terms, steps, and bounds on the outcome.

use super::error::ScenarioError;
use super::tamper::Tampering;
use aspendrum_checker::Millis;
use serde::Deserialize;

/// The maximum number of control nodes, including spares.
const MAX_CORES: usize = 100;
/// The maximum number of edge machines.
const MAX_EDGES: usize = 150;

/// A scenario, read from TOML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// A description in one sentence.
    pub about: String,
    /// The duration of the traffic, in seconds.
    pub seconds: f64,
    /// The number of control nodes, spread over the zones in turn.
    pub cores: usize,
    /// The number of edge machines, each with a proxy and an agent, spread over the zones in turn.
    pub edges: usize,
    /// The number of spare control nodes, which start only when they replace another one.
    #[serde(default)]
    pub spares: usize,
    /// The number of zones. A region consists of two zones.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// The number of servers of each service in each zone.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// The rate of requests of all clients together, per second.
    #[serde(default = "default_queries_per_s")]
    pub queries_per_s: f64,
    /// The quota of each tenant, in requests per second; 0 for none.
    #[serde(default)]
    pub quota_per_s: f64,
    /// The request rate of the first tenant, relative to that of the second.
    #[serde(default = "default_factor")]
    pub hot: f64,
    /// The number of machines that may lose their disks at the same time (`tolerate.machs`).
    #[serde(default = "default_losses")]
    pub losses: usize,
    /// The number of additional routes in each configuration that receive no requests.
    #[serde(default)]
    pub filler_routes: usize,
    /// The seed from which the traffic is generated.
    #[serde(default)]
    pub seed: u64,
    /// The behavior of clients.
    #[serde(default)]
    pub habits: Habits,
    /// Whether edge machines reach each other over relays that can be cut. Without relays, which cost file descriptors, there
    /// can be more edge machines.
    #[serde(default = "default_edge_links")]
    pub edge_links: bool,
    /// The platform's terms in the settings.
    #[serde(default)]
    pub terms: Terms,
    /// The steps, in any order.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Bounds on the outcome, in addition to the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_edge_links() -> bool {
    true
}

fn default_count() -> usize {
    1
}

fn default_wait_s() -> f64 {
    1.0
}

fn default_factor() -> f64 {
    1.0
}

fn default_losses() -> usize {
    1
}

fn default_zones() -> usize {
    2
}

fn default_servers() -> usize {
    2
}

fn default_queries_per_s() -> f64 {
    60.0
}

/// The platform's terms, in milliseconds unless the name has another unit.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// `contact-ms`: how long after the end of a fault a machine counts as connected again.
    pub contact: Millis,
    /// `ack-ms`: how long an operator retries an order.
    pub ack: Millis,
    /// `sync-s`: how long a machine still counts as lost after it has returned.
    pub sync_s: f64,
    /// `apply-ms`: the time within which a change is in force.
    pub apply: Millis,
    /// `revoked`: whether the time until a removed credential is refused is bounded.
    pub revoked: bool,
    /// `revoke-ms`: the time within which a removed credential is refused.
    pub revoke: Millis,
    /// `evac-ms`: the time after which an evacuated zone receives no requests.
    pub evac: Millis,
    /// `drain-ms`: the time after which a draining server receives no requests.
    pub drain: Millis,
    /// `grace-s`: the time after SIGTERM at which a process is killed.
    pub grace_s: f64,
    /// `loss-ms`: the time within which a request may be lost unless it ran.
    pub loss: Millis,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            contact: 4000.0,
            ack: 6000.0,
            sync_s: 4.0,
            apply: 3000.0,
            revoked: true,
            revoke: 5000.0,
            evac: 5000.0,
            drain: 3000.0,
            grace_s: 6.0,
            loss: 200.0,
        }
    }
}

/// The behavior of clients. Numbers without a unit are shares of all requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Habits {
    /// The share of requests whose client disconnects without waiting for the response.
    pub leave: f64,
    /// The minimum time between sending a request and disconnecting.
    pub leave_least_ms: Millis,
    /// The maximum time between sending a request and disconnecting.
    pub leave_most_ms: Millis,
    /// The share of requests whose client ignores lookups and connects to any proxy, as with an outdated lookup result.
    pub stubborn: f64,
    /// The share of requests whose client uses any open connection, until the proxy closes it.
    pub faithful: f64,
    /// The share of requests behind which the client pipelines a second one.
    pub ahead: f64,
    /// The share of requests with a long body, which no socket buffers hold.
    pub long: f64,
}

impl Default for Habits {
    fn default() -> Habits {
        Habits {
            leave: 0.0,
            leave_least_ms: 5.0,
            leave_most_ms: 900.0,
            stubborn: 0.15,
            faithful: 0.0,
            ahead: 0.0,
            long: 0.0,
        }
    }
}

/// An order or a fault at a given time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time of the step, in seconds from the start of the traffic.
    pub at_s: f64,
    /// The kind of the step.
    pub what: StepKind,
    /// The targets, separated by commas: `core 0`, `edge 1-3`, `proxy 2`, `agent 2`, `origin 0-3`.
    #[serde(default)]
    pub of: String,
    /// The other side of a cut; all other machines and servers if empty.
    #[serde(default)]
    pub from: String,
    /// Whether a cut affects only data sent by `of`, not data sent to it.
    #[serde(default)]
    pub one_way: bool,
    /// The time after which the step is reverted, in seconds.
    pub for_s: Option<f64>,
    /// The interval between targets or repetitions, in seconds.
    #[serde(default)]
    pub gap_s: f64,
    /// The number of changes, races or signals.
    #[serde(default = "default_count")]
    pub count: usize,
    /// One in this many changes adds a route, for which all proxies are probed; 0 for none.
    #[serde(default)]
    pub adds_route_every: usize,
    /// The effect of a cut on connections.
    #[serde(default)]
    pub form: CutForm,
    /// Whether a replaced control node gets SIGKILL instead of SIGTERM.
    #[serde(default)]
    pub killed: bool,
    /// Whether the settings list the replacement as a seed, and all processes get SIGHUP.
    #[serde(default)]
    pub seeds: bool,
    /// Whether all configurations sent so far are sent again, not only the last one.
    #[serde(default)]
    pub all: bool,
    /// The timeout for reading a configuration back, in seconds.
    #[serde(default = "default_wait_s")]
    pub wait_s: f64,
    /// The zone of an evacuation.
    #[serde(default)]
    pub zone: String,
    /// How configurations are tampered with.
    pub how: Option<Tampering>,
    /// The share of requests that fail at a server, or the share of processor time of a throttled process.
    #[serde(default)]
    pub share: f64,
    /// The factor by which servers are slower.
    #[serde(default = "default_factor")]
    pub times: f64,
}

impl Step {
    /// Returns a step with the given time, kind and targets, and defaults for everything else.
    pub fn new(at_s: f64, what: StepKind, of: String) -> Step {
        Step {
            at_s,
            what,
            of,
            from: String::new(),
            one_way: false,
            for_s: None,
            gap_s: 0.0,
            count: default_count(),
            adds_route_every: 0,
            form: CutForm::default(),
            killed: false,
            seeds: false,
            all: false,
            wait_s: default_wait_s(),
            zone: String::new(),
            how: None,
            share: 0.0,
            times: default_factor(),
        }
    }
}

/// The kinds of steps.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum StepKind {
    /// Sends a configuration that moves the once-only route to the other service, starting with the control node `of`.
    Move,
    /// Sends a configuration without the second tenant's key.
    TakeKey,
    /// Sends a configuration with the second tenant's key.
    GiveKey,
    /// Sends `count` changes, one every `gap_s` with at most eight in flight. Each is retried until it is acknowledged,
    /// rejected or timed out.
    Changes,
    /// Sends `count` invalid texts, pausing `gap_s` after each, without retries.
    InvalidChanges,
    /// Sends two texts with the same version concurrently, to two control nodes of `of` or to the same one, `count` times. Each
    /// must be acknowledged or rejected.
    Race,
    /// Sends the last configuration again, as an operator does without a response.
    Resend,
    /// Reads the configuration back from the control node `of`, with the timeout `wait_s`.
    Show,
    /// Begins the evacuation of a zone, and finishes it after `for_s` if given.
    Evacuate,
    /// Begins the evacuation of a zone.
    Begin,
    /// Finishes the evacuation of a zone.
    Finish,
    /// Sends SIGKILL, and restarts the process after `for_s`, or immediately if not given.
    Kill,
    /// Like `Kill`, but restarts the process with an empty disk.
    Wipe,
    /// Sends SIGTERM, and restarts the process once it has exited.
    Term,
    /// Permanently stops a control node, and starts a spare one with an empty disk after `for_s`.
    Replace,
    /// Sends SIGSTOP, and SIGCONT after `for_s`.
    Freeze,
    /// Lets processes run only for `share` of each period of 100 ms, for `for_s`.
    Throttle,
    /// Cuts the links between `of` and `from`, and heals them after `for_s`.
    Cut,
    /// Tampers with configurations sent to an agent (`agent 1`), or from the agent to its proxy (`proxy 1`).
    Tamper,
    /// Lists the control nodes `of` as seeds in the settings, and sends SIGHUP to all processes.
    Seeds,
    /// Sends SIGHUP `count` times.
    Hup,
    /// Servers stop, and restart after `for_s`.
    Die,
    /// Servers drain.
    Drain,
    /// Servers respond to a `share` of requests with status 500.
    Fail,
    /// Servers execute a `share` of requests, but reset the connection instead of responding.
    Reset,
    /// Servers never respond to a `share` of requests.
    Hang,
    /// Servers reset the connection of a `share` of requests without reading them.
    Deaf,
    /// Servers execute and answer a `share` of the requests with long bodies before they read the body.
    Early,
    /// Servers take `times` as long as usual.
    Slow,
    /// Servers reject all requests.
    Full,
    /// Servers make no progress.
    Stall,
}

/// The effect of a cut on connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum CutForm {
    /// All data is dropped silently.
    #[default]
    Silent,
    /// Existing connections are reset; after that all data is dropped silently.
    Reset,
    /// Existing connections are reset, and new ones are refused.
    Refuse,
}

/// Bounds on the outcome of a scenario, in addition to the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The minimum share of all requests that must be served.
    pub served: Option<f64>,
    /// The minimum share of once-only requests that must be served.
    pub served_once: Option<f64>,
    /// The minimum share of the second tenant's requests that must be served while the first one exceeds its quota.
    pub served_second: Option<f64>,
    /// The minimum share of requests of the last two seconds that must be served, which shows that the system has recovered.
    pub served_last: Option<f64>,
    /// The maximum 95th percentile of the response times of quota refusals, in milliseconds. Clients must learn immediately
    /// that they are over their quota.
    pub refused_ms: Option<Millis>,
    /// Whether every node must apply the current state at the end.
    #[serde(default)]
    pub agree: bool,
    /// The maximum number of attempts that proxies reject with 503, for lack of a license or a server.
    pub unready: Option<usize>,
    /// The maximum number of attempts whose connection ends without a complete response, including those during faults.
    pub lost: Option<usize>,
    /// The maximum number of invariant violations that the processes log.
    pub violations: Option<u64>,
    /// The maximum time until a configuration is acknowledged, in milliseconds.
    pub acked_ms: Option<Millis>,
    /// The maximum time from the acknowledgement of an added route until the last connected proxy serves it, in milliseconds.
    pub in_force_ms: Option<Millis>,
}

/// A machine, process or server that a step applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A control node.
    Core(usize),
    /// An edge machine, with a proxy and an agent.
    Edge(usize),
    /// A proxy.
    Proxy(usize),
    /// An agent.
    Agent(usize),
    /// A server.
    Origin(usize),
}

impl Scenario {
    /// Parses a scenario from TOML and validates it.
    ///
    /// # Errors
    /// [`ScenarioError`] describes the first fault found.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|e| ScenarioError::Unreadable(Box::new(e)))?;
        scenario.check_size()?;
        scenario.check_steps()?;
        Ok(scenario)
    }

    fn check_size(&self) -> Result<(), ScenarioError> {
        if self.cores == 0 || self.edges == 0 || self.zones == 0 || self.servers == 0 {
            return Err(ScenarioError::Empty(self.name.clone()));
        }
        if self.machines() > MAX_CORES || self.edges > MAX_EDGES {
            return Err(ScenarioError::TooLarge {
                scenario: self.name.clone(),
                max_cores: MAX_CORES,
                max_edges: MAX_EDGES,
            });
        }
        Ok(())
    }

    /// Checks that the targets of all steps exist and fit their kinds, and that there are enough spares.
    fn check_steps(&self) -> Result<(), ScenarioError> {
        let mut replaced = 0;
        for step in &self.steps {
            let targets = self.targets(&step.of)?;
            self.targets(&step.from)?;
            let needs_control_nodes = matches!(step.what, StepKind::Replace | StepKind::Race);
            let are_control_nodes = !targets.is_empty()
                && targets
                    .iter()
                    .all(|target| matches!(target, Target::Core(_)));
            if needs_control_nodes && !are_control_nodes {
                return Err(ScenarioError::NotControl {
                    scenario: self.name.clone(),
                    what: step.what,
                });
            }
            if step.what == StepKind::Replace {
                replaced += targets.len();
            }
        }
        if replaced > self.spares {
            return Err(ScenarioError::TooFewSpares {
                scenario: self.name.clone(),
                replaced,
                spares: self.spares,
            });
        }
        Ok(())
    }

    /// Returns the number of control nodes, including spares.
    pub fn machines(&self) -> usize {
        self.cores + self.spares
    }

    /// Returns the index of a machine's zone.
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    /// Returns the number of servers of both services together.
    pub fn origins(&self) -> usize {
        2 * self.zones * self.servers
    }

    /// Parses a comma-separated list of targets such as `core 0, edge 1-3`. An empty text has no targets.
    ///
    /// # Errors
    /// [`ScenarioError::UnknownMachine`] if a target does not exist.
    pub fn targets(&self, text: &str) -> Result<Vec<Target>, ScenarioError> {
        let parts = text.split(',').map(str::trim);
        let mut all = Vec::new();
        for part in parts.filter(|part| !part.is_empty()) {
            let targets = self.parse_range(part);
            all.extend(targets.ok_or_else(|| ScenarioError::UnknownMachine {
                scenario: self.name.clone(),
                part: part.to_string(),
            })?);
        }
        Ok(all)
    }

    /// Parses targets of one kind, such as `edge 1-3`. Returns `None` if the text is invalid or a target does not exist.
    fn parse_range(&self, part: &str) -> Option<Vec<Target>> {
        let (kind, numbers) = part.split_once(' ')?;
        let (first, last) = numbers.split_once('-').unwrap_or((numbers, numbers));
        let (first, last): (usize, usize) = (first.parse().ok()?, last.parse().ok()?);
        let (target, count): (fn(usize) -> Target, usize) = match kind {
            "core" => (Target::Core, self.machines()),
            "edge" => (Target::Edge, self.edges),
            "proxy" => (Target::Proxy, self.edges),
            "agent" => (Target::Agent, self.edges),
            "origin" => (Target::Origin, self.origins()),
            _ => return None,
        };
        let exists = first <= last && last < count;
        exists.then(|| (first..=last).map(target).collect())
    }
}
