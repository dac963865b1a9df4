//! Gossip between agents: the nodes of a whole fleet on one simulated clock, datagrams delivered at once.

use crate::figure::FigureLine;
use crate::fleet_data::proxy_addr;
use crate::measure::thread_cpu_ms;
use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::message::StateDigest;
use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

const FLEETS: [usize; 4] = [100, 300, 430, 1_000];
/// Which agents are cut off from control: none, every ninth, all.
const ISOLATED: [Option<usize>; 3] = [None, Some(9), Some(1)];
/// Time between two ticks of an agent, milliseconds.
const TICK_INTERVAL: f64 = 300.0;
/// For how long a fleet is simulated, milliseconds.
const DURATION: f64 = 60_000.0;

pub(super) fn run() {
    for agents in FLEETS {
        for isolated in ISOLATED {
            measure(agents, isolated);
        }
    }
}

/// What the agents sent.
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
    /// Every agent whose number is a multiple of this one is cut off from control.
    isolated: Option<usize>,
    decided: StateDigest,
    pending: VecDeque<(Ipv4Addr, GossipAction)>,
    traffic: Traffic,
}

impl GossipFleet {
    fn new(agents: usize, isolated: Option<usize>) -> GossipFleet {
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
            isolated,
            decided: StateDigest::default(),
            pending: VecDeque::new(),
            traffic: Traffic::default(),
        }
    }

    fn is_isolated(&self, number: usize) -> bool {
        self.isolated
            .is_some_and(|every| number.is_multiple_of(every))
    }

    fn tick(&mut self, now: f64) {
        for (number, agent) in self.agents.iter().enumerate() {
            let asks_peers = self.is_isolated(number);
            let Some(node) = self.nodes.get_mut(agent) else {
                continue;
            };
            let actions = node.tick(now, asks_peers);
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
        let confirmed_as_of = (is_report_request && self.hears_control(to)).then_some(now);
        if let Some(node) = self.nodes.get_mut(&to) {
            let actions = node.handle(now, from, message, &self.decided, confirmed_as_of);
            self.pending.extend(actions.into_iter().map(|a| (to, a)));
        }
    }

    fn hears_control(&self, agent: Ipv4Addr) -> bool {
        let number = self.agents.iter().position(|known| *known == agent);
        !self.is_isolated(number.unwrap_or(0))
    }
}

fn measure(agents: usize, isolated: Option<usize>) {
    let mut fleet = GossipFleet::new(agents, isolated);
    let started_at = thread_cpu_ms();
    let mut now = 0.0;
    while now < DURATION {
        fleet.tick(now);
        fleet.deliver_all(now);
        now += TICK_INTERVAL;
    }
    let cpu_ms = thread_cpu_ms() - started_at;
    let agent_seconds = agents as f64 * DURATION / 1000.0;
    let isolated = isolated.map_or("none".to_string(), |every| format!("1/{every}"));
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
