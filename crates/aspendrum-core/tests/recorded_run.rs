//! Replays long randomized runs of the decision engine and compares every action with a recording,
//! to the last bit of each number.
//!
//! `fixtures/recorded_runs.txt` holds a line for each second of each run: the number of actions of
//! each kind and a digest of all their numbers. The first differing second shows where the
//! behaviour has changed. The text of actions is not part of the digest. The kind numbers in it are
//! not a wire format. The fixture may only change with an intended change of decisions, which its
//! commit describes.

use aspendrum_core::api::{
    Action, Event, GroupSettings, Health, ListKind, LoadReport, LoadReportChannel, LoadValue,
    NewRequest, Outcome, PlanSettings, RepeatGroup, Semantics, ServerEntry, Settings, ZoneSet,
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

/// The random number generator of the simulated environment: SplitMix64 (Steele, Lea and Flood,
/// 2014).
struct SimulationRng(u64);

impl SimulationRng {
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

/// A 64-bit FNV-1a digest, and the number of actions of each kind.
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
            Action::Cancel { id, attempt } => {
                self.number(*id);
                self.number((*attempt).into());
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

/// A scheduled event for an instance.
enum ScheduledEvent {
    Forward {
        id: u64,
        attempt: u8,
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

/// The parameters of a simulated run.
struct Script {
    settings: Settings,
    seconds: u64,
    servers: u32,
    /// The factor by which response times are multiplied.
    response_time_factor: f64,
    /// One in this many attempts fails; at server 4, one in three.
    failure_interval: u64,
    /// One in this many draws creates a request.
    request_interval: u64,
    /// The number of draws per step.
    draws_per_step: u64,
    tenants: u64,
    /// The counter's state in each second of the run.
    counter: fn(u64) -> Counter,
    /// Whether the second instance receives datagrams of the first, in each second of the run.
    linked: fn(u64, usize, usize) -> bool,
    /// The second in which all instances get a new configuration.
    configured_at: Option<u64>,
    /// The interval in seconds at which an instance is killed and restarted; 0: never.
    kill_interval: u64,
    instance_counts: &'static [f32],
}

#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Answers,
    Slow,
    Overloaded,
    Silent,
    Refuses,
}

struct World {
    script: Script,
    rng: SimulationRng,
    step: u64,
    engines: Vec<DecisionEngine>,
    due: HashMap<u64, Vec<(usize, ScheduledEvent)>>,
    totals: HashMap<u64, f32>,
    /// The attempts so far, by instance and request.
    forwards: HashMap<(usize, u64), Vec<(u32, bool)>>,
    next_request: u64,
    health: Vec<(Health, f64)>,
    digest: Digest,
    text: String,
}

impl World {
    fn new(script: Script, seed: u64) -> World {
        let mut world = World {
            rng: SimulationRng(seed),
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
            self.execute(instance, action);
        }
    }

    fn schedule(&mut self, steps: u64, instance: usize, scheduled: ScheduledEvent) {
        self.due
            .entry(self.step + steps.max(1))
            .or_default()
            .push((instance, scheduled));
    }

    fn execute(&mut self, instance: usize, action: &Action) {
        match *action {
            Action::Forward { id, server, .. } => self.forward(instance, id, server),
            Action::Cancel { id, attempt } => {
                if let Some(sent) = self.forwards.get_mut(&(instance, id)) {
                    let (server, open) = &mut sent[usize::from(attempt)];
                    let (server, was_open) = (*server, std::mem::replace(open, false));
                    let (outcome, rtt, actual) = (Outcome::Cancelled, 9.0, 0);
                    if was_open {
                        self.schedule(
                            1,
                            instance,
                            ScheduledEvent::Forward {
                                id,
                                attempt,
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
                let outcome = if self.rng.one_in(4) {
                    Outcome::TimedOut
                } else {
                    Outcome::Ok
                };
                self.schedule(3, instance, ScheduledEvent::Probe { server, outcome });
            }
            Action::SendDatagram {
                to: Some(to),
                ref data,
            } => {
                let to = to as usize;
                if !(self.script.linked)(self.second(), instance, to) || self.rng.one_in(15) {
                    return;
                }
                let steps = 1 + self.rng.below(4);
                self.schedule(
                    steps,
                    to,
                    ScheduledEvent::Datagram {
                        from: instance as u16,
                        data: data.clone(),
                    },
                );
                if self.rng.one_in(20) {
                    let steps = 1 + self.rng.below(300);
                    self.schedule(
                        steps,
                        to,
                        ScheduledEvent::Datagram {
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
        let attempt = (sent.len() - 1) as u8;
        // Server 2 hangs and recovers, server 3 is slow, and server 4 fails often.
        let second = self.second();
        if server == 2 && second % 6 >= 4 {
            let (outcome, rtt, actual) = (Outcome::TimedOut, 1500.0, 0);
            return self.schedule(
                300,
                instance,
                ScheduledEvent::Forward {
                    id,
                    attempt,
                    server,
                    outcome,
                    rtt,
                    actual,
                },
            );
        }
        let rtt = 10.0 + self.rng.below(40) as f64 + if server == 3 { 120.0 } else { 0.0 };
        let rtt = rtt * self.script.response_time_factor;
        let failing = if server == 4 {
            3
        } else {
            self.script.failure_interval
        };
        let outcome = if self.rng.one_in(failing) {
            let failures = [
                Outcome::Error,
                Outcome::Rejected,
                Outcome::TimedOut,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::NotSent,
            ];
            failures[self.rng.below(6) as usize]
        } else {
            Outcome::Ok
        };
        let actual = self.rng.below(3) as u16;
        if self.rng.one_in(30) {
            self.schedule(1, instance, ScheduledEvent::Stream { id, server });
        }
        let steps = (rtt / STEP) as u64;
        self.schedule(
            steps,
            instance,
            ScheduledEvent::Forward {
                id,
                attempt,
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
            Counter::Slow => (Outcome::Ok, 2 + self.rng.below(4)),
            Counter::Overloaded if self.rng.one_in(3) => (Outcome::Rejected, 1),
            Counter::Overloaded => (Outcome::Ok, 2),
            Counter::Silent => (Outcome::TimedOut, 6),
            Counter::Refuses => (Outcome::ConnectFailed, 1),
        };
        let adds = outcome == Outcome::Ok || outcome == Outcome::TimedOut && self.rng.one_in(2);
        let total = self.totals.entry(name).or_default();
        *total += if adds { add } else { 0.0 };
        let (total, rtt) = (*total, steps as f64 * STEP);
        self.schedule(
            steps,
            instance,
            ScheduledEvent::Counter {
                name,
                outcome,
                total,
                rtt,
            },
        );
    }

    fn deliver(&mut self, instance: usize, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Forward {
                id,
                attempt,
                server,
                outcome,
                rtt,
                actual,
            } => {
                if let Some(sent) = self.forwards.get_mut(&(instance, id)) {
                    let was_open = std::mem::replace(&mut sent[usize::from(attempt)].1, false);
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
                        attempt,
                        server,
                        outcome,
                        rtt,
                        is_final: over,
                        metered_usage: used,
                        actual_units: actual,
                        load,
                    },
                );
            }
            ScheduledEvent::Stream { id, server } => {
                self.handle(
                    instance,
                    &Event::StreamStarted {
                        id,
                        attempt: 0,
                        server,
                        rtt: 4.0,
                    },
                );
            }
            ScheduledEvent::Counter {
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
            ScheduledEvent::Probe { server, outcome } => {
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
            ScheduledEvent::Datagram { from, data } => {
                self.handle(instance, &Event::DatagramReceived { from, data: &data })
            }
        }
    }

    fn load(&mut self) -> LoadReport {
        let busy = self.rng.below(120) as f32 / 100.0;
        match self.rng.below(8) {
            0 => LoadReport::default(),
            1 if self.rng.one_in(3) => LoadReport {
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

    /// Drains, removes, adds or restarts a server.
    fn change_servers(&mut self) {
        let at = self.rng.below(self.health.len() as u64) as usize;
        self.health[at] = match self.health[at].0 {
            Health::Ready if self.rng.one_in(2) => (Health::Draining, self.health[at].1),
            Health::Ready => (Health::Ready, self.now()),
            Health::Draining => (Health::Removed, self.health[at].1),
            Health::Removed => (Health::Ready, self.now() - self.rng.below(3000) as f64),
        };
        let kinds = [
            ListKind::Delta,
            ListKind::Full,
            ListKind::Cached,
            ListKind::Failed,
        ];
        let list = kinds[self.rng.below(4) as usize];
        (0..self.engines.len()).for_each(|instance| self.send_server_list(instance, list));
    }

    fn request(&mut self, instance: usize) {
        let id = self.next_request;
        self.next_request += 1;
        let (groups, plans) = (
            self.script.settings.groups.len(),
            self.script.settings.plans.len(),
        );
        // The range of active tenants shifts over time.
        let tenant = self.rng.below(self.script.tenants) + self.second() / 2;
        let instance_counts = self.script.instance_counts;
        let instances = instance_counts[(self.second() / 3) as usize % instance_counts.len()];
        let new = NewRequest {
            id,
            group: self.rng.below(groups as u64) as u16,
            deadline: self.now() + 800.0 + self.rng.below(2000) as f64,
            tenant,
            // One request in a thousand has an unknown plan.
            plan: if id % 1000 == 999 {
                99
            } else {
                tenant as u32 % plans as u32
            },
            instances,
            units: [1.0, 1.0, 2.0, 0.5][self.rng.below(4) as usize],
            first_instance: (tenant % u64::from(self.script.settings.instances)) as f32,
            is_client_retry: self.rng.one_in(10),
            is_write: self.rng.one_in(3),
            pool: u16::from(self.rng.one_in(12)),
            allowed_zones: if self.rng.one_in(10) {
                ZoneSet::from_iter([1])
            } else {
                ZoneSet::ALL
            },
            max_attempts: if self.rng.one_in(10) { 1 } else { u8::MAX },
        };
        self.handle(instance, &Event::Request(new));
        if self.rng.one_in(40) {
            self.handle(instance, &Event::ClientDisconnected { id });
        }
        // A duplicate of an open request.
        let open = self
            .forwards
            .get(&(instance, id))
            .is_some_and(|sent| sent.iter().any(|forward| forward.1));
        if open && self.rng.one_in(50) {
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
        for (instance, scheduled) in self.due.remove(&self.step).unwrap_or_default() {
            self.deliver(instance, scheduled);
        }
        for instance in 0..self.engines.len() {
            for _ in 0..self.script.draws_per_step {
                if self.rng.one_in(self.script.request_interval) {
                    self.request(instance);
                }
            }
        }
        if self.rng.one_in(200) {
            self.change_servers();
        }
        if self.rng.one_in(300) {
            let data: Vec<u8> = (0..self.rng.below(24))
                .map(|_| self.rng.below(256) as u8)
                .collect();
            let instance = self.rng.below(self.engines.len() as u64) as usize;
            let from = self.rng.below(60) as u16;
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
        if self.script.kill_interval > 0 && second.is_multiple_of(self.script.kill_interval) {
            let instance = self.rng.below(self.engines.len() as u64) as usize;
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
    latency_target: f64,
    importance: f64,
) -> GroupSettings {
    GroupSettings {
        latency_target,
        hard_limit: 3.0 * latency_target,
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
    let overage = PlanSettings {
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
            overage,
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

/// Answers, then each kind of fault, with phases of normal answers in between and at the end.
fn faulty_counter(second: u64) -> Counter {
    match second {
        0..=7 => Counter::Answers,
        8..=11 => Counter::Slow,
        12..=16 => Counter::Overloaded,
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
        response_time_factor: 1.0,
        request_interval: 2,
        draws_per_step: 1,
        failure_interval: 60,
        tenants: 23,
        counter: faulty_counter,
        linked: |_, _, _| true,
        configured_at: Some(36),
        kill_interval: 13,
        instance_counts: &[3.0, 2.0, 1.0],
    }
}

/// A single instance under high load, without a counter, with load reports by probes, without retry
/// delays and without cancellation.
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
        response_time_factor: 1.0,
        request_interval: 1,
        draws_per_step: 1,
        failure_interval: 60,
        tenants: 40,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        kill_interval: 0,
        instance_counts: &[1.0],
    }
}

/// Two instances with slow servers and more requests than these can handle, many beyond their
/// quota.
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
        response_time_factor: 5.0,
        request_interval: 1,
        draws_per_step: 1,
        failure_interval: 60,
        tenants: 9,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        kill_interval: 0,
        instance_counts: &[2.0],
    }
}

/// One instance that loads its servers up to their concurrency limits, without quotas.
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
        response_time_factor: 0.4,
        request_interval: 1,
        draws_per_step: 24,
        failure_interval: 4000,
        tenants: 5,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        kill_interval: 0,
        instance_counts: &[1.0],
    }
}

/// A hundred instances that overload a few slow servers, some of which have just started, without
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
        response_time_factor: 12.0,
        request_interval: 20,
        draws_per_step: 1,
        failure_interval: 400,
        tenants: 50,
        counter: |_| Counter::Answers,
        linked: |_, _, _| true,
        configured_at: None,
        kill_interval: 4,
        instance_counts: &[100.0],
    }
}

/// A large fleet with quota owners and token transfers, in which links are cut.
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
        response_time_factor: 1.0,
        request_interval: 8,
        draws_per_step: 1,
        failure_interval: 60,
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
        kill_interval: 3,
        instance_counts: &[40.0, 38.0],
    }
}

#[test_case("small_fleet", small_fleet ; "small fleet with a counter in trouble")]
#[test_case("no_counter", no_counter ; "one instance without a counter")]
#[test_case("overload", overload ; "overload")]
#[test_case("saturation", saturation ; "saturated servers")]
#[test_case("crowd", crowd ; "a hundred instances and slow servers")]
#[test_case("large_fleet", || large_fleet(faulty_counter) ; "large fleet with a counter in trouble")]
#[test_case("large_fleet_alone", || large_fleet(|_| Counter::Silent) ; "large fleet whose counter never answers")]
fn a_randomized_run_decides_as_recorded(name: &str, script: fn() -> Script) {
    let fixture = include_str!("fixtures/recorded_runs.txt");
    let mut recorded = fixture
        .split("\n\n")
        .filter_map(|run| run.strip_prefix(&format!("{name}\n")));
    let recorded = recorded.next().unwrap_or("").trim_end();
    let played = World::new(script(), 0x5eed).play();
    let differs = played.lines().zip(recorded.lines()).find(|(a, b)| a != b);
    assert!(
        played.trim_end() == recorded,
        "{name} first differs at {differs:?}; the run is\n{name}\n{played}"
    );
}
