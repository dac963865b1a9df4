//! Replicated state: messages, bytes, disk writes and CPU time per command. Messages are delivered in order and without
//! loss.

use crate::figure::FigureLine;
use crate::fleet_data::config_text;
use crate::fleet_size::{zone, FleetSize, FLEET_SIZES, TARGET};
use crate::measure::{thread_cpu_ms, Samples};
use aspendrum_consensus::membership::required_voters;
use aspendrum_consensus::{Command, Effect, NodeId, Replica, ReplicaOptions, Voters};
use aspendrum_model::compression::compress;
use aspendrum_model::hash::digest;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// The framing overhead per message, in bytes: the length prefix and two enum discriminants.
const FRAME_OVERHEAD: usize = 6;
/// The number of measured commands per figure.
const REPEATS: usize = 9;
const VOTER_COUNTS: [usize; 4] = [3, 4, 5, 7];
/// The number of nodes at the first start, and the number of simultaneous disk losses to tolerate.
const BOOTSTRAP_CASES: [(usize, usize); 6] = [(3, 1), (4, 1), (4, 2), (5, 2), (6, 2), (7, 3)];
const INCARNATION: u64 = 1 << 24;

pub(super) fn run() {
    for (nodes, tolerated_losses) in BOOTSTRAP_CASES {
        measure_bootstrap(nodes, tolerated_losses);
    }
    for size in FLEET_SIZES {
        let config = CompressedConfig::new(&size);
        for voters in VOTER_COUNTS {
            let set_config = |n: usize| config.command(n as u32 + 1);
            measure_commands("consensus.config", voters, config.text.len(), set_config);
        }
    }
    for voters in VOTER_COUNTS {
        let set_evacuation = |n: usize| Command::SetEvacuation {
            zone: zone(n / 2),
            is_evacuated: n.is_multiple_of(2),
        };
        measure_commands("consensus.evacuation", voters, 0, set_evacuation);
        measure_commands("consensus.read", voters, 0, |_| Command::Read);
    }
    // Reads while all nodes hold a configuration of the target size.
    let config = CompressedConfig::new(&TARGET);
    for voters in VOTER_COUNTS {
        let read_config = |n: usize| match n {
            0 => config.command(1),
            _ => Command::Read,
        };
        measure_commands(
            "consensus.read.held",
            voters,
            config.text.len(),
            read_config,
        );
    }
}

struct CompressedConfig {
    text: Vec<u8>,
    digest: u64,
}

impl CompressedConfig {
    fn new(size: &FleetSize) -> CompressedConfig {
        let text = config_text(size, size.services, 1);
        CompressedConfig {
            text: compress(text.as_bytes()),
            digest: digest(text.as_bytes()),
        }
    }

    fn command(&self, version: u32) -> Command {
        Command::SetConfig {
            version,
            compressed_text: self.text.clone(),
            digest: self.digest,
        }
    }
}

/// The cost of commands, summed over all nodes.
#[derive(Clone, Copy, Default)]
struct Cost {
    messages: usize,
    message_bytes: usize,
    disk_writes: usize,
    disk_bytes: usize,
}

impl Cost {
    fn add(&mut self, node: NodeId, effect: &Effect, replica: Option<&Replica>) {
        match effect {
            Effect::Send { to, message } if *to != node => {
                self.messages += 1;
                self.message_bytes += FRAME_OVERHEAD + encoded_bytes(message);
            }
            Effect::Persist => {
                self.disk_writes += 1;
                self.disk_bytes += replica.map_or(0, |r| encoded_bytes(r.state()));
            }
            _ => {}
        }
    }
}

fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len())
}

/// The replicas of all control nodes.
struct Cluster {
    replicas: BTreeMap<NodeId, Replica>,
    cost: Cost,
}

impl Cluster {
    /// Starts `nodes` nodes for the first time, and makes the first `voters` of them the voters of the first epoch.
    fn new(nodes: usize, voters: usize) -> Cluster {
        let nodes: Vec<NodeId> = (1..=nodes as u32).map(NodeId::new).collect();
        let start = |node: &NodeId| {
            let options = ReplicaOptions {
                node: *node,
                is_first_start: true,
                seeds: &nodes,
                new_disk_id: u64::from(node.as_u32()),
                incarnation: INCARNATION,
            };
            Replica::start(options, None).0
        };
        let mut cluster = Cluster {
            replicas: nodes.iter().map(|node| (*node, start(node))).collect(),
            cost: Cost::default(),
        };
        let disk = |node: &NodeId| (*node, u64::from(node.as_u32()));
        let voters = Voters(nodes.iter().take(voters).map(disk).collect());
        cluster.run(0.0, |first| first.propose_voters(0.0, voters));
        cluster
    }

    /// Submits a command at the first node. Returns the CPU time of all nodes in milliseconds.
    fn submit(&mut self, now: f64, command: Command) -> f64 {
        self.run(now, |first| first.submit(now, command, Some(1)))
    }

    /// Calls `start` on the first node and processes all resulting effects. Returns the CPU time in milliseconds.
    fn run(&mut self, now: f64, start: impl FnOnce(&mut Replica) -> Vec<Effect>) -> f64 {
        let started_at = thread_cpu_ms();
        // The CPU time that the benchmark itself spends on counting, which is excluded from the result.
        let mut counting_time = 0.0;
        let first_node = NodeId::new(1);
        let Some(first) = self.replicas.get_mut(&first_node) else {
            return 0.0;
        };
        let effects = start(first);
        let mut pending: VecDeque<_> = effects.into_iter().map(|e| (first_node, e)).collect();
        while let Some((node, effect)) = pending.pop_front() {
            let counting_started_at = thread_cpu_ms();
            self.cost.add(node, &effect, self.replicas.get(&node));
            counting_time += thread_cpu_ms() - counting_started_at;
            let Effect::Send { to, message } = effect else {
                continue;
            };
            if let Some(receiver) = self.replicas.get_mut(&to) {
                let effects = receiver.step(now, node, message);
                pending.extend(effects.into_iter().map(|e| (to, e)));
            }
        }
        thread_cpu_ms() - started_at - counting_time
    }
}

/// Submits the commands 0 to [`REPEATS`], inclusive. Command 0 prepares the state and is not measured.
fn measure_commands(
    name: &str,
    voters: usize,
    packed_bytes: usize,
    command: impl Fn(usize) -> Command,
) {
    let mut cluster = Cluster::new(voters, voters);
    let mut now = 1000.0;
    cluster.submit(now, command(0));
    cluster.cost = Cost::default();
    let mut times = Vec::new();
    for number in 1..=REPEATS {
        now += 1000.0;
        times.push(cluster.submit(now, command(number)));
    }
    let mean = |total: usize| total as f64 / REPEATS as f64;
    let cost = cluster.cost;
    FigureLine::new(name)
        .with("voters", voters)
        .with("packed", packed_bytes)
        .number("words", mean(cost.messages))
        .number("bytes", mean(cost.message_bytes))
        .number("syncs", mean(cost.disk_writes))
        .number("disk_bytes", mean(cost.disk_bytes))
        .milliseconds("cpu", &Samples::new(times))
        .print();
}

/// Measures the first start, in which the nodes agree on the voters.
fn measure_bootstrap(nodes: usize, tolerated_losses: usize) {
    let started_at = thread_cpu_ms();
    let voters = required_voters(tolerated_losses).min(nodes);
    let cluster = Cluster::new(nodes, voters);
    FigureLine::new("consensus.founding")
        .with("machines", nodes)
        .with("losses", tolerated_losses)
        .with("voters", voters)
        .with("words", cluster.cost.messages)
        .with("bytes", cluster.cost.message_bytes)
        .number("cpu_ms", thread_cpu_ms() - started_at)
        .print();
}
