//! Schedules of steps, drawn by quickcheck, that a cluster goes through.

use super::{config, Cluster, Envelope, Variant, POLICY};
use aspendrum_consensus::{Command, NodeId};
use quickcheck::{Arbitrary, Gen};

/// Milliseconds that pass with each step.
const STEP_MS: f64 = 7.0;
/// The seed of the schedules, unless SCHEDULES_SEED names another.
const DEFAULT_SEED: u64 = 2;

/// One step. Numbers choose a node or a message, whatever their count is.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Submit a new version at a node.
    Submit(u8),
    /// Submit two texts for one version, at two nodes or one.
    Race(u8, u8),
    /// Submit an earlier command again, at any node.
    Resubmit(u8, u8),
    Evacuate(u8, bool),
    Deliver(u8),
    Drop(u8),
    Duplicate(u8),
    Tick(u8),
    /// So much time passes that voters which are down are replaced.
    Wait,
    Kill(u8),
    /// The node ends while it carries out effects, after so many of them.
    Crash(u8, u8),
    CutPower(u8),
    /// The node loses its disk.
    Wipe(u8),
    /// The node goes for good, and an empty one comes at another address.
    Replace(u8),
    /// The node is shutting down.
    Leave(u8),
    Start(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0 => Step::Submit(n),
            1..=2 => Step::Race(n, u8::arbitrary(g)),
            3 => Step::Resubmit(n, u8::arbitrary(g)),
            4 => Step::Evacuate(n, bool::arbitrary(g)),
            5..=21 => Step::Deliver(n),
            22 => Step::Drop(n),
            23 => Step::Duplicate(n),
            24..=28 => Step::Tick(n),
            29 => Step::Wait,
            30 => Step::Kill(n),
            31 => Step::Crash(n, u8::arbitrary(g) % 6),
            32 => Step::CutPower(n),
            33..=34 => Step::Wipe(n),
            35..=36 => Step::Replace(n),
            37 => Step::Leave(n),
            _ => Step::Start(n),
        }
    }
}

impl Cluster {
    fn chosen_node(&self, n: u8) -> NodeId {
        let nodes = self.nodes();
        nodes[usize::from(n) % nodes.len()]
    }

    fn take_message(&mut self, n: u8) -> Option<Envelope> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.swap_remove(usize::from(n) % count))
    }

    fn step(&mut self, step: &Step) {
        self.now += STEP_MS;
        match step {
            Step::Submit(n) => {
                self.version += 1;
                self.submit(self.chosen_node(*n), config(self.version, u64::from(*n)));
            }
            Step::Race(n, m) => {
                self.version += 1;
                self.submit(self.chosen_node(*n), config(self.version, 1));
                self.submit(self.chosen_node(*m), config(self.version, 2));
            }
            Step::Resubmit(n, m) => self.resubmit(*n, *m),
            Step::Evacuate(n, evacuated) => {
                let zone = "z".into();
                let is_evacuated = *evacuated;
                self.submit(
                    self.chosen_node(*n),
                    Command::SetEvacuation { zone, is_evacuated },
                );
            }
            Step::Deliver(n) => {
                if let Some(envelope) = self.take_message(*n) {
                    self.deliver(envelope);
                }
            }
            Step::Drop(n) => drop(self.take_message(*n)),
            Step::Duplicate(n) => {
                if let Some(envelope) = self.take_message(*n) {
                    self.messages.extend([envelope.clone(), envelope]);
                }
            }
            Step::Tick(n) => self.tick(self.chosen_node(*n)),
            Step::Wait => self.now += POLICY.replace_after,
            Step::Kill(n) => self.kill(self.chosen_node(*n)),
            Step::Crash(n, effects) => {
                self.crash_after.insert(self.chosen_node(*n), *effects);
            }
            Step::CutPower(n) => self.cut_power(self.chosen_node(*n)),
            Step::Wipe(n) => {
                if self.tolerates_a_loss() {
                    let node = self.chosen_node(*n);
                    self.cut_power(node);
                    self.disks.insert(node, None);
                }
            }
            Step::Replace(n) => {
                if self.tolerates_a_loss() {
                    self.replace(self.chosen_node(*n));
                }
            }
            Step::Leave(n) => self.leave(self.chosen_node(*n)),
            Step::Start(n) => self.start(self.chosen_node(*n)),
        }
    }

    fn resubmit(&mut self, n: u8, m: u8) {
        let commands = self.submitted.values().filter(|c| **c != Command::Read);
        let commands: Vec<Command> = commands.cloned().collect();
        if !commands.is_empty() {
            let command = commands[usize::from(n) % commands.len()].clone();
            self.submit(self.chosen_node(m), command);
        }
    }
}

/// Runs a schedule. Returns whether everything that was acknowledged is there in the end, whichever node is asked.
pub(crate) fn run(variant: Variant, steps: &[Step]) -> bool {
    let mut cluster = Cluster::new(variant);
    for step in steps {
        cluster.step(step);
    }
    let acknowledged = cluster.acknowledged_version;
    let reads = cluster.read_after_power_loss();
    let is_there = |read: &Option<u32>| read.is_some_and(|version| version >= acknowledged);
    let all_there = reads.iter().all(is_there);
    cluster.resubmit_all();
    all_there && cluster.each_version_has_one_text()
}

/// A generator with a fixed seed: the same schedules at every run. SCHEDULES_SEED and QUICKCHECK_TESTS ask for others
/// and more.
pub(crate) fn generator(size: usize) -> Gen {
    let seed = std::env::var("SCHEDULES_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok());
    Gen::from_size_and_seed(size, seed.unwrap_or(DEFAULT_SEED))
}
