//! Nights of a fleet on the cores alone, under a fake clock: changes, and a fault every minute, nobody awake. At no
//! step may a once-only request leave by a path that was no longer decided, beyond the bounds; and once the faults
//! are over all nodes apply what was decided, within a stated time.

use aspendrum_gossip::{Act, Circle, Word as Lent};
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{Bounds, Mending, Ms, Section, Standing, Step, Verdict, Word};
use fastrand::Rng;
use std::net::Ipv4Addr;

pub(crate) const APPLY: Ms = 3000.0;
pub(crate) const STRETCH: Ms = 8000.0;
/// Nodes take their beats so often; all that passes between two processes takes a step.
const BEAT: Ms = 300.0;
/// A majority's word is so old at the most when an agent hears it.
const OLDEST: f64 = 900.0;
const ALONE: Ms = 1300.0;
/// Tables are collated again so often.
const COLLATED: Ms = 2000.0;
/// All nodes agree so long after the last fault.
pub(crate) const AGREED: Ms = 20_000.0;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Kind {
    /// As it is built.
    Built,
    /// The broken variant: what was pushed last is taken for what was decided, as long as nobody says otherwise.
    TrustsPushes,
}

/// Until when each trouble lasts.
#[derive(Clone, Default)]
struct Faults {
    /// Cut off from control; from everybody.
    control: Ms,
    all: Ms,
    frozen: Ms,
    agent: Ms,
    /// Pushes of configurations are lost while beats pass: to the agent, to the proxy.
    push: Ms,
    feed: Ms,
}

struct Node {
    circle: Circle,
    mending: Mending,
    held: StateDigest,
    as_of: Option<Ms>,
    /// What the proxy's tables hold, and what they were collated to last.
    tables: StateDigest,
    collated: (Ms, StateDigest),
    since_wrong: Option<Ms>,
    /// Since when it has not applied what is decided, and since when it holds once-only requests back for that.
    differs: Option<(Ms, Option<Ms>)>,
    verdict: Verdict,
    faults: Faults,
}

pub(crate) struct Night {
    rng: Rng,
    kind: Kind,
    now: Ms,
    nodes: Vec<Node>,
    decided: StateDigest,
    /// Each version and when it was acknowledged.
    history: Vec<(u32, Ms)>,
    control_lost: Ms,
    /// Once-only requests that left astray, and those that were held, of all.
    pub astray: u64,
    pub held: u64,
    pub asked: u64,
    /// The longest that a once-only request left by a path after another was acknowledged.
    pub latest: Ms,
    /// Of nodes that differed for more than a second: until they held once-only requests back; and from the end of
    /// whatever kept them so until they were current again.
    pub noticed: Vec<Ms>,
    pub mended: Vec<Ms>,
}

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + n as u32)
}

fn at(config: u32) -> StateDigest {
    StateDigest {
        revision: Revision {
            config,
            evacuation: 0,
        },
        digests: [u64::from(config) * 7919, 1, 1, 1],
    }
}

impl Night {
    pub(crate) fn new(nodes: usize, seed: u64, kind: Kind) -> Night {
        let mut rng = Rng::with_seed(seed);
        let list: Vec<Ipv4Addr> = (0..nodes).map(ip).collect();
        let node = |n: usize, seed: u64| {
            let mut circle = Circle::new(ip(n), seed);
            let others: Vec<Ipv4Addr> = list.iter().copied().filter(|o| *o != ip(n)).collect();
            circle.meet(&others);
            Node {
                circle,
                mending: Mending::default(),
                held: at(1),
                as_of: Some(0.0),
                tables: at(1),
                collated: (0.0, at(1)),
                since_wrong: None,
                differs: None,
                verdict: Verdict::NONE,
                faults: Faults::default(),
            }
        };
        let nodes = (0..nodes).map(|n| node(n, rng.u64(..))).collect();
        let (now, decided, history) = (0.0, at(1), vec![(1, 0.0)]);
        let (astray, held, asked, latest) = (0, 0, 0, 0.0);
        let (control_lost, noticed, mended) = (0.0, Vec::new(), Vec::new());
        Night {
            rng,
            kind,
            now,
            nodes,
            decided,
            history,
            control_lost,
            astray,
            held,
            asked,
            latest,
            noticed,
            mended,
        }
    }

    /// `hours` with `changes` changes and a fault a minute, then calm until all agree. Milliseconds that this took.
    pub(crate) fn pass(&mut self, hours: f64, changes: u32) -> Option<Ms> {
        let (end, mut change, mut fault) = (hours * 3_600_000.0, 0.0, 0.0);
        let gap = end / f64::from(changes);
        while self.now < end {
            if self.now >= change && self.now >= self.control_lost {
                change = self.now + gap * (0.2 + 1.6 * self.rng.f64());
                self.decided = at(self.decided.revision.config + 1 + self.rng.u32(0..3));
                self.history.push((self.decided.revision.config, self.now));
            }
            if self.now >= fault {
                fault = self.now + 60_000.0;
                self.fault();
            }
            self.step();
        }
        let calm = self.now;
        for node in &mut self.nodes {
            let f = &mut node.faults;
            let all = [
                &mut f.control,
                &mut f.all,
                &mut f.frozen,
                &mut f.agent,
                &mut f.push,
                &mut f.feed,
            ];
            all.into_iter().for_each(|end| *end = end.min(calm));
        }
        self.control_lost = self.control_lost.min(calm);
        while self.now - calm <= AGREED {
            self.step();
            let agrees = |n: &Node| n.tables == self.decided && n.verdict.runs_once_only(self.now);
            if self.nodes.iter().all(agrees) {
                return Some(self.now - calm);
            }
        }
        None
    }

    fn fault(&mut self) {
        let lasts = self.now + 1000.0 * 10f64.powf(3.0 * self.rng.f64());
        let many = [1, 1, 1, 2, 5, self.nodes.len() / 3][self.rng.usize(0..6)];
        let kind = self.rng.usize(0..8);
        if kind == 7 {
            // A majority of control is gone; for a minute at the most, and nothing is decided meanwhile.
            self.control_lost = self.now + 60_000.0 * self.rng.f64();
            return;
        }
        for _ in 0..many {
            let n = self.rng.usize(0..self.nodes.len());
            let faults = &mut self.nodes[n].faults;
            match kind {
                0 => faults.control = lasts,
                1 => faults.all = lasts,
                2 => faults.frozen = lasts,
                3 => faults.agent = lasts,
                4 => faults.push = lasts,
                5 => faults.feed = lasts,
                _ => self.nodes[n].tables.digests[0] ^= 1,
            }
        }
    }

    fn step(&mut self) {
        self.now += BEAT;
        for n in 0..self.nodes.len() {
            if self.now < self.nodes[n].faults.frozen {
                continue;
            }
            if self.now >= self.nodes[n].faults.agent {
                self.agent(n);
            }
            self.proxy(n);
        }
    }

    /// The agent hears control, or its neighbours.
    fn agent(&mut self, n: usize) {
        let now = self.now;
        let faults = &self.nodes[n].faults;
        let hears = now >= faults.control && now >= faults.all && now >= self.control_lost;
        let pushed = now >= faults.push;
        let node = &mut self.nodes[n];
        if hears {
            if pushed && self.decided.revision != node.held.revision {
                node.held = self.decided;
            }
            if self.kind == Kind::TrustsPushes || node.held.revision == self.decided.revision {
                let as_of = now - OLDEST * self.rng.f64();
                // A word is of its moment: nothing that was decided since is covered by it.
                let covers = self.history.last().is_some_and(|h| h.1 <= as_of);
                if covers || self.kind == Kind::TrustsPushes {
                    node.as_of = Some(node.as_of.map_or(as_of, |held| held.max(as_of)));
                }
            }
        }
        let alone = node.as_of.is_none_or(|at| now - at > ALONE);
        let acts = node.circle.beat(now, alone);
        for act in acts {
            self.act(n, act);
        }
        if !alone || now < self.nodes[n].faults.all {
            return;
        }
        let others: Vec<Ipv4Addr> = (0..4)
            .map(|_| ip(self.rng.usize(0..self.nodes.len())))
            .collect();
        let others: Vec<Ipv4Addr> = others.into_iter().filter(|o| *o != ip(n)).collect();
        self.nodes[n].circle.meet(&others);
    }

    fn reachable(&self, n: usize) -> bool {
        let f = &self.nodes[n].faults;
        self.now >= f.all && self.now >= f.frozen && self.now >= f.agent
    }

    fn act(&mut self, n: usize, act: Act) {
        match act {
            Act::Say { to, word } => {
                let to = (u32::from(to) - 0x0a00_0001) as usize;
                if !self.reachable(n) || !self.reachable(to) {
                    return;
                }
                let now = self.now;
                let peer = &mut self.nodes[to];
                let as_of = peer.as_of.filter(|at| now - at <= ALONE);
                let held = peer.held;
                for back in peer.circle.hear(now, ip(n), word, &held, as_of) {
                    let Act::Say { word, .. } = back else {
                        continue;
                    };
                    let (held, as_of) = (self.nodes[n].held, self.nodes[n].as_of);
                    let lent = match &word {
                        Lent::Lent { of, .. } => Some(*of),
                        _ => None,
                    };
                    for act in self.nodes[n].circle.hear(now, ip(to), word, &held, as_of) {
                        match (act, lent) {
                            (Act::AsOf(at), _) => {
                                let node = &mut self.nodes[n];
                                node.as_of = Some(node.as_of.map_or(at, |held| held.max(at)));
                            }
                            (Act::Fetch(_), Some(of)) => self.nodes[n].held = of,
                            _ => {}
                        }
                    }
                }
            }
            Act::AsOf(_) | Act::Fetch(_) => {}
        }
    }

    /// The agent feeds and mends the proxy, which collates and judges itself; then a once-only request comes.
    fn proxy(&mut self, n: usize) {
        let (now, bounds) = (self.now, Bounds::of(APPLY, STRETCH));
        let node = &mut self.nodes[n];
        let fed = now >= node.faults.feed;
        if now >= node.faults.agent {
            // A push, once; what the tables hold is mended when they are seen to differ.
            if fed && node.held.revision != node.tables.revision {
                (node.tables, node.collated) = (node.held, (now, node.held));
            }
            let word = Word {
                decided: node.held,
                as_of: now,
            };
            let standing = Verdict::of(&node.collated.1, Some(&word), false, &bounds).standing;
            let differing = Section::differing(&node.collated.1, &node.held);
            match node.mending.look(now, standing, &differing) {
                Some(Step::Sections(_) | Step::Snapshot | Step::Anew) if fed => {
                    (node.tables, node.collated) = (node.held, (now, node.held));
                }
                _ => {}
            }
            if now - node.collated.0 >= COLLATED {
                node.collated = (now, node.tables);
            }
            let deserted = node.circle.deserted(now);
            let word = node.as_of.map(|as_of| Word {
                decided: node.held,
                as_of,
            });
            node.verdict = Verdict::of(&node.collated.1, word.as_ref(), deserted, &bounds);
            if self.kind == Kind::TrustsPushes {
                node.verdict = Verdict {
                    standing: Standing::Current,
                    until: f64::INFINITY,
                };
            }
        } else if now - node.collated.0 >= COLLATED {
            // Without its agent it goes by what it was told; its tables are its own.
            node.collated = (now, node.tables);
            if node.collated.1 != at(node.tables.revision.config) {
                node.verdict.standing = Standing::Differs;
            }
        }
        let wrong = node.tables != at(node.tables.revision.config);
        node.since_wrong = wrong.then(|| node.since_wrong.unwrap_or(now));
        let (current, runs) = (
            node.tables == self.decided,
            node.verdict.runs_once_only(now),
        );
        match &mut node.differs {
            None if !current => node.differs = Some((now, (!runs).then_some(now))),
            Some((_, held)) if !current => *held = held.or((!runs).then_some(now)),
            Some((since, held)) if current && runs => {
                let f = &node.faults;
                let kept = [
                    f.control,
                    f.all,
                    f.frozen,
                    f.agent,
                    f.push,
                    f.feed,
                    self.control_lost,
                    *since,
                ];
                if now - *since > 1000.0 {
                    self.noticed.extend(held.map(|at| at - *since));
                    self.mended
                        .push(now - kept.into_iter().filter(|t| *t <= now).fold(0.0, f64::max));
                }
                node.differs = None;
            }
            _ => {}
        }
        self.request(n);
    }

    fn request(&mut self, n: usize) {
        let (now, node) = (self.now, &self.nodes[n]);
        self.asked += 1;
        if !node.verdict.runs_once_only(now) {
            self.held += 1;
            return;
        }
        let newer = self
            .history
            .iter()
            .rev()
            .take_while(|h| h.0 > node.tables.revision.config)
            .last();
        let late = newer.map_or(0.0, |h| now - h.1);
        let deserted = node.verdict.until - node.as_of.unwrap_or(now) > APPLY;
        let bound = if deserted { APPLY + STRETCH } else { APPLY };
        let corrupt = node
            .since_wrong
            .is_some_and(|at| now - at > COLLATED + 2.0 * BEAT);
        self.latest = self.latest.max(late);
        self.astray += u64::from(late > bound || corrupt);
    }
}
