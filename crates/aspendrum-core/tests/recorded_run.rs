//! Long drawn runs of the decision engine, pinned action by action: what a run decided at the
//! commit that recorded it, it decides today, to the last bit of each number.
//!
//! `fixtures/recorded_runs.txt` holds a line for each second of each run: how many actions of each
//! kind, and a digest of all their numbers. The first second that differs is where behaviour has
//! changed. The text of actions is left out of the digest, the numbers in it are not wire formats.
//! Only a wanted change of decisions may change the fixture; its commit says which.

use aspendrum_core::api::{
    Action, Event, GroupSettings, Health, ListKind, LoadReport, LoadReportChannel, LoadValue,
    NewRequest, Outcome, PlanSettings, RepeatGroup, Semantics, ServerEntry, Settings,
};
use aspendrum_core::engine::DecisionEngine;
use std::collections::HashMap;
use std::fmt::Write;
use test_case::test_case;

mod common;

const STEP: f64 = 5.0;
const SECOND: u64 = 200;
const STARTED: f64 = 100_000.0;
const KINDS: usize = 13;

/// SplitMix64 (Steele, Lea and Flood, 2014): what the world around the instances draws from.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 8) % end
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// FNV-1a of 64 bits, and how many actions of each kind.
struct Digest {
    hash: u64,
    kinds: [u32; KINDS],
}

impl Default for Digest {
    fn default() -> Self {
        Digest {
            hash: 0xcbf2_9ce4_8422_2325,
            kinds: [0; KINDS],
        }
    }
}

impl Digest {
    fn number(&mut self, number: u64) {
        for byte in number.to_be_bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    fn action(&mut self, engine: usize, action: &Action) {
        self.number(engine as u64);
        let kind = match action {
            Action::Forward {
                id,
                server,
                timeout,
            } => {
                self.number(*id);
                self.number((*server).into());
                self.float(*timeout);
                0
            }
            Action::Shed {
                id,
                retry_after,
                beyond_quota: beyond,
            } => {
                self.number(*id);
                self.float(*retry_after);
                self.number((*beyond).into());
                1
            }
            Action::Drop { id } => {
                self.number(*id);
                2
            }
            Action::Cancel { id, forward } => {
                self.number(*id);
                self.number((*forward).into());
                3
            }
            Action::AddToCounter {
                name,
                units: add,
                ttl,
            } => {
                self.number(*name);
                self.number(add.to_bits().into());
                self.float(*ttl);
                4
            }
            Action::Probe { server } => {
                self.number((*server).into());
                5
            }
            Action::CloseConnections { server } => {
                self.number((*server).into());
                6
            }
            Action::Timer { token, wait } => {
                self.number((*token).into());
                self.float(*wait);
                7
            }
            Action::FetchServers => 8,
            Action::WatchServers { on } => {
                self.number((*on).into());
                9
            }
            Action::SendDatagram { to, data } => {
                self.number(to.map_or(u64::MAX, u64::from));
                data.iter().for_each(|byte| self.number((*byte).into()));
                10
            }
            Action::Log(_) => 11,
            Action::Fault(_) => 12,
        };
        self.number(kind as u64);
        self.kinds[kind] += 1;
    }
}

/// What is on its way to a instance, due at a step.
enum Arrival {
    Forward {
        id: u64,
        forward: u8,
        server: u32,
        outcome: Outcome,
        rtt: f64,
        actual: u16,
    },
    Stream {
        id: u64,
        server: u32,
    },
    Counter {
        name: u64,
        outcome: Outcome,
        total: f32,
        rtt: f64,
    },
    Probe {
        server: u32,
        outcome: Outcome,
    },
    Datagram {
        from: u16,
        data: Vec<u8>,
    },
}

/// What the world does to the instances, by the second of the run.
struct Script {
    settings: Settings,
    seconds: u64,
    servers: u32,
    /// Answer times are multiplied by this.
    slowness: f64,
    /// One attempt in so many fails; at server 4 one in three.
    failing_in: u64,
    /// One new request in so many draws.
    request_in: u64,
    /// Draws a step.
    draws_a_step: u64,
    tenants: u64,
    /// The counter's state in that second.
    counter: fn(u64) -> Counter,
    /// Whether the second instance gets datagrams of the first in that second.
    linked: fn(u64, usize, usize) -> bool,
    /// All instances get another configuration in that second.
    configured_at: Option<u64>,
    /// A instance is killed and starts again every so many seconds; 0: never.
    killed_every: u64,
    spreads: &'static [f32],
}

#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Answers,
    Slow,
    Overfull,
    Silent,
    Refuses,
}

struct World {
    script: Script,
    draws: Draws,
    step: u64,
    engines: Vec<DecisionEngine>,
    due: HashMap<u64, Vec<(usize, Arrival)>>,
    totals: HashMap<u64, f32>,
    /// Forwards of each request so far, by instance and request.
    forwards: HashMap<(usize, u64), Vec<(u32, bool)>>,
    next_request: u64,
    health: Vec<(Health, f64)>,
    digest: Digest,
    text: String,
}

impl World {
    fn new(script: Script, seed: u64) -> World {
        let mut world = World {
            draws: Draws(seed),
            step: 0,
            engines: Vec::new(),
            due: HashMap::new(),
            totals: HashMap::new(),
            forwards: HashMap::new(),
            next_request: 0,
            health: vec![(Health::Ready, 0.0); script.servers as usize],
            digest: Digest::default(),
            text: String::new(),
            script,
        };
        for instance in 0..world.script.settings.instances as usize {
            let engine = world.start(instance);
            world.engines.push(engine);
        }
        for instance in 0..world.engines.len() {
            world.send_server_list(instance, ListKind::Full);
        }
        world
    }

    fn now(&self) -> f64 {
        STARTED + self.step as f64 * STEP
    }

    fn second(&self) -> u64 {
        self.step / SECOND
    }

    fn start(&mut self, instance: usize) -> DecisionEngine {
        let settings = Settings {
            instance: instance as u32,
            ..self.script.settings.clone()
        };
        let mut out = Vec::new();
        let engine = DecisionEngine::new(self.now(), 7 + instance as u64, &settings, &mut out);
        out.iter()
            .for_each(|action| self.digest.action(instance, action));
        engine
    }

    fn handle(&mut self, instance: usize, event: &Event<'_>) {
        let mut out = Vec::new();
        let now = self.now();
        self.engines[instance].handle(now, event, &mut out);
        for action in &out {
            self.digest.action(instance, action);
            self.carry_out(instance, action);
        }
    }

    fn later(&mut self, steps: u64, instance: usize, arrival: Arrival) {
        self.due
            .entry(self.step + steps.max(1))
            .or_default()
            .push((instance, arrival));
    }

    fn carry_out(&mut self, instance: usize, action: &Action) {
        match *action {
            Action::Forward { id, server, .. } => self.forward(instance, id, server),
            Action::Cancel { id, forward } => {
                if let Some(sent) = self.forwards.get_mut(&(instance, id)) {
                    let (server, open) = &mut sent[usize::from(forward)];
                    let (server, was_open) = (*server, std::mem::replace(open, false));
                    let (outcome, rtt, actual) = (Outcome::Cancelled, 9.0, 0);
                    if was_open {
                        self.later(
                            1,
                            instance,
                            Arrival::Forward {
                                id,
                                forward,
                                server,
                                outcome,
                                rtt,
                                actual,
                            },
                        );
                    }
                }
            }
            Action::AddToCounter {
                name, units: add, ..
            } => self.count(instance, name, add),
            Action::Probe { server } => {
                let outcome = if self.draws.one_in(4) {
                    Outcome::TimedOut
                } else {
                    Outcome::Ok
                };
                self.later(3, instance, Arrival::Probe { server, outcome });
            }
            Action::SendDatagram {
                to: Some(to),
                ref data,
            } => {
                let to = to as usize;
                if !(self.script.linked)(self.second(), instance, to) || self.draws.one_in(15) {
                    return;
                }
                let steps = 1 + self.draws.below(4);
                self.later(
                    steps,
                    to,
                    Arrival::Datagram {
                        from: instance as u16,
                        data: data.clone(),
                    },
                );
                if self.draws.one_in(20) {
                    let steps = 1 + self.draws.below(300);
                    self.later(
                        steps,
                        to,
                        Arrival::Datagram {
                            from: instance as u16,
                            data: data.clone(),
                        },
                    );
                }
            }
            _ => {}
        }
    }

    fn forward(&mut self, instance: usize, id: u64, server: u32) {
        let sent = self.forwards.entry((instance, id)).or_default();
        sent.push((server, true));
        let forward = (sent.len() - 1) as u8;
        // Server 2 hangs and comes back; server 3 is slow; server 4 fails much.
        let second = self.second();
        if server == 2 && second % 6 >= 4 {
            let (outcome, rtt, actual) = (Outcome::TimedOut, 1500.0, 0);
            return self.later(
                300,
                instance,
                Arrival::Forward {
                    id,
                    forward,
                    server,
                    outcome,
                    rtt,
                    actual,
                },
            );
        }
        let rtt = 10.0 + self.draws.below(40) as f64 + if server == 3 { 120.0 } else { 0.0 };
        let rtt = rtt * self.script.slowness;
        let failing = if server == 4 {
            3
        } else {
            self.script.failing_in
        };
        let outcome = if self.draws.one_in(failing) {
            let failures = [
                Outcome::Error,
                Outcome::Rejected,
                Outcome::TimedOut,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::NotSent,
            ];
            failures[self.draws.below(6) as usize]
        } else {
            Outcome::Ok
        };
        let actual = self.draws.below(3) as u16;
        if self.draws.one_in(30) {
            self.later(1, instance, Arrival::Stream { id, server });
        }
        let steps = (rtt / STEP) as u64;
        self.later(
            steps,
            instance,
            Arrival::Forward {
                id,
                forward,
                server,
                outcome,
                rtt,
                actual,
            },
        );
    }

    fn count(&mut self, instance: usize, name: u64, add: f32) {
        let state = (self.script.counter)(self.second());
        let (outcome, steps) = match state {
            Counter::Answers => (Outcome::Ok, 1),
            Counter::Slow => (Outcome::Ok, 2 + self.draws.below(4)),
            Counter::Overfull if self.draws.one_in(3) => (Outcome::Rejected, 1),
            Counter::Overfull => (Outcome::Ok, 2),
            Counter::Silent => (Outcome::TimedOut, 6),
            Counter::Refuses => (Outcome::ConnectFailed, 1),
        };
        let adds = outcome == Outcome::Ok || outcome == Outcome::TimedOut && self.draws.one_in(2);
        let total = self.totals.entry(name).or_default();
        *total += if adds { add } else { 0.0 };
        let (total, rtt) = (*total, steps as f64 * STEP);
        self.later(
            steps,
            instance,
            Arrival::Counter {
                name,
                outcome,
                total,
                rtt,
            },
        );
    }

    fn arrive(&mut self, instance: usize, arrival: Arrival) {
        match arrival {
            Arrival::Forward {
                id,
                forward,
                server,
                outcome,
                rtt,
                actual,
            } => {
                if let Some(sent) = self.forwards.get_mut(&(instance, id)) {
                    let was_open = std::mem::replace(&mut sent[usize::from(forward)].1, false);
                    if !was_open && outcome != Outcome::Cancelled {
                        return;
                    }
                }
                let over = outcome == Outcome::Ok || outcome == Outcome::Error && id % 2 == 0;
                let load = self.load();
                let used = actual;
                self.handle(
                    instance,
                    &Event::AttemptEnded {
                        id,
                        forward,
                        server,
                        outcome,
                        rtt,
                        is_final: over,
                        metered: used,
                        actual_units: actual,
                        load,
                    },
                );
            }
            Arrival::Stream { id, server } => {
                self.handle(
                    instance,
                    &Event::StreamStarted {
                        id,
                        forward: 0,
                        server,
                        rtt: 4.0,
                    },
                );
            }
            Arrival::Counter {
                name,
                outcome,
                total,
                rtt,
            } => {
                self.handle(
                    instance,
                    &Event::CounterReplied {
                        name,
                        outcome,
                        total,
                        rtt,
                    },
                );
            }
            Arrival::Probe { server, outcome } => {
                let load = self.load();
                self.handle(
                    instance,
                    &Event::ProbeEnded {
                        server,
                        outcome,
                        rtt: 3.0,
                        load,
                    },
                );
            }
            Arrival::Datagram { from, data } => {
                self.handle(instance, &Event::DatagramReceived { from, data: &data })
            }
        }
    }

    fn load(&mut self) -> LoadReport {
        let busy = self.draws.below(120) as f32 / 100.0;
        match self.draws.below(8) {
            0 => LoadReport::default(),
            1 if self.draws.one_in(3) => LoadReport {
                count: 1,
                values: [9.0, 0.0, 0.0, 0.0],
            },
            1 => LoadReport {
                count: 1,
                values: [f32::NAN, 0.0, 0.0, 0.0],
            },
            2..=4 => LoadReport {
                count: 1,
                values: [busy, 0.0, 0.0, 0.0],
            },
            _ => LoadReport {
                count: 2,
                values: [busy, busy / 2.0, 0.0, 0.0],
            },
        }
    }

    fn server_entries(&self) -> Vec<ServerEntry> {
        let member = |(at, (health, started)): (usize, &(Health, f64))| ServerEntry {
            server: at as u32 + 1,
            pool: u16::from(at % 7 == 6),
            health: *health,
            cell: (at % 3) as u16,
            zone: (at % 2) as u8,
            distance_cost: if at % 5 == 4 { 1.5 } else { 0.0 },
            capacity: if at % 4 == 3 { 2.0 } else { 1.0 },
            kind: 0,
            started_at: *started,
        };
        self.health.iter().enumerate().map(member).collect()
    }

    fn send_server_list(&mut self, instance: usize, list: ListKind) {
        let entries = self.server_entries();
        let version = self.step as u32;
        self.handle(
            instance,
            &Event::ServerList {
                list,
                version,
                entries: &entries,
            },
        );
    }

    /// A server drains, goes, comes back or starts again.
    fn change_servers(&mut self) {
        let at = self.draws.below(self.health.len() as u64) as usize;
        self.health[at] = match self.health[at].0 {
            Health::Ready if self.draws.one_in(2) => (Health::Draining, self.health[at].1),
            Health::Ready => (Health::Ready, self.now()),
            Health::Draining => (Health::Removed, self.health[at].1),
            Health::Removed => (Health::Ready, self.now() - self.draws.below(3000) as f64),
        };
        let kinds = [
            ListKind::Delta,
            ListKind::Full,
            ListKind::Cached,
            ListKind::Failed,
        ];
        let list = kinds[self.draws.below(4) as usize];
        (0..self.engines.len()).for_each(|instance| self.send_server_list(instance, list));
    }

    fn request(&mut self, instance: usize) {
        let id = self.next_request;
        self.next_request += 1;
        let (groups, plans) = (
            self.script.settings.groups.len(),
            self.script.settings.plans.len(),
        );
        // New tenants come and old ones stay away as time goes on.
        let tenant = self.draws.below(self.script.tenants) + self.second() / 2;
        let spreads = self.script.spreads;
        let spread = spreads[(self.second() / 3) as usize % spreads.len()];
        let new = NewRequest {
            id,
            group: self.draws.below(groups as u64) as u16,
            deadline: self.now() + 800.0 + self.draws.below(2000) as f64,
            tenant,
            // One request in a thousand names a plan that is not there.
            plan: if id % 1000 == 999 {
                99
            } else {
                tenant as u32 % plans as u32
            },
            instances: spread,
            units: [1.0, 1.0, 2.0, 0.5][self.draws.below(4) as usize],
            first_instance: (tenant % u64::from(self.script.settings.instances)) as f32,
            is_client_retry: self.draws.one_in(10),
            is_write: self.draws.one_in(3),
            pool: u16::from(self.draws.one_in(12)),
            allowed_zones: if self.draws.one_in(10) { 2 } else { u64::MAX },
            max_attempts: if self.draws.one_in(10) { 1 } else { u8::MAX },
        };
        self.handle(instance, &Event::Request(new));
        if self.draws.one_in(40) {
            self.handle(instance, &Event::ClientDisconnected { id });
        }
        // One that is known already.
        let open = self
            .forwards
            .get(&(instance, id))
            .is_some_and(|sent| sent.iter().any(|forward| forward.1));
        if open && self.draws.one_in(50) {
            self.handle(instance, &Event::Request(new));
        }
    }

    fn configure(&mut self) {
        let mut plans = self.script.settings.plans.clone();
        plans[0].rate *= 1.5;
        plans[0].burst *= 2.0;
        plans.push(PlanSettings {
            rate: 9.0,
            burst: 3.0,
            ..plans[0].clone()
        });
        let mut groups = self.script.settings.groups.clone();
        groups.push(GroupSettings {
            latency_target: 400.0,
            ..groups[0].clone()
        });
        for engine in &mut self.engines {
            engine.configure(&groups, &plans);
            engine.configure(&groups[..1], &plans[..1]);
        }
        (self.script.settings.groups, self.script.settings.plans) = (groups, plans);
    }

    fn step(&mut self) {
        self.step += 1;
        for (instance, arrival) in self.due.remove(&self.step).unwrap_or_default() {
            self.arrive(instance, arrival);
        }
        for instance in 0..self.engines.len() {
            for _ in 0..self.script.draws_a_step {
                if self.draws.one_in(self.script.request_in) {
                    self.request(instance);
                }
            }
        }
        if self.draws.one_in(200) {
            self.change_servers();
        }
        if self.draws.one_in(300) {
            let data: Vec<u8> = (0..self.draws.below(24))
                .map(|_| self.draws.below(256) as u8)
                .collect();
            let instance = self.draws.below(self.engines.len() as u64) as usize;
            let from = self.draws.below(60) as u16;
            self.handle(instance, &Event::DatagramReceived { from, data: &data });
        }
        (0..self.engines.len())
            .for_each(|instance| self.handle(instance, &Event::Timer { token: 0 }));
        if self.step.is_multiple_of(SECOND) {
            self.end_second();
        }
    }

    fn end_second(&mut self) {
        let second = self.second();
        let Digest { hash, kinds } = std::mem::take(&mut self.digest);
        let kinds: Vec<String> = kinds.iter().map(u32::to_string).collect();
        writeln!(self.text, "{second} {} {hash:016x}", kinds.join(" ")).unwrap();
        if self.script.configured_at == Some(second) {
            self.configure();
        }
        if self.script.killed_every > 0 && second.is_multiple_of(self.script.killed_every) {
            let instance = self.draws.below(self.engines.len() as u64) as usize;
            self.engines[instance] = self.start(instance);
            self.forwards.retain(|of, _| of.0 != instance);
            self.due
                .values_mut()
                .for_each(|due| due.retain(|(of, _)| *of != instance));
            self.send_server_list(instance, ListKind::Full);
        }
    }

    fn play(mut self) -> String {
        while self.second() < self.script.seconds {
            self.step();
        }
        self.text
    }
}

fn group(
    semantics: Semantics,
    repeat_group: RepeatGroup,
    slo: f64,
    importance: f64,
) -> GroupSettings {
    GroupSettings {
        latency_target: slo,
        hard_limit: 3.0 * slo,
        semantics,
        repeat_group,
        repeat_window: 60.0,
        importance,
        late_value_share: 0.0,
        is_streaming: false,
    }
}

fn plan(rate: f64, burst: f64) -> PlanSettings {
    PlanSettings {
        is_windowed: false,
        rate,
        burst,
        price: 1.0,
        overage_value: 0.0,
        overage_cost: 1.0,
        max_in_flight: 0,
        rate_limit: 0.0,
        rate_limit_burst: 0.0,
        rate_limit_slack: 0.0,
    }
}

fn base() -> Settings {
    let groups = vec![
        group(Semantics::Idempotent, RepeatGroup::All, 500.0, 1.0),
        group(Semantics::Deduplicated, RepeatGroup::Zone, 800.0, 2.0),
        group(Semantics::Deduplicated, RepeatGroup::Cell, 300.0, 0.5),
        group(Semantics::NonIdempotent, RepeatGroup::All, 600.0, 1.5),
    ];
    let rate_limit = PlanSettings {
        rate_limit: 9.0,
        rate_limit_burst: 18.0,
        ..plan(4.0, 8.0)
    };
    let overdraft = PlanSettings {
        overage_value: 0.8,
        overage_cost: 0.2,
        rate_limit: 60.0,
        rate_limit_burst: 50.0,
        ..plan(6.0, 6.0)
    };
    let limited = PlanSettings {
        max_in_flight: 5,
        price: 2.0,
        ..plan(20.0, 40.0)
    };
    let windowed = PlanSettings {
        is_windowed: true,
        ..plan(8.0, 8.0)
    };
    Settings {
        groups,
        plans: vec![
            plan(5.0, 10.0),
            rate_limit,
            overdraft,
            limited,
            windowed,
            plan(0.0, 0.0),
            plan(0.5, 1.5),
        ],
        cross_zone_price: 0.02,
        max_units: 2.0,
        max_retry_after: 900.0,
        ..common::settings(Semantics::Idempotent, RepeatGroup::All)
    }
}

/// Answers, then each fault in turn, then answers again.
fn troubled(second: u64) -> Counter {
    match second {
        0..=7 => Counter::Answers,
        8..=11 => Counter::Slow,
        12..=16 => Counter::Overfull,
        17..=21 => Counter::Silent,
        22..=26 => Counter::Answers,
        27..=31 => Counter::Refuses,
        _ => Counter::Answers,
    }
}

fn small_fleet() -> Script {
    Script {
        settings: Settings {
            instances: 3,
            cost_known_after: true,
            ..base()
        },
        seconds: 45,
        servers: 40,
        slowness: 1.0,
        request_in: 2,
        draws_a_step: 1,
        failing_in: 60,
        tenants: 23,
        counter: troubled,
        linked: |_, _, _| true,
        configured_at: Some(36),
        killed_every: 13,
        spreads: &[3.0, 2.0, 1.0],
    }
}

/// One instance of a large fleet's settings, driven hard: without a counter, with reports by
/// probes, no advice and no cancels.
fn no_counter() -> Script {
    let settings = Settings {
        instances: 1,
        has_counter: false,
        counter_timeout: 0.0,
        may_cancel: false,
        sends_retry_after: false,
        load_reports: LoadReportChannel::Probes,
        polls_discovery: true,
        max_attempts: 2,
        slow_start_time: 4000.0,
        ..base()
    };
    Script {
        settings,
        seconds: 30,
        servers: 24,
        slowness: 1.0,
        request_in: 1,
        draws_a_step: 1,
        failing_in: 60,
        tenants: 40,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        killed_every: 0,
        spreads: &[1.0],
    }
}

/// Two instances whose servers are slow and busy, with more requests than they can take, many
/// beyond their quota.
fn overload() -> Script {
    Script {
        settings: Settings {
            slow_start_time: 4000.0,
            collapse_multiple: 2.0,
            max_attempts: 3,
            ..base()
        },
        seconds: 30,
        servers: 30,
        slowness: 5.0,
        request_in: 1,
        draws_a_step: 1,
        failing_in: 60,
        tenants: 9,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        killed_every: 0,
        spreads: &[2.0],
    }
}

/// One instance that drives servers as hard as their concurrency limits allow, without quotas.
fn saturation() -> Script {
    Script {
        settings: Settings {
            instances: 1,
            has_counter: false,
            counter_timeout: 0.0,
            slow_start_time: 0.0,
            plans: vec![plan(0.0, 0.0)],
            ..base()
        },
        seconds: 20,
        servers: 12,
        slowness: 0.4,
        request_in: 1,
        draws_a_step: 24,
        failing_in: 4000,
        tenants: 5,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        killed_every: 0,
        spreads: &[1.0],
    }
}

/// A hundred instances that jam a few slow servers, of which some have just started, without
/// quotas.
fn crowd() -> Script {
    Script {
        settings: Settings {
            instances: 100,
            has_counter: false,
            counter_timeout: 0.0,
            slow_start_time: 6000.0,
            plans: vec![plan(0.0, 0.0)],
            ..base()
        },
        seconds: 15,
        servers: 12,
        slowness: 12.0,
        request_in: 20,
        draws_a_step: 1,
        failing_in: 400,
        tenants: 50,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        killed_every: 4,
        spreads: &[100.0],
    }
}

/// Instances that speak to each other: the owner of a tenant's quota is asked, units are lent,
/// links are cut.
fn large_fleet(counter: fn(u64) -> Counter) -> Script {
    let settings = Settings {
        instances: 40,
        may_send_datagrams: true,
        load_values: vec![LoadValue::Unknown, LoadValue::CpuUtilization],
        peer_datagrams_per_second: 60.0,
        ..base()
    };
    Script {
        settings,
        seconds: 40,
        servers: 60,
        slowness: 1.0,
        request_in: 8,
        draws_a_step: 1,
        failing_in: 60,
        tenants: 30,
        counter,
        linked: |second, a, b| match second {
            0..=9 => true,
            10..=15 => a / 20 == b / 20,
            16..=20 => b >= 6,
            21..=25 => a >= 6,
            _ => true,
        },
        configured_at: Some(33),
        killed_every: 3,
        spreads: &[40.0, 38.0],
    }
}

#[test_case("small_fleet", small_fleet ; "small fleet with a counter in trouble")]
#[test_case("no_counter", no_counter ; "one instance without a counter")]
#[test_case("overload", overload ; "overload")]
#[test_case("saturation", saturation ; "saturated servers")]
#[test_case("crowd", crowd ; "a hundred instances and slow servers")]
#[test_case("large_fleet", || large_fleet(troubled) ; "large fleet with a counter in trouble")]
#[test_case("large_fleet_alone", || large_fleet(|_| Counter::Silent) ; "large fleet whose counter never answers")]
fn a_drawn_run_decides_as_recorded(name: &str, script: fn() -> Script) {
    let fixture = include_str!("fixtures/recorded_runs.txt");
    let mut recorded = fixture
        .split("\n\n")
        .filter_map(|run| run.strip_prefix(&format!("{name}\n")));
    let recorded = recorded.next().unwrap_or("").trim_end();
    let played = World::new(script(), 0x5eed).play();
    let differs = played.lines().zip(recorded.lines()).find(|(a, b)| a != b);
    assert!(
        played.trim_end() == recorded,
        "{name} differs first at {differs:?}; it plays\n{name}\n{played}"
    );
}
