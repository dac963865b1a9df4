//! Simulated nights of a fleet: agents, proxies and decisions of control on a simulated clock, with one fault per
//! minute and no operator intervention.
//!
//! At no step may a non-idempotent request take a route that was replaced longer ago than the limits allow. After the
//! last fault, all nodes must apply the decided state within [`CONVERGENCE_LIMIT`].

mod faults;
mod node;

use aspendrum_gossip::{GossipAction, GossipMessage};
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::Millis;
use fastrand::Rng;
use faults::FaultKind;
use node::{Node, OutOfSync};
use std::net::Ipv4Addr;

/// The platform's `apply-ms` and `stretch-ms`.
pub(crate) const APPLY_LIMIT: Millis = 3000.0;
pub(crate) const STRETCH_LIMIT: Millis = 8000.0;
/// The interval at which a proxy recomputes the digest of its tables.
pub(crate) const TABLE_DIGEST_INTERVAL: Millis = 2000.0;
/// The maximum time from the last fault until all nodes agree.
pub(crate) const CONVERGENCE_LIMIT: Millis = 20_000.0;

/// The duration of a simulation step. A message between two processes takes one step.
const HEARTBEAT: Millis = 300.0;
/// The maximum age of a majority report when an agent receives it.
const MAX_REPORT_AGE: Millis = 900.0;
/// The age of its last report from which an agent is isolated.
const ISOLATION_TIMEOUT: Millis = 1300.0;
const FAULT_INTERVAL: Millis = 60_000.0;
/// The minimum duration of out-of-sync periods in the metrics. Shorter ones are caused by updates in flight.
const MIN_OUT_OF_SYNC: Millis = 1000.0;
const FIRST_IP: u32 = 0x0a00_0001;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Variant {
    /// The system as implemented.
    Correct,
    /// A faulty variant, which treats the last update as the decided state and ignores missing reports.
    TrustsUpdates,
}

/// The results of a simulation.
#[derive(Default)]
pub(crate) struct Metrics {
    /// The number of non-idempotent requests.
    pub(crate) requests: u64,
    /// The number of requests that were rejected because their node was possibly out of sync.
    pub(crate) rejected: u64,
    /// The number of requests that took a route that was replaced longer ago than the limits allow, or that was never
    /// decided.
    pub(crate) violations: u64,
    /// The maximum age of the replacement of a route that a request still took.
    pub(crate) max_staleness: Millis,
    /// For each out-of-sync period, the time until the node rejected non-idempotent requests.
    pub(crate) detection_times: Vec<Millis>,
    /// For each out-of-sync period, the time from the end of its fault until the node was current again.
    pub(crate) recovery_times: Vec<Millis>,
}

struct DecidedVersion {
    version: u32,
    acknowledged_at: Millis,
}

pub(crate) struct Simulation {
    rng: Rng,
    variant: Variant,
    now: Millis,
    nodes: Vec<Node>,
    decided: StateDigest,
    history: Vec<DecidedVersion>,
    control_down_until: Millis,
    pub(crate) metrics: Metrics,
}

fn ip(node: usize) -> Ipv4Addr {
    Ipv4Addr::from(FIRST_IP + node as u32)
}

fn node_at(ip: Ipv4Addr) -> usize {
    (u32::from(ip) - FIRST_IP) as usize
}

/// Returns the digest of a configuration version.
fn digest_of(version: u32) -> StateDigest {
    let revision = Revision {
        config: Some(version),
        evacuation: 0,
    };
    StateDigest {
        revision,
        digests: [u64::from(version) * 7919, 1, 1, 1],
    }
}

impl Simulation {
    pub(crate) fn new(nodes: usize, seed: u64, variant: Variant) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let agents: Vec<Ipv4Addr> = (0..nodes).map(ip).collect();
        let node = |index: usize, seed: u64| {
            let others: Vec<Ipv4Addr> = agents
                .iter()
                .copied()
                .filter(|agent| *agent != ip(index))
                .collect();
            Node::new(ip(index), &others, seed)
        };
        let nodes = (0..nodes).map(|index| node(index, rng.u64(..))).collect();
        Simulation {
            rng,
            variant,
            now: 0.0,
            nodes,
            decided: digest_of(1),
            history: vec![DecidedVersion {
                version: 1,
                acknowledged_at: 0.0,
            }],
            control_down_until: 0.0,
            metrics: Metrics::default(),
        }
    }

    /// Simulates a night of `hours` with about `changes` decisions and one fault per minute, and then a period without
    /// faults until all nodes agree. Returns the duration of that period, or `None` if it exceeds
    /// [`CONVERGENCE_LIMIT`].
    pub(crate) fn run(&mut self, hours: f64, changes: u32) -> Option<Millis> {
        let end = hours * 3_600_000.0;
        let mean_interval = end / f64::from(changes);
        let (mut next_change, mut next_fault) = (0.0, 0.0);
        while self.now < end {
            if self.now >= next_change && self.now >= self.control_down_until {
                next_change = self.now + mean_interval * (0.2 + 1.6 * self.rng.f64());
                self.decide();
            }
            if self.now >= next_fault {
                next_fault = self.now + FAULT_INTERVAL;
                self.inject_fault();
            }
            self.step();
        }
        self.end_all_faults();
        self.converge()
    }

    fn decide(&mut self) {
        let version = self.decided_version() + 1 + self.rng.u32(0..3);
        self.decided = digest_of(version);
        self.history.push(DecidedVersion {
            version,
            acknowledged_at: self.now,
        });
    }

    fn decided_version(&self) -> u32 {
        self.history.last().map_or(0, |decided| decided.version)
    }

    fn inject_fault(&mut self) {
        let until = self.now + faults::random_duration(&mut self.rng);
        let affected = faults::random_affected_nodes(&mut self.rng, self.nodes.len());
        let kind = FaultKind::random(&mut self.rng);
        if matches!(kind, FaultKind::ControlMajority) {
            self.control_down_until = self.now + faults::random_control_outage(&mut self.rng);
            return;
        }
        for _ in 0..affected {
            let index = self.rng.usize(0..self.nodes.len());
            let node = &mut self.nodes[index];
            match kind {
                FaultKind::ControlLink => node.faults.control_link_until = until,
                FaultKind::AllLinks => node.faults.all_links_until = until,
                FaultKind::Frozen => node.faults.frozen_until = until,
                FaultKind::AgentDown => node.faults.agent_down_until = until,
                FaultKind::UpdatesToAgent => node.faults.updates_to_agent_until = until,
                FaultKind::UpdatesToProxy => node.faults.updates_to_proxy_until = until,
                FaultKind::CorruptTables | FaultKind::ControlMajority => {
                    node.tables.digests[0] ^= 1
                }
            }
        }
    }

    fn end_all_faults(&mut self) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .for_each(|node| node.faults.end_by(now));
        self.control_down_until = self.control_down_until.min(now);
    }

    fn converge(&mut self) -> Option<Millis> {
        let begin = self.now;
        while self.now - begin <= CONVERGENCE_LIMIT {
            self.step();
            let agrees = |node: &Node| {
                node.tables == self.decided && node.assessment.allows_non_idempotent(self.now)
            };
            if self.nodes.iter().all(agrees) {
                return Some(self.now - begin);
            }
        }
        None
    }

    fn step(&mut self) {
        self.now += HEARTBEAT;
        for index in 0..self.nodes.len() {
            if self.now < self.nodes[index].faults.frozen_until {
                continue;
            }
            if self.now >= self.nodes[index].faults.agent_down_until {
                self.run_agent(index);
            }
            self.nodes[index].update_proxy(self.now, self.variant);
            self.record_sync(index);
            self.send_request(index);
        }
    }

    /// Runs one step of an agent: it receives updates and reports from control, and gossips with its neighbours.
    fn run_agent(&mut self, index: usize) {
        let now = self.now;
        self.receive_from_control(index);
        let node = &mut self.nodes[index];
        let is_isolated = node
            .confirmed_as_of
            .is_none_or(|as_of| now - as_of > ISOLATION_TIMEOUT);
        for action in node.gossip.tick(now, is_isolated) {
            if let GossipAction::Send { to, message } = action {
                self.exchange(index, node_at(to), message);
            }
        }
        if is_isolated && now >= self.nodes[index].faults.all_links_until {
            self.add_random_agents(index);
        }
    }

    fn receive_from_control(&mut self, index: usize) {
        let now = self.now;
        let trusts_updates = self.variant == Variant::TrustsUpdates;
        let node = &mut self.nodes[index];
        let faults = &node.faults;
        let is_linked = now >= faults.control_link_until && now >= faults.all_links_until;
        if !is_linked || now < self.control_down_until {
            return;
        }
        if now >= faults.updates_to_agent_until && self.decided.revision != node.held.revision {
            node.held = self.decided;
        }
        if trusts_updates || node.held.revision == self.decided.revision {
            let as_of = now - MAX_REPORT_AGE * self.rng.f64();
            // A report does not cover decisions after its time.
            let is_covered = self
                .history
                .last()
                .is_some_and(|last| last.acknowledged_at <= as_of);
            if is_covered || trusts_updates {
                node.confirm(as_of);
            }
        }
    }

    /// Delivers a datagram to another agent, and the reply to the sender.
    fn exchange(&mut self, from: usize, to: usize, message: GossipMessage) {
        let now = self.now;
        if !self.nodes[from].faults.agent_reachable(now)
            || !self.nodes[to].faults.agent_reachable(now)
        {
            return;
        }
        let peer = &mut self.nodes[to];
        let confirmed = peer
            .confirmed_as_of
            .filter(|as_of| now - as_of <= ISOLATION_TIMEOUT);
        for action in peer
            .gossip
            .handle(now, ip(from), message, &peer.held, confirmed)
        {
            if let GossipAction::Send { message, .. } = action {
                self.nodes[from].receive_reply(now, ip(to), message);
            }
        }
    }

    /// Adds random agents to the view of a node, as from control's list.
    fn add_random_agents(&mut self, index: usize) {
        let drawn: Vec<Ipv4Addr> = (0..4)
            .map(|_| ip(self.rng.usize(0..self.nodes.len())))
            .collect();
        let others: Vec<Ipv4Addr> = drawn
            .into_iter()
            .filter(|agent| *agent != ip(index))
            .collect();
        self.nodes[index].gossip.add_known_agents(&others);
    }

    fn record_sync(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_current = node.tables == self.decided;
        let accepts = node.assessment.allows_non_idempotent(now);
        match &mut node.out_of_sync {
            None if !is_current => {
                node.out_of_sync = Some(OutOfSync {
                    since: now,
                    rejecting_since: (!accepts).then_some(now),
                });
            }
            Some(out_of_sync) if !is_current => {
                let rejecting_since = out_of_sync.rejecting_since;
                out_of_sync.rejecting_since = rejecting_since.or((!accepts).then_some(now));
            }
            Some(out_of_sync) if accepts => {
                if now - out_of_sync.since > MIN_OUT_OF_SYNC {
                    let detection = out_of_sync.rejecting_since.map(|at| at - out_of_sync.since);
                    self.metrics.detection_times.extend(detection);
                    let causes = [self.control_down_until, out_of_sync.since];
                    let ended = node
                        .faults
                        .all()
                        .into_iter()
                        .chain(causes)
                        .filter(|end| *end <= now);
                    self.metrics
                        .recovery_times
                        .push(now - ended.fold(0.0, f64::max));
                }
                node.out_of_sync = None;
            }
            _ => {}
        }
    }

    /// Sends a non-idempotent request to a node, and records the result.
    fn send_request(&mut self, index: usize) {
        let (now, node) = (self.now, &self.nodes[index]);
        self.metrics.requests += 1;
        if !node.assessment.allows_non_idempotent(now) {
            self.metrics.rejected += 1;
            return;
        }
        let is_newer =
            |decided: &&DecidedVersion| Some(decided.version) > node.tables.revision.config;
        let replaced_by = self.history.iter().rev().take_while(is_newer).last();
        let staleness = replaced_by.map_or(0.0, |decided| now - decided.acknowledged_at);
        let confirmed_as_of = node.confirmed_as_of.unwrap_or(now);
        let is_extended = node.assessment.valid_until - confirmed_as_of > APPLY_LIMIT;
        let limit = if is_extended {
            APPLY_LIMIT + STRETCH_LIMIT
        } else {
            APPLY_LIMIT
        };
        let detection_limit = TABLE_DIGEST_INTERVAL + 2.0 * HEARTBEAT;
        let is_corrupt = node
            .corrupt_since
            .is_some_and(|since| now - since > detection_limit);
        self.metrics.max_staleness = self.metrics.max_staleness.max(staleness);
        self.metrics.violations += u64::from(staleness > limit || is_corrupt);
    }
}

impl Node {
    fn receive_reply(&mut self, now: Millis, from: Ipv4Addr, reply: GossipMessage) {
        let decided = match &reply {
            GossipMessage::Report { decided, .. } => Some(*decided),
            _ => None,
        };
        for action in self
            .gossip
            .handle(now, from, reply, &self.held, self.confirmed_as_of)
        {
            match (action, decided) {
                (GossipAction::ConfirmedAsOf(as_of), _) => self.confirm(as_of),
                (GossipAction::FetchSnapshot(_), Some(decided)) => self.held = decided,
                _ => {}
            }
        }
    }
}
