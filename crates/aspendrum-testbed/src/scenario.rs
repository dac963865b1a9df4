//! A scenario: a fleet, what stands around it, its traffic, and a timeline of faults. Read from TOML, checked
//! whole; a faulty key is refused by its name and place.

use aspendrum_checker::limiter::RetrySafety;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The largest that one machine and the loopback addresses of one run carry.
const MOST_LIMITERS: usize = 100;
const MOST_SERVERS: usize = 100;
const LONGEST_S: f64 = 3600.0;

/// A scenario for limiters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// One sentence for the list.
    pub about: String,
    /// What the traffic is drawn from.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long queries come, from when all limiters are ready.
    pub seconds: f64,
    /// The limiters.
    pub limiters: Limiters,
    /// The servers.
    pub servers: Servers,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The operators' figures for the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The groups of queries.
    #[serde(default = "Group::usual")]
    pub groups: Vec<Group>,
    /// The plans of customers.
    pub plans: Vec<Plan>,
    /// The customers.
    pub customers: Vec<Customers>,
    /// What goes wrong when.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What must hold beside the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

/// The limiters of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limiters {
    /// How many there are.
    pub count: usize,
    /// The zones over which they are spread.
    #[serde(default = "single")]
    pub zones: usize,
    /// Whether they may send each other datagrams.
    #[serde(default = "yes")]
    pub datagrams: bool,
    /// Messages a second that one takes in from the others, as the settings tell it.
    #[serde(default = "sixty")]
    pub datagrams_per_s: f64,
    /// Descriptors that each may hold.
    #[serde(default = "sockets")]
    pub sockets: u64,
    /// The rig's own baseline in their place, which lets all in.
    #[serde(default)]
    pub pass_through: bool,
}

/// The servers of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many there are.
    pub count: usize,
    /// Queries that one works on at a time.
    #[serde(default = "cores")]
    pub cores: usize,
    /// Queries that wait at one.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Connections that one takes.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What a new connection costs, in milliseconds.
    #[serde(default)]
    pub handshake_ms: f64,
    /// The share of its pace at which one begins.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// How long it takes to full pace, in seconds.
    #[serde(default = "ramp_s")]
    pub ramp_s: f64,
    /// How it reports its load.
    #[serde(default)]
    pub reports: Reports,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// On each answer.
    #[default]
    Answers,
    /// On answers to health checks.
    Probes,
    /// Not at all.
    Off,
}

/// The shared counter of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Whether the deployment has one.
    pub there: bool,
    /// Calls that it takes in a second.
    pub calls_per_s: f64,
    /// How long a call may wait before it is turned away, in milliseconds.
    pub busy_after_ms: f64,
    /// After so long limiters give a call up.
    pub wait_ms: f64,
}

impl Default for Counter {
    fn default() -> Counter {
        Counter {
            there: true,
            calls_per_s: 1000.0,
            busy_after_ms: 200.0,
            wait_ms: 30.0,
        }
    }
}

/// Discovery of a scenario.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Limiters must ask for lists; else an agent on their machine tells them.
    pub asked: bool,
    /// How late its lists are, in milliseconds.
    pub late_ms: f64,
    /// Calls a second of all limiters together; 0: any number.
    pub calls_per_s: f64,
}

/// The operators' figures for the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after a drain a server may still get queries, in seconds.
    pub drain_grace_s: f64,
    /// A cold server falls over at so many times what it bears.
    pub fall_multiple: f64,
    /// The time over which that is counted, in seconds.
    pub fall_s: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_s: 2.0,
            fall_multiple: 3.0,
            fall_s: 3.0,
        }
    }
}

/// Queries of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Whether they may be repeated.
    pub repeats: RetrySafety,
    /// What one costs a server, in milliseconds.
    pub work_ms: f64,
    /// The time within which an answer is in time, in seconds.
    pub slo_s: f64,
    /// The time after which a client gives up, in seconds.
    pub limit_s: f64,
    /// Its weight when load is shed.
    #[serde(default = "one_f")]
    pub importance: f64,
}

impl Group {
    fn usual() -> Vec<Group> {
        let name = "look".to_string();
        let repeats = RetrySafety::Idempotent;
        vec![Group {
            name,
            repeats,
            work_ms: 5.0,
            slo_s: 0.4,
            limit_s: 2.0,
            importance: 1.0,
        }]
    }
}

/// What a customer may send.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second, and at once.
    pub rate: f64,
    /// Units on top of the rate.
    pub burst: f64,
    /// The hard ceiling; 0: none.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Units on top of the rate limit.
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// Customers that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// How many there are.
    #[serde(default = "single")]
    pub count: usize,
    /// Their plan.
    pub plan: String,
    /// The share of all limiters that make up the set of each; 1: all.
    #[serde(default = "one_f")]
    pub spread: f64,
    /// Queries a second of each, at random moments, each through one limiter of the set.
    pub queries_per_s: f64,
    /// Units of a query.
    #[serde(default = "one_f")]
    pub units: f64,
    /// The endpoint groups that it asks, one after another at random.
    #[serde(default = "Vec::new")]
    pub groups: Vec<String>,
    /// The share of its queries that come through one limiter of the set, which changes every `moves_s`.
    #[serde(default)]
    pub uneven: f64,
    /// After so many seconds they move to other limiters.
    #[serde(default)]
    pub moves_s: f64,
}

/// One fault of the timeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds from the start.
    pub at_s: f64,
    /// How long it stands; without it, to the end or, for what happens at once, not at all.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// It comes again after so long, as often as the time allows.
    #[serde(default)]
    pub every_s: Option<f64>,
    /// What goes wrong.
    #[serde(flatten)]
    pub what: What,
}

/// The kinds of faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// A fault on the links of some limiters.
    Link {
        /// On which links.
        path: Path,
        /// The limiters at the one end.
        of: Which,
        /// The limiters at the other, where `path` leads to limiters; servers, where it leads to servers.
        #[serde(default)]
        to: Which,
        /// In which direction.
        #[serde(default)]
        way: Way,
        /// Nothing comes through.
        #[serde(default)]
        cut: bool,
        /// The share of datagrams that are lost.
        #[serde(default)]
        lose: f64,
        /// What is added to each, in milliseconds.
        #[serde(default)]
        delay_ms: f64,
        /// By how much that varies, in milliseconds.
        #[serde(default)]
        jitter_ms: f64,
        /// The share that overtakes others.
        #[serde(default)]
        reorder: f64,
        /// The share that comes twice.
        #[serde(default)]
        twice: f64,
        /// Ends the connections that stand, at once.
        #[serde(default)]
        reset: bool,
    },
    /// SIGKILL; started again from nothing when it ends.
    Kill {
        /// The limiters.
        of: Which,
    },
    /// SIGTERM; started again when it ends, however long the limiter takes.
    Term {
        /// The limiters.
        of: Which,
    },
    /// SIGSTOP, and SIGCONT when it ends.
    Stall {
        /// The limiters.
        of: Which,
    },
    /// Servers.
    Server {
        /// The servers.
        of: Which,
        /// They take so many times as long.
        #[serde(default)]
        slow: f64,
        /// The share of queries that they answer with a failure.
        #[serde(default)]
        failing: f64,
        /// The share of queries that they reset.
        #[serde(default)]
        resetting: f64,
        /// They answer nothing.
        #[serde(default)]
        silent: bool,
        /// Discovery tells that it drains; it goes when the fault ends, and is back cold.
        #[serde(default)]
        drain: bool,
        /// It vanishes at once, and is back cold when the fault ends.
        #[serde(default)]
        gone: bool,
    },
    /// The shared counter.
    Counter {
        /// It answers nothing.
        #[serde(default)]
        silent: bool,
        /// What is added to each answer, in milliseconds.
        #[serde(default)]
        slow_ms: f64,
        /// It turns calls away.
        #[serde(default)]
        busy: bool,
        /// Every count is lost, at once.
        #[serde(default)]
        emptied: bool,
        /// The same, and its connections are reset.
        #[serde(default)]
        replaced: bool,
    },
    /// Discovery.
    Discovery {
        /// It answers nothing.
        #[serde(default)]
        silent: bool,
        /// How late its lists are, in milliseconds.
        #[serde(default)]
        late_ms: f64,
        /// It answers with old lists.
        #[serde(default)]
        stale: bool,
        /// Calls that it takes in a second.
        #[serde(default)]
        calls_per_s: f64,
    },
}

impl What {
    /// Whether it has happened, and is over, as soon as it begins; else it stands until it is ended.
    pub fn at_once(&self) -> bool {
        match self {
            What::Link {
                reset,
                cut,
                lose,
                delay_ms,
                jitter_ms,
                reorder,
                twice,
                ..
            } => {
                let sum = lose + delay_ms + jitter_ms + reorder + twice;
                *reset && !cut && sum == 0.0
            }
            What::Counter {
                silent,
                slow_ms,
                busy,
                ..
            } => !silent && !busy && *slow_ms == 0.0,
            _ => false,
        }
    }

    /// As the file names it.
    pub fn kind(&self) -> &'static str {
        match self {
            What::Link { .. } => "link",
            What::Kill { .. } => "kill",
            What::Term { .. } => "term",
            What::Stall { .. } => "stall",
            What::Server { .. } => "server",
            What::Counter { .. } => "counter",
            What::Discovery { .. } => "discovery",
        }
    }
}

/// The links between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// Between limiters.
    Limiters,
    /// From limiters to the counter.
    Counter,
    /// From limiters to discovery.
    Discovery,
    /// From limiters to servers.
    Servers,
    /// From clients to limiters.
    Front,
}

/// Which direction: from `of` to the other end, back, or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// From the one that connects.
    There,
    /// To the one that connects.
    Back,
    /// Both.
    #[default]
    Both,
}

/// Some limiters or servers: `"all"`, `"zone 1"`, numbers as `"3"` and `"0-4,7"`, or a part of them all as
/// `"0%-50%"`, which holds for fleets of any size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Which(Vec<Piece>);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Piece {
    All,
    Zone(usize),
    Numbers(usize, usize),
    Part(f64, f64),
}

impl TryFrom<String> for Which {
    type Error = String;

    fn try_from(text: String) -> Result<Which, String> {
        let bad = || format!("\"{text}\" names nobody: use all, zone 1, 0-4,7 or 0%-50%");
        let number = |word: &str| word.trim().parse::<usize>().ok();
        let part = |word: &str| {
            let told = word
                .trim()
                .strip_suffix('%')
                .and_then(|n| n.parse::<f64>().ok());
            told.filter(|n| (0.0..=100.0).contains(n))
        };
        let piece = |word: &str| {
            let word = word.trim();
            if word == "all" {
                return Some(Piece::All);
            }
            if let Some(zone) = word.strip_prefix("zone ") {
                return number(zone).map(Piece::Zone);
            }
            let (from, to) = word.split_once('-').unwrap_or((word, word));
            match (number(from), number(to), part(from), part(to)) {
                (Some(a), Some(b), ..) if a <= b => Some(Piece::Numbers(a, b)),
                (.., Some(a), Some(b)) if a < b => Some(Piece::Part(a, b)),
                _ => None,
            }
        };
        let pieces: Option<Vec<Piece>> = text.split(',').map(piece).collect();
        pieces.map(Which).ok_or_else(bad)
    }
}

impl From<Which> for String {
    fn from(which: Which) -> String {
        which.to_string()
    }
}

impl fmt::Display for Which {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, piece) in self.0.iter().enumerate() {
            f.write_str(if n > 0 { "," } else { "" })?;
            match piece {
                Piece::All => f.write_str("all")?,
                Piece::Zone(zone) => write!(f, "zone {zone}")?,
                Piece::Numbers(a, b) if a == b => write!(f, "{a}")?,
                Piece::Numbers(a, b) => write!(f, "{a}-{b}")?,
                Piece::Part(a, b) => write!(f, "{a}%-{b}%")?,
            }
        }
        Ok(())
    }
}

impl Which {
    /// Their numbers among `count`, which stand in `zones` in turn.
    pub fn of(&self, count: usize, zones: usize) -> Vec<usize> {
        let place = |share: f64| (share / 100.0 * count as f64).round() as usize;
        let has = |piece: &Piece, n: usize| match *piece {
            Piece::All => true,
            Piece::Zone(zone) => n % zones == zone,
            Piece::Numbers(a, b) => (a..=b).contains(&n),
            Piece::Part(a, b) => (place(a)..place(b)).contains(&n),
        };
        (0..count)
            .filter(|n| self.0.iter().any(|piece| has(piece, *n)))
            .collect()
    }

    /// All of them.
    pub fn all() -> Which {
        Which(vec![Piece::All])
    }

    /// Whether it names none.
    pub fn is_nobody(&self) -> bool {
        self.0.is_empty()
    }
}

/// What the run must keep beside the five rules, each only where it is named.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Units granted over the burst and what the rate brings in the whole time, all customers together.
    pub over_quota: Option<f64>,
    /// The least share of the quotas that is granted.
    pub under_quota: Option<f64>,
    /// The most in any window beyond what the rate brings in it, over the burst.
    pub peak_over_burst: Option<f64>,
    /// Units refused though the quota had room, over the units that had room.
    pub refused_with_room: Option<f64>,
    /// Seconds after the last fault's end until 0.9 of what the quotas allow is in use.
    pub recovery_s: Option<f64>,
    /// Forwards over queries that reached servers.
    pub forwards_per_query: Option<f64>,
}

fn one() -> u64 {
    1
}
fn one_f() -> f64 {
    1.0
}
fn single() -> usize {
    1
}
fn yes() -> bool {
    true
}
fn sixty() -> f64 {
    60.0
}
fn sockets() -> u64 {
    256
}
fn cores() -> usize {
    4
}
fn queue() -> usize {
    64
}
fn connections() -> usize {
    256
}
fn cold_share() -> f64 {
    0.16
}
fn ramp_s() -> f64 {
    6.0
}

impl Scenario {
    /// Reads and checks; a message names the key and its place.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The same with one key replaced, as `limiters.count` or `plans.0.rate`; the key must be there to
    /// replace or be one that the scenario may have.
    pub fn with(text: &str, key: &str, value: &str) -> Result<Scenario, String> {
        let mut root: toml::Value = toml::from_str(text).map_err(|e| e.to_string())?;
        let parsed = value.parse::<i64>().map(toml::Value::Integer);
        let parsed = parsed.or_else(|_| value.parse::<f64>().map(toml::Value::Float));
        let parsed = parsed.or_else(|_| value.parse::<bool>().map(toml::Value::Boolean));
        let parsed = parsed.unwrap_or_else(|_| toml::Value::String(value.to_string()));
        let mut at = &mut root;
        let mut words = key.split('.').peekable();
        while let Some(word) = words.next() {
            let last = words.peek().is_none();
            let missing = || format!("{key}: there is no {word}");
            at = match at {
                toml::Value::Table(table) if last => {
                    table.insert(word.to_string(), parsed);
                    break;
                }
                toml::Value::Table(table) => table
                    .entry(word.to_string())
                    .or_insert_with(|| toml::Value::Table(toml::Table::new())),
                toml::Value::Array(list) => {
                    let place = word.parse::<usize>().ok();
                    let item = place.and_then(|n| list.get_mut(n)).ok_or_else(missing)?;
                    if last {
                        *item = parsed;
                        break;
                    }
                    item
                }
                _ => return Err(missing()),
            };
        }
        let scenario: Scenario = root
            .try_into()
            .map_err(|e: toml::de::Error| format!("{key}: {e}"))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let fits = |key: &str, value: f64, least: f64, most: f64| {
            let fits = value.is_finite() && value >= least && value <= most;
            fits.then_some(()).ok_or(format!(
                "{key} must be from {least} to {most}, and is {value}"
            ))
        };
        let there =
            |key: &str, empty: bool| (!empty).then_some(()).ok_or(format!("{key} is empty"));
        fits("seconds", self.seconds, 0.5, LONGEST_S)?;
        fits(
            "limiters.count",
            self.limiters.count as f64,
            1.0,
            MOST_LIMITERS as f64,
        )?;
        fits(
            "limiters.zones",
            self.limiters.zones as f64,
            1.0,
            self.limiters.count as f64,
        )?;
        fits(
            "limiters.sockets",
            self.limiters.sockets as f64,
            64.0,
            65_536.0,
        )?;
        fits(
            "limiters.datagrams_per_s",
            self.limiters.datagrams_per_s,
            0.0,
            1e6,
        )?;
        fits(
            "servers.count",
            self.servers.count as f64,
            1.0,
            MOST_SERVERS as f64,
        )?;
        fits("servers.cores", self.servers.cores as f64, 1.0, 1024.0)?;
        fits("servers.cold_share", self.servers.cold_share, 0.01, 1.0)?;
        fits("servers.ramp_s", self.servers.ramp_s, 0.0, LONGEST_S)?;
        fits(
            "servers.connections",
            self.servers.connections as f64,
            1.0,
            65_536.0,
        )?;
        fits(
            "servers.handshake_ms",
            self.servers.handshake_ms,
            0.0,
            10_000.0,
        )?;
        fits("counter.calls_per_s", self.counter.calls_per_s, 1.0, 1e6)?;
        fits(
            "counter.busy_after_ms",
            self.counter.busy_after_ms,
            0.0,
            60_000.0,
        )?;
        fits("counter.wait_ms", self.counter.wait_ms, 1.0, 10_000.0)?;
        fits("discovery.late_ms", self.discovery.late_ms, 0.0, 60_000.0)?;
        fits(
            "discovery.calls_per_s",
            self.discovery.calls_per_s,
            0.0,
            1e6,
        )?;
        fits("rules.drain_grace_s", self.rules.drain_grace_s, 0.0, 600.0)?;
        fits("rules.fall_multiple", self.rules.fall_multiple, 0.1, 1000.0)?;
        fits("rules.fall_s", self.rules.fall_s, 0.1, 600.0)?;
        there("groups", self.groups.is_empty())?;
        there("plans", self.plans.is_empty())?;
        there("customers", self.customers.is_empty())?;
        for (n, group) in self.groups.iter().enumerate() {
            fits(&format!("groups.{n}.work_ms"), group.work_ms, 0.0, 60_000.0)?;
            fits(
                &format!("groups.{n}.slo_s"),
                group.slo_s,
                0.001,
                group.limit_s,
            )?;
            fits(&format!("groups.{n}.limit_s"), group.limit_s, 0.001, 600.0)?;
        }
        for (n, plan) in self.plans.iter().enumerate() {
            fits(&format!("plans.{n}.rate"), plan.rate, 0.0, 1e6)?;
            fits(&format!("plans.{n}.burst"), plan.burst, 0.0, 1e6)?;
            fits(
                &format!("plans.{n}.ceiling_rate"),
                plan.ceiling_rate,
                0.0,
                1e6,
            )?;
            fits(
                &format!("plans.{n}.ceiling_burst"),
                plan.ceiling_burst,
                0.0,
                1e6,
            )?;
        }
        for (n, c) in self.customers.iter().enumerate() {
            let known = self.plans.iter().any(|p| p.name == c.plan);
            known
                .then_some(())
                .ok_or(format!("customers.{n}.plan is no plan: {}", c.plan))?;
            let unknown = c
                .groups
                .iter()
                .find(|g| self.groups.iter().all(|known| known.name != **g));
            unknown.map_or(Ok(()), |g| {
                Err(format!("customers.{n}.groups names no endpoint group: {g}"))
            })?;
            fits(
                &format!("customers.{n}.count"),
                c.count as f64,
                1.0,
                10_000.0,
            )?;
            fits(&format!("customers.{n}.spread"), c.spread, 0.0, 1.0)?;
            fits(
                &format!("customers.{n}.queries_per_s"),
                c.queries_per_s,
                0.0,
                100_000.0,
            )?;
            fits(&format!("customers.{n}.units"), c.units, 0.001, 1000.0)?;
            fits(&format!("customers.{n}.uneven"), c.uneven, 0.0, 1.0)?;
            fits(&format!("customers.{n}.moves_s"), c.moves_s, 0.0, LONGEST_S)?;
        }
        for (n, fault) in self.faults.iter().enumerate() {
            fits(&format!("faults.{n}.at_s"), fault.at_s, 0.0, self.seconds)?;
            fits(
                &format!("faults.{n}.for_s"),
                fault.for_s.unwrap_or(0.0),
                0.0,
                LONGEST_S,
            )?;
            fits(
                &format!("faults.{n}.every_s"),
                fault.every_s.unwrap_or(1.0),
                0.05,
                LONGEST_S,
            )?;
            self.check_fault(fault)
                .map_err(|e| format!("faults.{n}.{e}"))?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let (limiters, servers) = (self.limiters.count, self.servers.count);
        let named = |key: &str, which: &Which, count: usize| {
            let nobody = which.of(count, self.limiters.zones).is_empty();
            (!nobody)
                .then_some(())
                .ok_or(format!("{key} names none of {count}: {which}"))
        };
        let share = |key: &str, value: f64| {
            let fits = (0.0..=1.0).contains(&value);
            fits.then_some(())
                .ok_or(format!("{key} must be from 0 to 1, and is {value}"))
        };
        match &fault.what {
            What::Link {
                path,
                of,
                to,
                lose,
                reorder,
                twice,
                delay_ms,
                jitter_ms,
                ..
            } => {
                named("of", of, limiters)?;
                match path {
                    Path::Limiters => named("to", to, limiters)?,
                    Path::Servers if !to.is_nobody() => named("to", to, servers)?,
                    _ => {}
                }
                share("lose", *lose)?;
                share("reorder", *reorder)?;
                share("twice", *twice)?;
                let late = delay_ms + jitter_ms;
                let fits =
                    late.is_finite() && *delay_ms >= 0.0 && *jitter_ms >= 0.0 && late <= 60_000.0;
                fits.then_some(())
                    .ok_or(format!("delay_ms and jitter_ms make {late}"))
            }
            What::Kill { of } | What::Term { of } | What::Stall { of } => named("of", of, limiters),
            What::Server {
                of,
                failing,
                resetting,
                slow,
                ..
            } => {
                named("of", of, servers)?;
                share("failing", *failing)?;
                share("resetting", *resetting)?;
                let fits = slow.is_finite() && *slow >= 0.0;
                fits.then_some(()).ok_or(format!("slow is absurd: {slow}"))
            }
            What::Counter { .. } if !self.counter.there => {
                Err("kind counter: the scenario has no counter".into())
            }
            What::Counter { slow_ms, .. } => {
                let fits = slow_ms.is_finite() && *slow_ms >= 0.0;
                fits.then_some(())
                    .ok_or(format!("slow_ms is absurd: {slow_ms}"))
            }
            What::Discovery {
                late_ms,
                calls_per_s,
                ..
            } => {
                let fits = [late_ms, calls_per_s]
                    .iter()
                    .all(|n| n.is_finite() && **n >= 0.0);
                fits.then_some(()).ok_or(format!(
                    "late_ms or calls_per_s is absurd: {late_ms}, {calls_per_s}"
                ))
            }
        }
    }

    /// The zone of a limiter or a server by its number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.limiters.zones
    }
}
