//! The one thread that owns what control knows. Everybody tells it what happened through one letter box; it
//! compares what is wanted of each agent with what that was told, and tells it the difference.

use crate::finding::{self, Directory};
use crate::links;
use crate::nodes::{self, Node};
use crate::notes::Note;
use crate::store::Store;
use crate::words::Between;
use aspendrum_consensus::founding::{self, Founding, Voters};
use aspendrum_consensus::{Act, Order, Outcome, Place, Register, Said};
use aspendrum_model::config::Config;
use aspendrum_model::news::{Down, Edition, Front, Part, Up, KINDS};
use aspendrum_model::packed::unpack;
use aspendrum_model::servers::{Roster, Server};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use aspendrum_net::mail::{Inbox, Post};
use aspendrum_reconcile::{edition, Bounds, Standing, Verdict, Word};
use crossbeam_channel::Sender;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

type Ms = f64;

/// How often what is due is looked after.
const BEAT: Duration = Duration::from_millis(50);
/// Between two looks at what a majority holds: agents' licences and late news rest on it.
const READ_EVERY: Ms = 400.0;
/// The same before the first: all wait for it after a loss of power.
const READ_FIRST: Ms = 100.0;
const HERE_EVERY: Ms = 500.0;
/// Control that said nothing for so long does not count as there.
const SILENT: Ms = 1600.0;
const AGENT_SILENT: Ms = 1000.0;
/// After its start it hears of the others' agents for so long before it tells its own of them: the others
/// dial it anew within a hundred milliseconds.
const GATHER: Ms = 150.0;
/// A majority was read so lately that its news of proxies are the fleet's.
const SURE: Ms = 1200.0;
/// Of the time in which a draining server must be left, what passes between two looks at the list at most.
const POLL_SHARE: f64 = 0.25;
const POLL_STEP: Ms = 600.0;
/// Versions that can be explained.
const VERSIONS: usize = 4;
/// Of the time in which a change must be in force, how long a proxy may lack it before clients are sent elsewhere.
const OFF_SHARE: f64 = 0.5;
/// Of the platform's calls a second, what is taken at the most.
const RATE_SHARE: f64 = 0.5;

/// An agent and its proxy, by their link.
struct Seat {
    link: Link,
    host: String,
    front: Option<Front>,
    heard: Ms,
    /// The number of the last news it was told, the last it has applied, and what it was told of each kind.
    said: u64,
    applied: u64,
    told: [Option<Part>; KINDS],
    /// What its proxy has in force, and since when that is not what was decided.
    edition: Edition,
    standing: Standing,
    off: Option<Ms>,
}

/// Another machine of control.
#[derive(Default)]
struct Peer {
    zone: String,
    link: Option<Link>,
    heard: Option<Ms>,
    fronts: Vec<Front>,
    held: bool,
}

pub struct Desk {
    settings: Settings,
    store: Option<Store>,
    register: Register,
    /// Until it is settled who votes.
    founding: Option<Founding>,
    /// What a majority is known to hold, as it is in force where it was applied.
    decided: Edition,
    /// The last versions that were settled here, the newest first.
    versions: VecDeque<Config>,
    bounds: Bounds,
    me: Place,
    begun: Instant,
    notes: Arc<Post<Note>>,
    peers: BTreeMap<Place, Peer>,
    seats: HashMap<u64, Seat>,
    roster: Roster,
    /// When the platform's list was last read by anyone, by this clock.
    polled: Option<Ms>,
    polling: bool,
    poll: Sender<SocketAddrV4>,
    poll_failed: u32,
    fronts: Vec<Front>,
    directory: Arc<RwLock<Directory>>,
    tickets: HashMap<u64, Sender<Outcome>>,
    next_ticket: u64,
    read_at: Ms,
    here_at: Ms,
    gathered: bool,
}

impl Desk {
    pub fn new(
        settings: Settings,
        store: Option<Store>,
        register: Register,
        founding: Option<Founding>,
        notes: Arc<Post<Note>>,
        poll: Sender<SocketAddrV4>,
        directory: Arc<RwLock<Directory>>,
    ) -> Desk {
        let (me, bounds) = (u32::from(settings.ip), Bounds::of(settings.apply_ms, settings.stretch_ms));
        Desk {
            settings,
            store,
            decided: edition(None, 0, &[]),
            versions: VecDeque::new(),
            bounds,
            register,
            founding,
            me,
            begun: Instant::now(),
            notes,
            peers: BTreeMap::new(),
            seats: HashMap::new(),
            roster: Roster::default(),
            polled: None,
            polling: false,
            poll,
            poll_failed: 0,
            fronts: Vec::new(),
            directory,
            tickets: HashMap::new(),
            next_ticket: 1,
            read_at: f64::NEG_INFINITY,
            here_at: f64::NEG_INFINITY,
            gathered: false,
        }
    }

    fn now(&self) -> Ms {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    pub fn run(mut self, notes: &Inbox<Note>, first: Vec<Act>) {
        self.act(first);
        self.meet();
        let mut due = Instant::now();
        loop {
            match notes.next(Some(due)) {
                Ok(note) => self.hear(note),
                Err(_) => {
                    due = Instant::now() + BEAT;
                    self.beat();
                }
            }
        }
    }

    fn hear(&mut self, note: Note) {
        let now = self.now();
        match note {
            Note::Heard { from, said } => self.heard(from, said),
            Note::Reached { place, link } => self.reached(place, link),
            Note::Agent { id, link } => {
                let told = [const { None }; KINDS];
                let (front, edition, standing, off) = (None, Edition::default(), Standing::Behind, None);
                let host = String::new();
                let seat =
                    Seat { link, host, front, heard: now, said: 0, applied: 0, told, edition, standing, off };
                self.seats.insert(id, seat);
            }
            Note::AgentSaid { id, said } => self.agent(id, said),
            Note::AgentGone { id } => {
                if let Some(front) = self.seats.remove(&id).and_then(|s| s.front) {
                    log::info!("event=agent_gone front={}", front.addr);
                    self.own_fronts();
                }
            }
            Note::Order { order, answer } => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.tickets.insert(ticket, answer);
                let acts = self.register.order(now, order, Some(ticket));
                self.act(acts);
            }
            Note::Polled { asked, list } => {
                self.polling = false;
                let at = asked.saturating_duration_since(self.begun).as_secs_f64() * 1000.0;
                match list {
                    Ok(list) => {
                        self.poll_failed = 0;
                        self.servers(list, at, true);
                    }
                    Err(why) => {
                        self.poll_failed += 1;
                        log::warn!("event=list_not_read failures={} why=\"{why}\"", self.poll_failed);
                        // Not at once again: the rate is shared by all.
                        self.polled = Some(now);
                    }
                }
            }
            Note::Told { of, answer } => {
                let told = match of {
                    None => self.nodes(),
                    Some((host, path)) => nodes::explain(self.versions.iter(), &host, &path),
                };
                let _ = answer.try_send(told);
            }
            Note::Settings(settings) => {
                log::info!("event=settings_read seeds={}", settings.seeds.len());
                self.settings = *settings;
                self.meet();
            }
        }
    }

    /// Links to all control that is known of.
    fn meet(&mut self) {
        let seeds = self.settings.seeds.iter().map(|s| u32::from(*s.ip()));
        let voters = self.register.kept().held.voters.iter().copied();
        let known: Vec<Place> = seeds.chain(voters).chain(self.peers.keys().copied()).collect();
        for place in known {
            let peer = self.peers.entry(place).or_default();
            if place == self.me || std::mem::replace(&mut peer.held, true) {
                continue;
            }
            let silence = Duration::from_millis(SILENT as u64);
            let at = self.settings.control_at(Ipv4Addr::from(place));
            if let Err(e) = links::hold(place, at, silence, &self.notes) {
                log::error!("event=link_not_started why=\"{e}\"");
            }
        }
        self.peers.remove(&self.me);
    }

    fn reached(&mut self, place: Place, link: Option<Link>) {
        log::info!(
            "event=control_{} place={}",
            if link.is_some() { "reached" } else { "lost" },
            Ipv4Addr::from(place)
        );
        let hello = self.hello();
        let peer = self.peers.entry(place).or_default();
        peer.link = link;
        self.say(place, hello);
        let fronts = self.own();
        self.say(place, Between::Fronts(fronts));
        let now = self.now();
        if let Some(polled) = self.roster.polled {
            let (age, list) = ((now - polled).max(0.0) as u32, self.roster.told(now));
            self.say(place, Between::Servers { age, list });
        }
    }

    /// Who speaks, where others are, and who votes.
    fn hello(&self) -> Between {
        let others = self.peers.iter().map(|(p, peer)| (*p, peer.zone.clone())).collect();
        let (zone, voters) = (self.settings.zone.clone(), self.register.kept().held.voters.clone());
        Between::Hello { place: self.me, zone, others, voters }
    }

    /// Carries out what settling the voters comes to.
    fn found(&mut self, acts: Vec<founding::Act>) {
        for act in acts {
            match act {
                founding::Act::Keep => {
                    let part = self.founding.as_ref().map(|f| f.acceptor().clone()).unwrap_or_default();
                    let kept = self.register.founding(&part);
                    self.act(kept);
                }
                founding::Act::Say { to, word } => self.say(to, Between::Founding(word)),
                founding::Act::Founded(voters) => self.know(&voters),
            }
        }
    }

    /// It is settled who votes.
    fn know(&mut self, voters: &Voters) {
        if voters.is_empty() || self.register.kept().held.voters == *voters {
            return;
        }
        let acts = self.register.introduce(voters);
        self.act(acts);
        self.founding = None;
        log::info!("event=founded voters={} votes={}", voters.len(), self.register.votes());
        // Whoever has come meanwhile hears of it.
        let hello = self.hello();
        self.say_all(&hello);
    }

    fn say(&self, to: Place, said: Between) {
        if let Some(link) = self.peers.get(&to).and_then(|p| p.link.as_ref()) {
            link.say(&links::Word::Between(said));
        }
    }

    fn say_all(&self, said: &Between) {
        for peer in self.peers.values().filter_map(|p| p.link.as_ref()) {
            peer.say(&links::Word::Between(said.clone()));
        }
    }

    fn heard(&mut self, from: Place, said: Between) {
        let now = self.now();
        let peer = self.peers.entry(from).or_default();
        let back = peer.heard.replace(now).is_none_or(|at| now - at > SILENT);
        match said {
            Between::Hello { zone, others, voters, .. } => {
                peer.zone = zone;
                for (place, zone) in others.into_iter().filter(|o| o.0 != self.me) {
                    let known = self.peers.entry(place).or_default();
                    if known.zone.is_empty() {
                        known.zone = zone;
                    }
                }
                if self.register.kept().held.voters.is_empty() {
                    self.know(&voters);
                }
                self.meet();
                self.tell_agents();
            }
            Between::Here { polled } => {
                if let Some(age) = polled {
                    self.polled = Some(self.polled.unwrap_or(f64::NEG_INFINITY).max(now - f64::from(age)));
                }
            }
            Between::Founding(word) => {
                let acts = self.founding.as_mut().map(|f| f.hear(from, word)).unwrap_or_default();
                self.found(acts);
            }
            Between::Register(said) => {
                if said == Said::Nudge {
                    self.read_at = f64::NEG_INFINITY;
                }
                let first = self.register.as_of().is_none();
                let acts = self.register.hear(now, from, said);
                self.act(acts);
                if first && self.register.as_of().is_some() {
                    // What was settled before a majority was read has been told to nobody.
                    self.tell_agents();
                }
            }
            Between::Fronts(fronts) => {
                peer.fronts = fronts;
                self.all_fronts();
            }
            Between::Servers { age, list } => self.servers(list, now - f64::from(age), false),
        }
        if back {
            self.all_fronts();
        }
    }

    fn servers(&mut self, list: Vec<Server>, polled: Ms, own: bool) {
        self.polled = Some(self.polled.unwrap_or(f64::NEG_INFINITY).max(polled));
        let now = self.now();
        if self.roster.take(now, list, polled) {
            if own {
                let (age, list) = ((now - polled).max(0.0) as u32, self.roster.told(now));
                self.say_all(&Between::Servers { age, list });
            }
            self.tell_agents();
        }
    }

    fn agent(&mut self, id: u64, said: Up) {
        let age = self.register.as_of().map(|at| (self.now() - at).max(0.0).ceil() as u32);
        let (now, of, deserted) = (self.now(), self.decided, false);
        let Some(seat) = self.seats.get_mut(&id) else { return };
        seat.heard = now;
        match said {
            Up::Hello { host, front, zone } => {
                log::info!("event=agent_came host={host} front={front} zone={zone}");
                seat.host = host;
                seat.front = Some(Front { addr: front, zone, ready: false, current: true });
                self.own_fronts();
                self.tell_agents();
            }
            Up::Beat { stamp, ready, applied } => {
                seat.link.say(&Down::Beat { stamp, age, of, heard: true, deserted });
                seat.edition = applied;
                // Without a majority this machine may be the one that is behind.
                if age.is_some_and(|age| Ms::from(age) <= SURE) {
                    let word = Word { decided: of, as_of: now };
                    seat.standing = Verdict::of(&applied, Some(&word), false, &self.bounds).standing;
                    let off = seat.standing != Standing::Current;
                    seat.off = off.then(|| seat.off.unwrap_or(now));
                }
                // News that are on their way are no reason to send clients elsewhere.
                let current = seat.off.is_none_or(|at| now - at < OFF_SHARE * self.settings.apply_ms);
                let standing = seat.standing.word();
                let front = seat.front.as_mut().filter(|f| (f.ready, f.current) != (ready, current));
                if let Some(front) = front {
                    if front.ready != ready {
                        let is = if ready { "ready" } else { "not_ready" };
                        log::info!("event=front_{is} front={}", front.addr);
                    }
                    if front.current != current {
                        log::info!("event=front_standing front={} is={standing}", front.addr);
                    }
                    (front.ready, front.current) = (ready, current);
                    self.own_fronts();
                }
            }
            Up::Applied { number } => seat.applied = seat.applied.max(number),
        }
    }

    fn nodes(&self) -> Value {
        let now = self.now();
        let node = |s: &Seat| {
            let front = s.front.as_ref()?;
            Some(Node {
                host: s.host.clone(),
                front: front.addr.to_string(),
                zone: front.zone.clone(),
                ready: front.ready,
                standing: s.standing,
                off_ms: s.off.map_or(0, |at| (now - at).max(0.0) as u64),
                applied: s.edition,
                news: (s.said, s.applied),
            })
        };
        let mut all: Vec<Node> = self.seats.values().filter_map(node).collect();
        all.sort_by(|a, b| a.host.cmp(&b.host));
        let age = self.register.as_of().map(|at| (now - at).max(0.0) as u64);
        let control: Vec<String> = self.peers.keys().map(|p| Ipv4Addr::from(*p).to_string()).collect();
        nodes::nodes(&self.settings.host, &self.decided, age, &all, &control)
    }

    fn own(&self) -> Vec<Front> {
        self.seats.values().filter_map(|s| s.front.clone()).collect()
    }

    fn own_fronts(&mut self) {
        let own = self.own();
        self.say_all(&Between::Fronts(own));
        self.all_fronts();
    }

    /// Takes together what all control that is there knows of proxies.
    fn all_fronts(&mut self) {
        let (now, own) = (self.now(), self.own());
        let there = self.peers.values().filter(|p| p.heard.is_some_and(|at| now - at <= SILENT));
        let all = finding::union(std::iter::once(&own).chain(there.map(|p| &p.fronts)));
        if all == self.fronts {
            return;
        }
        self.fronts = all;
        let directory = Directory::new(&self.fronts, &self.settings.zones);
        *self.directory.write().unwrap_or_else(|e| e.into_inner()) = directory;
        self.tell_agents();
    }

    /// What every agent is to know now.
    fn wanted(&self) -> Vec<Part> {
        let settled = self.register.settled();
        let now = self.now();
        let mut wanted = Vec::new();
        // Before a majority was read what is known here may be older than what an agent was told elsewhere.
        if self.register.as_of().is_some() {
            if settled.config.version > 0 {
                let config = &settled.config;
                wanted.push(Part::config(config.version, config.text.clone()));
            }
            let (number, zones) = settled.evacuated();
            wanted.push(Part::Evacuated { number, zones });
        }
        if let Some(polled) = self.roster.polled {
            wanted.push(Part::Servers { age: (now - polled).max(0.0) as u32, list: self.roster.told(now) });
        }
        // Without a majority it knows of its own agents only: what others were told of the rest stands.
        let sure = now >= GATHER && self.register.as_of().is_some_and(|at| now - at <= SURE);
        if sure && !self.fronts.is_empty() {
            wanted.push(Part::Fronts(self.fronts.clone()));
        }
        let mut control = vec![(self.settings.ip, self.settings.zone.clone())];
        control.extend(self.peers.iter().map(|(p, peer)| (Ipv4Addr::from(*p), peer.zone.clone())));
        wanted.push(Part::Control(control));
        wanted
    }

    fn tell_agents(&mut self) {
        let wanted = self.wanted();
        for seat in self.seats.values_mut().filter(|s| s.front.is_some()) {
            for part in &wanted {
                let told = &mut seat.told[part.kind()];
                if told.as_ref().is_some_and(|told| same(told, part)) {
                    continue;
                }
                seat.said += 1;
                seat.link.say(&Down::News { number: seat.said, part: part.clone() });
                *told = Some(part.clone());
            }
        }
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Keep => {
                    let kept = self.register.kept();
                    if let Some(Err(why)) = self.store.as_ref().map(|s| s.keep(kept)) {
                        // What is not on the disk must not be said to be: the next start reads what is there.
                        log::error!("event=disk_failed why=\"{why}\"");
                        std::process::exit(1);
                    }
                }
                Act::Say { to, said } => self.say(to, Between::Register(said)),
                Act::Ended { ticket, outcome } => {
                    if let Some(answer) = self.tickets.remove(&ticket) {
                        let _ = answer.try_send(outcome);
                    }
                }
                Act::News => {
                    self.settle();
                    let settled = self.register.settled();
                    log::info!(
                        "event=settled version={:08x} evacuated={:?}",
                        settled.config.version,
                        settled.evacuated().1
                    );
                    self.say_all(&Between::Register(Said::Nudge));
                    self.tell_agents();
                }
            }
        }
    }

    /// What is decided now, as it would be in force.
    fn settle(&mut self) {
        let settled = self.register.settled();
        let (number, zones) = settled.evacuated();
        // Only what was found valid is held; of anything else nothing is in force anywhere.
        let config = unpack(&settled.config.text).and_then(|text| Config::read(&text).ok());
        self.decided = edition(config.as_ref(), number, &zones);
        let Some(config) = config else { return };
        self.versions.retain(|held| held.version != config.version);
        self.versions.push_front(config);
        self.versions.truncate(VERSIONS);
    }

    fn beat(&mut self) {
        let now = self.now();
        if let Some(founding) = &mut self.founding {
            let heard = self.peers.iter().filter(|p| p.1.heard.is_some());
            let mut there: BTreeMap<Place, String> = heard.map(|p| (*p.0, p.1.zone.clone())).collect();
            there.insert(self.me, self.settings.zone.clone());
            let acts = founding.beat(now, &there);
            self.found(acts);
        }
        let acts = self.register.beat(now);
        self.act(acts);
        let every = if self.register.as_of().is_some() { READ_EVERY } else { READ_FIRST };
        if now - self.read_at >= every {
            self.read_at = now;
            let first = self.register.as_of().is_none();
            let acts = self.register.order(now, Order::Read, None);
            self.act(acts);
            if first && self.register.as_of().is_some() {
                self.tell_agents();
            }
        }
        if now - self.here_at >= HERE_EVERY {
            self.here_at = now;
            let polled = self.polled.map(|at| (now - at).max(0.0) as u32);
            self.say_all(&Between::Here { polled });
            self.all_fronts();
            // Agents that came before a majority could be read.
            self.tell_agents();
        }
        // An agent that is not heard of is frozen, cut off or without power, and its proxy with it.
        let gone = |s: &&mut Seat| now - s.heard > AGENT_SILENT && s.front.as_ref().is_some_and(|f| f.ready);
        let mut silent = false;
        for front in self.seats.values_mut().filter(gone).filter_map(|s| s.front.as_mut()) {
            (front.ready, silent) = (false, true);
            log::info!("event=front_silent front={}", front.addr);
        }
        if silent {
            self.own_fronts();
        }
        if !self.gathered && now >= GATHER {
            self.gathered = true;
            self.tell_agents();
        }
        self.poll(now);
    }

    fn poll(&mut self, now: Ms) {
        let Some(cloud) = self.settings.cloud.filter(|_| !self.polling) else { return };
        let heard = |p: &Peer| p.heard.is_some_and(|at| now - at <= SILENT);
        let live: Vec<Place> = self.peers.iter().filter(|p| heard(p.1)).map(|p| *p.0).collect();
        let every =
            (POLL_SHARE * self.settings.drain_ms).max(1000.0 / (RATE_SHARE * self.settings.cloud_rate));
        let age = self.polled.map(|at| now - at);
        if finding::polls(self.me, &live, age, every, POLL_STEP) && self.poll.try_send(cloud).is_ok() {
            self.polling = true;
        }
    }
}

/// Whether an agent that was told the one need not be told the other.
fn same(told: &Part, now: &Part) -> bool {
    match (told, now) {
        (Part::Config { version: a, seal: s, .. }, Part::Config { version: b, seal: t, .. }) => {
            (a, s) == (b, t)
        }
        (Part::Servers { list: a, .. }, Part::Servers { list: b, .. }) => {
            let alike = |x: &Server, y: &Server| {
                // A cold time that merely runs out is no news; one that begins is.
                let later = y.warm_left_ms > x.warm_left_ms;
                let plain = |s: &Server| Server { warm_left_ms: 0, ..s.clone() };
                !later && plain(x) == plain(y)
            };
            a.len() == b.len() && a.iter().zip(b).all(|(x, y)| alike(x, y))
        }
        (a, b) => a == b,
    }
}
