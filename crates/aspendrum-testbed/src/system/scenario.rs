//! A scenario of the system: its size, its terms, what happens when, and what must hold in the end.

use super::error::ScenarioError;
use super::tamper::Tampering;
use aspendrum_checker::Millis;
use serde::Deserialize;

/// More machines than these are not played.
const MAX_CORES: usize = 100;
const MAX_EDGES: usize = 150;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about, in a sentence.
    pub about: String,
    /// Of traffic.
    pub seconds: f64,
    /// Machines of control, and of proxies, spread over the zones in turn.
    pub cores: usize,
    /// Machines with a proxy and an agent.
    pub edges: usize,
    /// Machines of control that are not started: each takes the place of one that is replaced.
    #[serde(default)]
    pub spares: usize,
    /// Zones; each two are a region.
    #[serde(default = "two")]
    pub zones: usize,
    /// Of each service in each zone.
    #[serde(default = "two")]
    pub servers: usize,
    /// Requests of all clients together, a second.
    #[serde(default = "queries")]
    pub queries_per_s: f64,
    /// A tenant's quota; 0: none.
    #[serde(default)]
    pub quota_per_s: f64,
    /// How often the first tenant asks for each time that another does.
    #[serde(default = "one")]
    pub hot: f64,
    /// Disks that may be lost at once.
    #[serde(default = "one_disk")]
    pub losses: usize,
    /// Routes in each configuration that nobody uses.
    #[serde(default)]
    pub filler_routes: usize,
    /// What the traffic is drawn from.
    #[serde(default)]
    pub seed: u64,
    /// How clients behave.
    #[serde(default)]
    pub habits: Habits,
    /// Proxies and agents reach each other over links of the rig; without them directly, so that there may be many.
    #[serde(default = "linked")]
    pub edge_links: bool,
    /// The terms in the settings.
    #[serde(default)]
    pub terms: Terms,
    /// What happens when.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// What must hold beside the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn linked() -> bool {
    true
}

fn once() -> usize {
    1
}

fn second() -> f64 {
    1.0
}

fn one() -> f64 {
    1.0
}

fn one_disk() -> usize {
    1
}

fn two() -> usize {
    2
}

fn queries() -> f64 {
    60.0
}

/// The platform's terms, in milliseconds where they do not say otherwise.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// `contact-ms`: a machine counts as connected so long after a fault.
    pub contact: Millis,
    /// `ack-ms`: how long an operator retries an order.
    pub ack: Millis,
    /// `sync-s`: how long a machine counts as lost after its return.
    pub sync_s: f64,
    /// `apply-ms`: a change is in force within this time.
    pub apply: Millis,
    /// `revoked`: whether removed credentials have a bound.
    pub revoked: bool,
    /// `revoke-ms`: that bound.
    pub revoke: Millis,
    /// `evac-ms`: an evacuated zone gets nothing after this time.
    pub evac: Millis,
    /// `drain-ms`: a draining server gets nothing after this time.
    pub drain: Millis,
    /// `grace-s`: a process is killed so long after SIGTERM.
    pub grace_s: f64,
    /// `loss-ms`: a request may be lost within this time, unless it ran.
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

/// How clients behave: shares of all wishes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Habits {
    /// They close their connection before they have an answer, between these moments after they have sent.
    pub leave: f64,
    /// They leave so long after the request at the least.
    pub leave_least_ms: Millis,
    /// They leave so long after the request at the most.
    pub leave_most_ms: Millis,
    /// They hold an old answer and go to any proxy, whatever look-ups say now.
    pub stubborn: f64,
    /// They use a connection that is open, to whichever proxy, until that closes it.
    pub faithful: f64,
    /// They send a second request ahead, behind the first one.
    pub ahead: f64,
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
        }
    }
}

/// Something that happens. `for_s`: it is taken back after so long.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it happens, in seconds from the start of the traffic.
    pub at_s: f64,
    /// What happens.
    pub what: What,
    /// Machines or processes: `core 0`, `edge 1-3`, `proxy 2`, `agent 2`; servers: `origin 0-3`.
    #[serde(default)]
    pub of: String,
    /// The other side of a cut; left out, all others.
    #[serde(default)]
    pub from: String,
    /// Only what `of` says is lost, not what it hears.
    #[serde(default)]
    pub one_way: bool,
    /// It is taken back after so many seconds.
    pub for_s: Option<f64>,
    /// Between one and the next, where several are named or counted.
    #[serde(default)]
    pub gap_s: f64,
    /// Changes, or races.
    #[serde(default = "once")]
    pub count: usize,
    /// Of changes, each so many adds a route that all proxies are probed for; 0: none.
    #[serde(default)]
    pub adds_route_every: usize,
    /// How a cut looks to whoever it strikes.
    #[serde(default)]
    pub form: Form,
    /// A machine that is replaced is killed; without it it gets SIGTERM.
    #[serde(default)]
    pub killed: bool,
    /// The settings name the machine that takes its place, and all get SIGHUP.
    #[serde(default)]
    pub seeds: bool,
    /// What is sent again is everything that was ever sent.
    #[serde(default)]
    pub all: bool,
    /// How long the operator waits for what a machine shows.
    #[serde(default = "second")]
    pub wait_s: f64,
    /// The zone of an evacuation.
    #[serde(default)]
    pub zone: String,
    /// What is done to configurations.
    pub how: Option<Tampering>,
    /// The share of requests that servers spoil; the share of processor time that a throttled process has.
    #[serde(default)]
    pub share: f64,
    /// How many times as long servers take.
    #[serde(default = "one")]
    pub times: f64,
}

impl Step {
    /// A step of that kind at that moment; everything else as where it is left out.
    pub fn new(at_s: f64, what: What, of: String) -> Step {
        Step {
            at_s,
            what,
            of,
            from: String::new(),
            one_way: false,
            for_s: None,
            gap_s: 0.0,
            count: once(),
            adds_route_every: 0,
            form: Form::default(),
            killed: false,
            seeds: false,
            all: false,
            wait_s: second(),
            zone: String::new(),
            how: None,
            share: 0.0,
            times: one(),
        }
    }
}

/// The kinds of steps.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A new configuration, sent to `of` and whoever comes after it: the once-only route goes to the other
    /// service.
    Move,
    /// A new configuration without the second tenant's key, or with it again.
    TakeKey,
    /// A new configuration in which the second tenant has its key again.
    GiveKey,
    /// `count` changes, one each `gap_s` and eight under way at most, each sent until it is acknowledged.
    Changes,
    /// `count` invalid texts, one each `gap_s`, each sent once.
    InvalidChanges,
    /// Two texts under one number at once, to two machines of `of` or to one; `count` times. Whoever loses is told.
    Race,
    /// The last configuration again, as an operator who heard no answer sends it.
    Resend,
    /// The operator reads back from `of` alone, as long as `wait_s`.
    Show,
    /// Begun, and finished after `for_s`.
    Evacuate,
    /// A zone is evacuated.
    Begin,
    /// The evacuation of a zone ends.
    Finish,
    /// SIGKILL; up again after `for_s`, at once without it.
    Kill,
    /// The same with an empty disk.
    Wipe,
    /// SIGTERM, and up again once it has ended.
    Term,
    /// A machine of control ends for good, and a spare one with an empty disk takes its place after `for_s`.
    Replace,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Freeze,
    /// Processes run for `share` of each tenth of a second, for `for_s`.
    Throttle,
    /// A partition.
    Cut,
    /// Configurations go wrong on their way: to an agent (`agent 1`), or from it to its proxy (`proxy 1`).
    Tamper,
    /// The settings name other seeds, and SIGHUP.
    Seeds,
    /// SIGHUP, `count` times.
    Hup,
    /// Servers: die (a new life after `for_s`), drain, answer 500, reset behind the work, hang, reset unread, take
    /// `times` as long, turn everything away, stand still.
    Die,
    /// Servers drain.
    Drain,
    /// Servers answer 500.
    Fail,
    /// Servers reset a connection behind the work.
    Reset,
    /// Servers do not answer.
    Hang,
    /// Servers reset a connection unread.
    Deaf,
    /// Servers take `times` as long.
    Slow,
    /// Servers reject everything.
    Full,
    /// Servers make no progress.
    Stall,
}

/// How a cut looks to whoever it strikes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Nothing comes through.
    #[default]
    Silent,
    /// It begins with a reset of all connections.
    Reset,
    /// The same, and nobody listens meanwhile.
    Refuse,
}

/// What must hold beside the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Of all wishes, and of the once-only ones.
    pub served: Option<f64>,
    /// Of the requests that may run once only.
    pub served_once: Option<f64>,
    /// Of the second tenant's wishes, where the first asks for more than its plan.
    pub served_second: Option<f64>,
    /// Of the wishes of the last two seconds: the system is back.
    pub served_last: Option<f64>,
    /// Milliseconds until nineteen of twenty refusals for a quota are there: a client that is given up is told at once.
    pub refused_ms: Option<Millis>,
    /// In the end every node applies what was decided.
    #[serde(default)]
    pub agree: bool,
    /// Tries that a proxy refused with 503, for want of a licence or a server.
    pub unready: Option<usize>,
    /// Connections that a proxy closed with a request read, whatever went on.
    pub lost: Option<usize>,
    /// Violations of the programs' own invariants.
    pub violations: Option<u64>,
    /// Milliseconds until the slowest acknowledgement of a configuration is there.
    pub acked_ms: Option<Millis>,
    /// Milliseconds from the acknowledgement of an added route until the last connected proxy serves it.
    pub in_force_ms: Option<Millis>,
}

/// Who a step is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// A control node.
    Core(usize),
    /// A machine with a proxy and an agent.
    Edge(usize),
    /// A proxy.
    Proxy(usize),
    /// An agent.
    Agent(usize),
    /// A server.
    Origin(usize),
}

impl Scenario {
    /// Reads a scenario in TOML, and checks it.
    ///
    /// # Errors
    /// [`ScenarioError`] names the first fault.
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

    /// All steps name machines that are there.
    fn check_steps(&self) -> Result<(), ScenarioError> {
        let mut replaced = 0;
        for step in &self.steps {
            let of = self.who(&step.of)?;
            self.who(&step.from)?;
            let is_of_control = matches!(step.what, What::Replace | What::Race);
            let are_control = !of.is_empty() && of.iter().all(|who| matches!(who, Who::Core(_)));
            if is_of_control && !are_control {
                return Err(ScenarioError::NotControl {
                    scenario: self.name.clone(),
                    what: step.what,
                });
            }
            if step.what == What::Replace {
                replaced += of.len();
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

    /// Of control, spare ones too.
    pub fn machines(&self) -> usize {
        self.cores + self.spares
    }

    /// The zone of a machine.
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    /// Both services together.
    pub fn origins(&self) -> usize {
        2 * self.zones * self.servers
    }

    /// Those whom a text names: `core 0`, `edge 1-3`, several after commas; empty: nobody.
    ///
    /// # Errors
    /// [`ScenarioError::UnknownMachine`] if one of them is not there.
    pub fn who(&self, text: &str) -> Result<Vec<Who>, ScenarioError> {
        let parts = text.split(',').map(str::trim);
        let mut all = Vec::new();
        for part in parts.filter(|part| !part.is_empty()) {
            let named = self.named(part);
            all.extend(named.ok_or_else(|| ScenarioError::UnknownMachine {
                scenario: self.name.clone(),
                part: part.to_string(),
            })?);
        }
        Ok(all)
    }

    /// Of one kind: `edge 1-3`.
    fn named(&self, part: &str) -> Option<Vec<Who>> {
        let (kind, numbers) = part.split_once(' ')?;
        let (first, last) = numbers.split_once('-').unwrap_or((numbers, numbers));
        let (first, last): (usize, usize) = (first.parse().ok()?, last.parse().ok()?);
        let (of, count): (fn(usize) -> Who, usize) = match kind {
            "core" => (Who::Core, self.machines()),
            "edge" => (Who::Edge, self.edges),
            "proxy" => (Who::Proxy, self.edges),
            "agent" => (Who::Agent, self.edges),
            "origin" => (Who::Origin, self.origins()),
            _ => return None,
        };
        let is_there = first <= last && last < count;
        is_there.then(|| (first..=last).map(of).collect())
    }
}
