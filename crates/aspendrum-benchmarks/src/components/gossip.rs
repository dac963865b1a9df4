//! Gossip between the agents of a fleet, on a simulated clock and with immediate delivery of datagrams.

use crate::figure::FigureLine;
use crate::fleet_data::proxy_addr;
use crate::measure::thread_cpu_ms;
use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::message::StateDigest;
use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

const AGENT_COUNTS: [usize; 4] = [100, 300, 430, 1_000];
/// The agents that are disconnected from control: none, every ninth, all.
const ISOLATION_INTERVALS: [Option<usize>; 3] = [None, Some(9), Some(1)];
/// The interval between two ticks of an agent.
const TICK_INTERVAL_MS: f64 = 300.0;
/// The simulated time per fleet.
const DURATION_MS: f64 = 60_000.0;

pub(super) fn run() {
    for agents in AGENT_COUNTS {
        for isolation_interval in ISOLATION_INTERVALS {
            measure(agents, isolation_interval);
        }
    }
}

/// The traffic that the agents sent.
#[derive(Default)]
struct Traffic {
    datagrams: usize,
    bytes: usize,
    longest: usize,
    snapshot_fetches: usize,
}

/// The agents of a fleet.
struct GossipFleet {
    agents: Vec<Ipv4Addr>,
    nodes: HashMap<Ipv4Addr, GossipNode>,
    /// Every agent whose number is a multiple of this one is disconnected from control.
    isolation_interval: Option<usize>,
    decided: StateDigest,
    pending: VecDeque<(Ipv4Addr, GossipAction)>,
    traffic: Traffic,
}

impl GossipFleet {
    fn new(agents: usize, isolation_interval: Option<usize>) -> GossipFleet {
        let agents: Vec<Ipv4Addr> = (0..agents).map(|n| *proxy_addr(n).ip()).collect();
        let mut nodes = HashMap::new();
        for (number, agent) in agents.iter().enumerate() {
            let mut node = GossipNode::new(*agent, number as u64);
            node.add_known_agents(&agents);
            nodes.insert(*agent, node);
        }
        GossipFleet {
            agents,
            nodes,
            isolation_interval,
            decided: StateDigest::default(),
            pending: VecDeque::new(),
            traffic: Traffic::default(),
        }
    }

    fn is_isolated(&self, number: usize) -> bool {
        self.isolation_interval
            .is_some_and(|interval| number.is_multiple_of(interval))
    }

    fn tick(&mut self, now: f64) {
        for (number, agent) in self.agents.iter().enumerate() {
            let is_isolated = self.is_isolated(number);
            let Some(node) = self.nodes.get_mut(agent) else {
                continue;
            };
            let actions = node.tick(now, is_isolated);
            self.pending
                .extend(actions.into_iter().map(|a| (*agent, a)));
        }
    }

    fn deliver_all(&mut self, now: f64) {
        while let Some((from, action)) = self.pending.pop_front() {
            match action {
                GossipAction::Send { to, message } => self.deliver(now, from, to, message),
                GossipAction::FetchSnapshot(_) => self.traffic.snapshot_fetches += 1,
                GossipAction::ConfirmedAsOf(_) => {}
            }
        }
    }

    fn deliver(&mut self, now: f64, from: Ipv4Addr, to: Ipv4Addr, message: GossipMessage) {
        let bytes = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes;
        self.traffic.longest = self.traffic.longest.max(bytes);
        let is_report_request = matches!(message, GossipMessage::ReportRequest { .. });
        let confirmed_as_of =
            (is_report_request && self.is_connected_to_control(to)).then_some(now);
        if let Some(node) = self.nodes.get_mut(&to) {
            let actions = node.handle(now, from, message, &self.decided, confirmed_as_of);
            self.pending.extend(actions.into_iter().map(|a| (to, a)));
        }
    }

    fn is_connected_to_control(&self, agent: Ipv4Addr) -> bool {
        let number = self.agents.iter().position(|known| *known == agent);
        !self.is_isolated(number.unwrap_or(0))
    }
}

fn measure(agents: usize, isolation_interval: Option<usize>) {
    let mut fleet = GossipFleet::new(agents, isolation_interval);
    let started_at = thread_cpu_ms();
    let mut now = 0.0;
    while now < DURATION_MS {
        fleet.tick(now);
        fleet.deliver_all(now);
        now += TICK_INTERVAL_MS;
    }
    let cpu_ms = thread_cpu_ms() - started_at;
    let agent_seconds = agents as f64 * DURATION_MS / 1000.0;
    let isolated =
        isolation_interval.map_or("none".to_string(), |interval| format!("1/{interval}"));
    let traffic = &fleet.traffic;
    FigureLine::new("gossip.circle")
        .with("agents", agents)
        .with("alone", isolated)
        .number("datagrams_s", traffic.datagrams as f64 / agent_seconds)
        .number("bytes_s", traffic.bytes as f64 / agent_seconds)
        .with("longest", traffic.longest)
        .number("cpu_ms_s", cpu_ms / agent_seconds)
        .with("fetches", traffic.snapshot_fetches)
        .print();
}
