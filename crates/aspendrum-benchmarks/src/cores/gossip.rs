//! Agents among themselves: all of a fleet's circles on one clock, words delivered at once.

use crate::measure::{cpu_ms, Line};
use crate::sizes::front_at;
use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::message::StateDigest;
use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

const AGENTS: [usize; 4] = [100, 300, 430, 1_000];
/// Between two beats of an agent, and how long the fleet is watched, in milliseconds.
const BEAT: f64 = 300.0;
const WATCHED: f64 = 60_000.0;

/// What went over the wires.
#[derive(Default)]
struct Carried {
    datagrams: usize,
    bytes: usize,
    most: usize,
    fetches: usize,
}

/// `alone`: of so many agents one hears no majority's word.
fn watch(agents: usize, alone: Option<usize>) {
    let ip = |n: usize| *front_at(n).ip();
    let known: Vec<Ipv4Addr> = (0..agents).map(ip).collect();
    let mut circles: HashMap<Ipv4Addr, GossipNode> = HashMap::new();
    for (n, me) in known.iter().enumerate() {
        let mut circle = GossipNode::new(*me, n as u64);
        circle.add_known_agents(&known);
        circles.insert(*me, circle);
    }
    let is_alone = |n: usize| alone.is_some_and(|of| n.is_multiple_of(of));
    let (mut carried, mut words, before) = (Carried::default(), VecDeque::new(), cpu_ms());
    let (mut now, held) = (0.0, StateDigest::default());
    let as_of = |from: &Ipv4Addr, now: f64| {
        let n = known.iter().position(|ip| ip == from).unwrap_or(0);
        (!is_alone(n)).then_some(now)
    };
    while now < WATCHED {
        for (n, me) in known.iter().enumerate() {
            let Some(circle) = circles.get_mut(me) else {
                continue;
            };
            words.extend(
                circle
                    .tick(now, is_alone(n))
                    .into_iter()
                    .map(|act| (*me, act)),
            );
        }
        while let Some((from, act)) = words.pop_front() {
            match act {
                GossipAction::Send { to, message: word } => {
                    let size = postcard::to_allocvec(&word).map_or(0, |b| b.len());
                    carried.datagrams += 1;
                    carried.bytes += size;
                    carried.most = carried.most.max(size);
                    let as_of = if matches!(word, GossipMessage::ReportRequest { .. }) {
                        as_of(&to, now)
                    } else {
                        None
                    };
                    let acts = circles
                        .get_mut(&to)
                        .map(|c| c.handle(now, from, word, &held, as_of));
                    words.extend(acts.into_iter().flatten().map(|act| (to, act)));
                }
                GossipAction::FetchSnapshot(_) => carried.fetches += 1,
                GossipAction::ConfirmedAsOf(_) => {}
            }
        }
        now += BEAT;
    }
    let spent = (agents as f64) * WATCHED / 1000.0;
    let line = Line::of("gossip.circle").with("agents", agents);
    let line = line.with(
        "alone",
        alone.map_or("none".to_string(), |of| format!("1/{of}")),
    );
    let line = line.number("datagrams_s", carried.datagrams as f64 / spent);
    let line = line
        .number("bytes_s", carried.bytes as f64 / spent)
        .with("longest", carried.most);
    line.number("cpu_ms_s", (cpu_ms() - before) / spent)
        .with("fetches", carried.fetches)
        .tell();
}

pub(super) fn tell() {
    for agents in AGENTS {
        for alone in [None, Some(9), Some(1)] {
            watch(agents, alone);
        }
    }
}
