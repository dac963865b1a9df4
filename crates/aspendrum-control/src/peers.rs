//! The other machines of control: connections, signs of life, and what of them concerns who votes.

use crate::directory::KnownFront;
use crate::links;
use crate::peer_message::{Hello, PeerMessage};
use crate::server::{Ms, Server};
use crate::storage::Health;
use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::reconfigure::Presence;
use aspendrum_consensus::{Message, Place};
use aspendrum_model::message::ControlAddress;
use aspendrum_net::frames::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Control that said nothing for so long does not count as there.
const SILENT: Ms = 1600.0;
/// A machine that nothing names any more and that was silent for so long is forgotten.
const FORGET: Ms = 60_000.0;

/// Another machine of control.
#[derive(Default)]
pub struct Peer {
    zone: String,
    disk: DiskId,
    leaving: bool,
    link: Option<Link>,
    /// When it was named first, and when it was heard last.
    named: Ms,
    heard: Option<Ms>,
    /// The proxies whose agents it serves.
    pub fronts: Vec<KnownFront>,
    /// Its connection is kept for as long as this is true.
    wanted: Arc<AtomicBool>,
}

impl Peer {
    fn named(now: Ms) -> Peer {
        Peer {
            named: now,
            ..Peer::default()
        }
    }

    fn up(&self, now: Ms) -> bool {
        self.heard.is_some_and(|at| now - at <= SILENT)
    }

    /// For how long nothing was heard of it, or of it by others.
    fn silent(&self, now: Ms) -> Ms {
        now - self.heard.unwrap_or(self.named)
    }
}

/// All machines of control that are known of, but this one.
#[derive(Default)]
pub struct Peers(BTreeMap<Place, Peer>);

impl Peers {
    /// Those that were heard of late.
    pub fn up(&self, now: Ms) -> impl Iterator<Item = (&Place, &Peer)> {
        self.0.iter().filter(move |p| p.1.up(now))
    }

    pub fn places(&self) -> impl Iterator<Item = &Place> {
        self.0.keys()
    }
}

impl Server {
    /// Connections to all machines that the settings name, that vote, or that others named.
    pub(crate) fn connect_peers(&mut self) {
        let voters: Vec<Place> = self.replica.epoch().voters.places().collect();
        let known: BTreeSet<Place> = self
            .seeds()
            .into_iter()
            .chain(voters)
            .chain(self.peers.0.keys().copied())
            .collect();
        for place in known.into_iter().filter(|p| *p != self.me) {
            let now = self.now();
            let peer = self
                .peers
                .0
                .entry(place)
                .or_insert_with(|| Peer::named(now));
            if peer.wanted.swap(true, Ordering::AcqRel) {
                continue;
            }
            let (wanted, silence) = (peer.wanted.clone(), Duration::from_millis(SILENT as u64));
            let at = self.settings.control_addr(Ipv4Addr::from(place));
            if let Err(e) = links::hold(place, at, silence, wanted, &self.events) {
                log::error!("event=link_not_started why=\"{e}\"");
            }
        }
    }

    fn seeds(&self) -> Vec<Place> {
        self.settings
            .seeds
            .iter()
            .map(|s| u32::from(*s.ip()))
            .collect()
    }

    pub(crate) fn peer_link(&mut self, place: Place, link: Option<Link>) {
        let is = if link.is_some() { "reached" } else { "lost" };
        log::info!("event=control_{is} place={}", Server::show(place));
        let up = link.is_some();
        let Some(peer) = self.peers.0.get_mut(&place) else {
            return;
        };
        peer.link = link;
        if !up {
            return;
        }
        let hello = self.hello();
        self.say(place, &hello);
        let fronts = self.agents.fronts();
        self.say(place, &PeerMessage::Fronts(fronts));
        if let Some(servers) = self.servers.message(self.now()) {
            self.say(place, &servers);
        }
    }

    fn hello(&self) -> PeerMessage {
        let (state, now) = (self.replica.state(), self.now());
        let well = self.storage.health() == Health::Well;
        // Machines that are gone for good are not named for ever.
        let heard = |peer: &Peer| peer.heard.is_some() && peer.silent(now) < FORGET;
        let others = self.peers.0.iter().filter(|p| heard(p.1));
        PeerMessage::Hello(Box::new(Hello {
            place: self.me,
            zone: self.settings.zone.clone(),
            disk: if self.has_disk() { state.disk } else { 0 },
            leaving: self.is_leaving() || !well,
            epoch: state.epoch.clone(),
            others: others.map(|(p, peer)| (*p, peer.zone.clone())).collect(),
        }))
    }

    fn has_disk(&self) -> bool {
        self.settings.data_dir.is_some() && self.storage.health() != Health::Failed
    }

    /// Tells all what has changed about this machine.
    pub(crate) fn say_hello(&self) {
        let hello = self.hello();
        self.say_all(&hello);
    }

    pub(crate) fn say(&self, to: Place, message: &PeerMessage) {
        if let Some(link) = self.peers.0.get(&to).and_then(|p| p.link.as_ref()) {
            link.send(&links::between(message));
        }
    }

    pub(crate) fn say_all(&self, message: &PeerMessage) {
        for link in self.peers.0.values().filter_map(|p| p.link.as_ref()) {
            link.send(&links::between(message));
        }
    }

    pub(crate) fn heartbeat(&mut self, now: Ms) {
        let polled = self.servers.age(now);
        self.say_all(&PeerMessage::Heartbeat { polled });
        let health = self.storage.health();
        if self.peers_told_health(health) {
            self.say_hello();
        }
        self.forget_peers(now);
    }

    /// Whether the others are to hear how this machine's disk is.
    fn peers_told_health(&mut self, health: Health) -> bool {
        std::mem::replace(&mut self.told_health, health) != health
    }

    fn forget_peers(&mut self, now: Ms) {
        let seeds = self.seeds();
        let voters = &self.replica.epoch().voters;
        let keep = |place: &Place, peer: &Peer| {
            seeds.contains(place) || voters.names(*place) || peer.silent(now) < FORGET
        };
        self.peers.0.retain(|place, peer| {
            let keep = keep(place, peer);
            if !keep {
                log::info!("event=control_forgotten place={}", Server::show(*place));
                peer.wanted.store(false, Ordering::Release);
            }
            keep
        });
    }

    pub(crate) fn peer_said(&mut self, from: Place, message: PeerMessage) {
        let now = self.now();
        let Some(peer) = self.peers.0.get_mut(&from) else {
            // Whoever is not known yet says who it is first.
            if let PeerMessage::Hello(hello) = message {
                self.peers.0.insert(
                    from,
                    Peer {
                        heard: Some(now),
                        ..Peer::named(now)
                    },
                );
                self.heard_hello(now, from, *hello);
            }
            return;
        };
        let back = peer.heard.replace(now).is_none_or(|at| now - at > SILENT);
        match message {
            PeerMessage::Hello(hello) => self.heard_hello(now, from, *hello),
            PeerMessage::Heartbeat { polled } => self.servers.heard_age(now, polled),
            PeerMessage::Consensus(message) => self.heard_consensus(now, from, message),
            PeerMessage::Fronts(fronts) => {
                peer.fronts = fronts;
                self.update_fronts();
            }
            PeerMessage::Servers { age, list } => {
                self.take_servers(list, now - f64::from(age), false)
            }
        }
        if back {
            self.update_fronts();
        }
    }

    fn heard_hello(&mut self, now: Ms, from: Place, hello: Hello) {
        let peer = self.peers.0.entry(from).or_insert_with(|| Peer::named(now));
        (peer.zone, peer.disk, peer.leaving) = (hello.zone, hello.disk, hello.leaving);
        for (place, zone) in hello.others.into_iter().filter(|o| o.0 != self.me) {
            let known = self
                .peers
                .0
                .entry(place)
                .or_insert_with(|| Peer::named(now));
            if known.zone.is_empty() {
                known.zone = zone;
            }
        }
        let effects = self.replica.heard_epoch_from(now, from, hello.epoch);
        self.carry_out(effects);
        self.connect_peers();
        self.tell_agents();
    }

    fn heard_consensus(&mut self, now: Ms, from: Place, message: Message) {
        if message == Message::Nudge {
            self.read_soon();
        }
        let first = self.replica.as_of().is_none();
        let effects = self.replica.hear(now, from, message);
        self.carry_out(effects);
        self.tell_if_first(first);
    }

    /// How the machines of control are, this one and all voters among them.
    pub(crate) fn presence(&self) -> BTreeMap<Place, Presence> {
        let now = self.now();
        let of = |peer: &Peer| Presence {
            disk: peer.disk,
            zone: peer.zone.clone(),
            silent: peer.silent(now),
            leaving: peer.leaving,
        };
        let mut all: BTreeMap<Place, Presence> = self
            .peers
            .0
            .iter()
            .map(|(p, peer)| (*p, of(peer)))
            .collect();
        let unheard = Presence {
            disk: 0,
            zone: String::new(),
            silent: now,
            leaving: false,
        };
        for voter in self.replica.epoch().voters.places() {
            all.entry(voter).or_insert_with(|| unheard.clone());
        }
        let disk = if self.has_disk() {
            self.replica.state().disk
        } else {
            0
        };
        let leaving = self.is_leaving() || self.storage.health() != Health::Well;
        let zone = self.settings.zone.clone();
        all.insert(
            self.me,
            Presence {
                disk,
                zone,
                silent: 0.0,
                leaving,
            },
        );
        all
    }

    /// Where control is, as agents are told.
    pub(crate) fn control_addresses(&self) -> Vec<ControlAddress> {
        let now = self.now();
        let own = ControlAddress {
            ip: self.settings.ip,
            zone: self.settings.zone.clone(),
            reachable: !self.is_leaving(),
        };
        let of = |(place, peer): (&Place, &Peer)| ControlAddress {
            ip: Ipv4Addr::from(*place),
            zone: peer.zone.clone(),
            reachable: peer.up(now) && !peer.leaving,
        };
        std::iter::once(own)
            .chain(self.peers.0.iter().map(of))
            .collect()
    }
}
