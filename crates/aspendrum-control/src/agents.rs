//! Agents and their proxies: what each was told, how it stands to what was decided, and which proxies clients may be
//! sent to.

use crate::directory::{union, KnownFront};
use crate::peer_message::PeerMessage;
use crate::report::{self, Membership, Node};
use crate::server::{Ms, Server};
use aspendrum_model::message::{
    FromControl, ProxyEndpoint, Readiness, StateDigest, StateSection, ToControl, SECTION_KINDS,
};
use aspendrum_model::servers::ServerInstance as Origin;
use aspendrum_net::frames::Link;
use aspendrum_reconcile::{Standing, Verdict, Word};
use serde_json::Value;
use std::collections::HashMap;

const AGENT_SILENT: Ms = 1000.0;
/// An agent that goes to another machine of control is heard there within this time.
const MOVES: Ms = 1200.0;
/// A majority was read so lately that its news of proxies are the fleet's.
const SURE: Ms = 1200.0;
/// Of the time in which a change must be in force, how long a proxy may lack it before clients are sent elsewhere.
const OFF_SHARE: f64 = 0.5;

/// An agent and its proxy, by their connection.
struct Session {
    link: Link,
    host: String,
    front: Option<ProxyEndpoint>,
    heard: Ms,
    /// The number of the last news it was told, the last it has applied, and what it was told of each kind.
    said: u64,
    applied: u64,
    told: [Option<StateSection>; SECTION_KINDS],
    /// What its proxy has in force, and since when that is not what was decided.
    edition: StateDigest,
    standing: Standing,
    off: Option<Ms>,
    /// It has said that it goes to another machine of control.
    moving: bool,
}

impl Session {
    fn new(link: Link, now: Ms) -> Session {
        Session {
            link,
            host: String::new(),
            front: None,
            heard: now,
            said: 0,
            applied: 0,
            told: [const { None }; SECTION_KINDS],
            edition: StateDigest::default(),
            standing: Standing::Behind,
            off: None,
            moving: false,
        }
    }

    /// Tells it what it was not told yet.
    fn tell(&mut self, wanted: &[StateSection]) {
        for part in wanted {
            let told = &mut self.told[part.kind()];
            if told.as_ref().is_some_and(|told| same(told, part)) {
                continue;
            }
            self.said += 1;
            self.link.send(&FromControl::Update {
                number: self.said,
                section: part.clone(),
            });
            *told = Some(part.clone());
        }
    }
}

/// The agents that are connected to this machine, and all proxies that any machine of control hears of.
#[derive(Default)]
pub struct Agents {
    sessions: HashMap<u64, Session>,
    /// Proxies whose agents have gone to another machine of control, and until when they are believed to be there.
    moved: Vec<(ProxyEndpoint, Ms)>,
    all_fronts: Vec<ProxyEndpoint>,
}

impl Agents {
    /// The proxies whose agents are connected here, and those whose agents have just gone to another machine.
    pub fn fronts(&self) -> Vec<KnownFront> {
        let connected = self.sessions.values().filter_map(|s| s.front.clone());
        let connected = connected.map(|front| KnownFront {
            front,
            connected: true,
        });
        let moved = self.moved.iter().map(|m| KnownFront {
            front: m.0.clone(),
            connected: false,
        });
        connected.chain(moved).collect()
    }
}

impl Server {
    pub(crate) fn agent_connected(&mut self, id: u64, link: Link) {
        let now = self.now();
        self.agents.sessions.insert(id, Session::new(link, now));
    }

    pub(crate) fn agent_gone(&mut self, id: u64) {
        let Some(session) = self.agents.sessions.remove(&id) else {
            return;
        };
        let Some(front) = session.front else { return };
        log::info!(
            "event=agent_gone front={} moving={}",
            front.addr,
            session.moving
        );
        if session.moving {
            let until = self.now() + MOVES;
            self.agents.moved.push((front, until));
        }
        self.own_fronts_changed();
    }

    pub(crate) fn agent_said(&mut self, id: u64, message: ToControl) {
        let now = self.now();
        let Some(session) = self.agents.sessions.get_mut(&id) else {
            return;
        };
        session.heard = now;
        match message {
            ToControl::Hello {
                host,
                proxy_addr,
                zone,
            } => {
                log::info!("event=agent_came host={host} front={proxy_addr} zone={zone}");
                session.host = host;
                let readiness = Readiness::Closed;
                session.front = Some(ProxyEndpoint {
                    addr: proxy_addr,
                    zone,
                    readiness,
                    is_current: true,
                });
                self.own_fronts_changed();
                self.tell_agents();
            }
            ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            } => self.agent_beat(id, sent_at_ms, readiness, applied),
            ToControl::Disconnecting => session.moving = true,
            ToControl::Applied { number } => session.applied = session.applied.max(number),
        }
    }

    fn agent_beat(&mut self, id: u64, sent_at_ms: u64, readiness: Readiness, applied: StateDigest) {
        let now = self.now();
        let age = self
            .replica
            .as_of()
            .map(|at| (now - at).max(0.0).ceil() as u32);
        let (of, deserted) = (self.decided, false);
        let Some(session) = self.agents.sessions.get_mut(&id) else {
            return;
        };
        session.link.send(&FromControl::Heartbeat {
            sent_at_ms,
            majority_age: age,
            decided: of,
            control_reachable: true,
            most_agents_isolated: deserted,
        });
        session.edition = applied;
        // Without a majority this machine may be the one that is behind.
        if age.is_some_and(|age| Ms::from(age) <= SURE) {
            let word = Word {
                decided: of,
                as_of: now,
            };
            session.standing = Verdict::of(&applied, Some(&word), false, &self.bounds).standing;
            let off = session.standing != Standing::Current;
            session.off = off.then(|| session.off.unwrap_or(now));
        }
        // News that are on their way are no reason to send clients elsewhere.
        let current = session
            .off
            .is_none_or(|at| now - at < OFF_SHARE * self.settings.apply_deadline_ms);
        let standing = session.standing.word();
        let turned = session
            .front
            .as_mut()
            .filter(|f| (f.readiness, f.is_current) != (readiness, current));
        let Some(front) = turned else { return };
        if front.readiness != readiness {
            let is = if readiness == Readiness::Ready {
                "ready"
            } else {
                "not_ready"
            };
            log::info!("event=front_{is} front={} is={readiness:?}", front.addr);
        }
        if front.is_current != current {
            log::info!("event=front_standing front={} is={standing}", front.addr);
        }
        (front.readiness, front.is_current) = (readiness, current);
        self.own_fronts_changed();
    }

    /// An agent that is not heard of is frozen, cut off or without power, and its proxy with it.
    pub(crate) fn drop_silent_agents(&mut self, now: Ms) {
        let open = |f: &ProxyEndpoint| f.readiness != Readiness::Closed;
        let gone =
            |s: &&mut Session| now - s.heard > AGENT_SILENT && s.front.as_ref().is_some_and(open);
        let moved = self.agents.moved.len();
        self.agents.moved.retain(|m| now < m.1);
        let mut silent = self.agents.moved.len() != moved;
        for front in self
            .agents
            .sessions
            .values_mut()
            .filter(gone)
            .filter_map(|s| s.front.as_mut())
        {
            (front.readiness, silent) = (Readiness::Closed, true);
            log::info!("event=front_silent front={}", front.addr);
        }
        if silent {
            self.own_fronts_changed();
        }
    }

    fn own_fronts_changed(&mut self) {
        let own = self.agents.fronts();
        self.say_all(&PeerMessage::Fronts(own));
        self.update_fronts();
    }

    /// Takes together what all control that is there knows of proxies.
    pub(crate) fn update_fronts(&mut self) {
        let (now, own) = (self.now(), self.agents.fronts());
        let others = self.peers.up(now).map(|p| &p.1.fronts);
        let all = union(std::iter::once(&own).chain(others));
        if all == self.agents.all_fronts {
            return;
        }
        self.agents.all_fronts = all;
        let mut directory = self.directory.write().unwrap_or_else(|e| e.into_inner());
        directory.update(now, &self.agents.all_fronts);
        drop(directory);
        self.tell_agents();
    }

    /// What every agent is to know now.
    fn wanted(&self) -> Vec<StateSection> {
        let (settled, now) = (self.replica.settled(), self.now());
        let mut wanted = Vec::new();
        // Before a majority was read what is known here may be older than what an agent was told elsewhere.
        if self.replica.as_of().is_some() {
            if settled.config.version > 0 {
                let config = &settled.config;
                wanted.push(StateSection::config(config.version, config.text.clone()));
            }
            let (order, zones) = settled.evacuated();
            wanted.push(StateSection::Evacuated { order, zones });
        }
        wanted.extend(self.servers.part(now));
        // Without a majority it knows of its own agents only: what others were told of the rest stands.
        let sure = self.gathered() && self.replica.as_of().is_some_and(|at| now - at <= SURE);
        if sure && !self.agents.all_fronts.is_empty() {
            wanted.push(StateSection::Proxies(self.agents.all_fronts.clone()));
        }
        wanted.push(StateSection::Control(self.control_addresses()));
        wanted
    }

    pub(crate) fn tell_agents(&mut self) {
        let wanted = self.wanted();
        for session in self
            .agents
            .sessions
            .values_mut()
            .filter(|s| s.front.is_some())
        {
            session.tell(&wanted);
        }
    }

    pub(crate) fn report_nodes(&self) -> Value {
        let now = self.now();
        let node = |s: &Session| {
            let front = s.front.as_ref()?;
            Some(Node {
                host: s.host.clone(),
                front: front.addr.to_string(),
                zone: front.zone.clone(),
                ready: front.is_ready(),
                standing: s.standing,
                off_ms: s.off.map_or(0, |at| (now - at).max(0.0) as u64),
                applied: s.edition,
                news: (s.said, s.applied),
            })
        };
        let mut all: Vec<Node> = self.agents.sessions.values().filter_map(node).collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        let age = self.replica.as_of().map(|at| (now - at).max(0.0) as u64);
        let epoch = self.replica.epoch();
        let members = Membership {
            epoch: epoch.number,
            voters: epoch
                .voters
                .places()
                .map(|p| Server::show(p).to_string())
                .collect(),
            control: self
                .peers
                .places()
                .map(|p| Server::show(*p).to_string())
                .collect(),
            joined: self.replica.joined(),
        };
        report::nodes(&self.settings.host_name, &self.decided, age, &all, &members)
    }
}

/// Whether an agent that was told the one need not be told the other.
fn same(told: &StateSection, now: &StateSection) -> bool {
    match (told, now) {
        (
            StateSection::Config {
                version: a,
                checksum: s,
                ..
            },
            StateSection::Config {
                version: b,
                checksum: t,
                ..
            },
        ) => (a, s) == (b, t),
        (StateSection::Servers { list: a, .. }, StateSection::Servers { list: b, .. }) => {
            let alike = |x: &Origin, y: &Origin| {
                // A cold time that merely runs out is no news; one that begins is.
                let later = y.slow_start_left_ms > x.slow_start_left_ms;
                let plain = |s: &Origin| Origin {
                    slow_start_left_ms: 0,
                    ..s.clone()
                };
                !later && plain(x) == plain(y)
            };
            a.len() == b.len() && a.iter().zip(b).all(|(x, y)| alike(x, y))
        }
        (a, b) => a == b,
    }
}
