//! The one thread that owns what control knows. Every other thread tells it what happened through one mailbox; it
//! compares what each agent should know with what that was told, and tells it the difference.
//!
//! The parts: [`crate::peers`] (other machines of control, and who votes), [`crate::agents`] (agents and their
//! proxies), [`crate::servers`] (the platform's list).

use crate::agents::Agents;
use crate::directory::Directory;
use crate::event::Event;
use crate::peer_message::PeerMessage;
use crate::peers::Peers;
use crate::report;
use crate::servers::Servers;
use crate::storage::{After, Health, Storage};
use aspendrum_consensus::reconfigure::{next_voters, Reconfigure, Rules};
use aspendrum_consensus::{Effect, Message, Order, Outcome, Place, Replica, State};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::StateDigest;
use aspendrum_model::settings::Settings;
use aspendrum_net::mailbox::{MailboxReceiver, MailboxSender};
use aspendrum_reconcile::{edition, Bounds};
use crossbeam_channel::Sender;
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

pub type Ms = f64;

/// How often what is due is looked after.
const BEAT: Duration = Duration::from_millis(50);
/// Between two looks at what a majority holds: agents' licences and late news rest on it.
const READ_EVERY: Ms = 400.0;
/// The same before the first: all wait for it after a loss of power.
const READ_FIRST: Ms = 100.0;
const HEARTBEAT_EVERY: Ms = 500.0;
/// After its start it hears of the others' agents for so long before it tells its own of them: the others
/// connect within a hundred milliseconds.
const GATHER: Ms = 150.0;
/// An order that waited for so long is not begun: its caller has gone to another machine, and others may have given
/// other orders since.
const ORDER_LATE: Duration = Duration::from_millis(850);
/// Versions that can be explained.
const VERSIONS: usize = 4;

/// Where a machine of control begins.
pub struct Start {
    /// Its clock begins then.
    pub begun: Instant,
    pub settings: Settings,
    pub replica: Replica,
    pub storage: Storage,
    pub events: Arc<MailboxSender<Event>>,
    pub poll: Sender<SocketAddrV4>,
    pub directory: Arc<RwLock<Directory>>,
}

pub struct Server {
    pub(crate) settings: Settings,
    pub(crate) storage: Storage,
    pub(crate) replica: Replica,
    pub(crate) reconfigure: Reconfigure,
    /// What a majority is known to hold, as it is in force where it was applied.
    pub(crate) decided: StateDigest,
    /// The last versions that were settled here, the newest first.
    versions: VecDeque<Config>,
    pub(crate) bounds: Bounds,
    pub(crate) me: Place,
    begun: Instant,
    pub(crate) events: Arc<MailboxSender<Event>>,
    pub(crate) peers: Peers,
    pub(crate) agents: Agents,
    pub(crate) servers: Servers,
    pub(crate) directory: Arc<RwLock<Directory>>,
    tickets: HashMap<u64, Sender<Outcome>>,
    next_ticket: u64,
    read_at: Ms,
    heartbeat_at: Ms,
    gathered: bool,
    leaving: Option<Leaving>,
    /// As the other machines were told it last.
    pub(crate) told_health: Health,
}

/// This process was told to end.
struct Leaving {
    since: Ms,
    /// It had a vote then, which another machine is to take.
    voted: bool,
    /// Hears when the process may end.
    done: Sender<()>,
}

impl Server {
    pub fn new(start: Start) -> Server {
        let Start {
            begun,
            settings,
            replica,
            storage,
            events,
            poll,
            directory,
        } = start;
        let me = u32::from(settings.ip);
        let reconfigure = Reconfigure::new(me, rules(&settings), 0.0);
        Server {
            bounds: Bounds::of(settings.apply_deadline_ms, settings.unsettled_extension_ms),
            settings,
            storage,
            replica,
            reconfigure,
            decided: edition(None, 0, &[]),
            versions: VecDeque::new(),
            me,
            begun,
            events,
            peers: Peers::default(),
            agents: Agents::default(),
            servers: Servers::new(poll),
            directory,
            tickets: HashMap::new(),
            next_ticket: 1,
            read_at: f64::NEG_INFINITY,
            heartbeat_at: f64::NEG_INFINITY,
            gathered: false,
            leaving: None,
            told_health: Health::Well,
        }
    }

    /// Milliseconds since this process began.
    pub(crate) fn now(&self) -> Ms {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// That moment on this process' clock.
    pub(crate) fn at(&self, moment: Instant) -> Ms {
        moment.saturating_duration_since(self.begun).as_secs_f64() * 1000.0
    }

    pub fn run(mut self, events: &MailboxReceiver<Event>, first: Vec<Effect>) {
        self.carry_out(first);
        self.connect_peers();
        let mut due = Instant::now();
        loop {
            match events.recv_deadline(Some(due)) {
                Ok(event) => self.handle(event),
                Err(_) => {
                    due = Instant::now() + BEAT;
                    self.beat();
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PeerSaid { from, message } => self.peer_said(from, message),
            Event::PeerLink { place, link } => self.peer_link(place, link),
            Event::AgentConnected { id, link } => self.agent_connected(id, link),
            Event::AgentSaid { id, message } => self.agent_said(id, message),
            Event::AgentGone { id } => self.agent_gone(id),
            Event::Order {
                order,
                taken,
                answer,
            } => self.order(order, taken, answer),
            Event::Polled { asked, list } => self.polled(asked, list),
            Event::Report { of, answer } => {
                let told = match of {
                    None => self.report_nodes(),
                    Some((host, path)) => report::explain(self.versions.iter(), &host, &path),
                };
                let _ = answer.try_send(told);
            }
            Event::Stored(stored) => {
                let after = self.storage.stored(stored, self.replica.state());
                self.after_write(after);
            }
            Event::Settings(settings) => {
                log::info!("event=settings_read seeds={}", settings.seeds.len());
                self.settings = *settings;
                self.connect_peers();
            }
            Event::Leave { done } => {
                let voted = self.replica.votes();
                log::info!("event=leaving votes={voted}");
                self.leaving = Some(Leaving {
                    since: self.now(),
                    voted,
                    done,
                });
                self.say_hello();
                self.leave_if_done();
            }
        }
    }

    fn order(&mut self, order: Order, taken: Instant, answer: Sender<Outcome>) {
        if taken.elapsed() > ORDER_LATE {
            log::warn!("event=order_late");
            return;
        }
        // Whoever ends finishes the orders that it has, and takes no others.
        if self.is_leaving() {
            let _ = answer.try_send(Outcome::NoMajority);
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, answer);
        let effects = self.replica.order(self.now(), order, Some(ticket));
        self.carry_out(effects);
    }

    /// Carries out what the replica wants, each effect once what it rests on is on the disk.
    pub(crate) fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut ready = VecDeque::from(self.storage.push(effects, self.replica.state()));
        while let Some(effect) = ready.pop_front() {
            let more = self.carry_out_one(effect);
            if !more.is_empty() {
                ready.extend(self.storage.push(more, self.replica.state()));
            }
        }
    }

    /// What the effect leads to at this machine's own replica.
    fn carry_out_one(&mut self, effect: Effect) -> Vec<Effect> {
        match effect {
            Effect::Persist => {}
            Effect::Send { to, message } if to == self.me => {
                return self.replica.hear(self.now(), to, message);
            }
            Effect::Send { to, message } => self.say(to, &PeerMessage::Consensus(message)),
            Effect::Ended { ticket, outcome } => {
                if let Some(answer) = self.tickets.remove(&ticket) {
                    let _ = answer.try_send(outcome);
                }
            }
            Effect::News => self.news(),
            Effect::EpochChanged => self.epoch_changed(),
        }
        Vec::new()
    }

    fn news(&mut self) {
        self.settle();
        let settled = self.replica.settled();
        log::info!(
            "event=settled version={:08x} evacuated={:?}",
            settled.config.version,
            settled.evacuated().1
        );
        self.say_all(&PeerMessage::Consensus(Message::Nudge));
        self.tell_agents();
    }

    fn epoch_changed(&mut self) {
        let epoch = self.replica.epoch();
        log::info!(
            "event=epoch number={} voters={} votes={} joined={}",
            epoch.number,
            epoch.voters.len(),
            self.replica.votes(),
            self.replica.joined()
        );
        self.connect_peers();
        self.say_hello();
    }

    fn after_write(&mut self, after: After) {
        match after {
            After::Release(effects) => {
                let mut ready = VecDeque::from(effects);
                while let Some(effect) = ready.pop_front() {
                    let more = self.carry_out_one(effect);
                    if !more.is_empty() {
                        ready.extend(self.storage.push(more, self.replica.state()));
                    }
                }
            }
            After::Failed(why) => {
                log::error!("event=disk_failed why=\"{why}\"");
                self.restart_replica(true);
            }
            After::Recovered => {
                log::info!("event=disk_recovered");
                self.restart_replica(false);
            }
        }
    }

    /// Begins anew with what the disk holds for certain, as after a crash of this machine. `guest`: the disk takes no
    /// bytes, and this machine only asks.
    fn restart_replica(&mut self, guest: bool) {
        let synced = self.storage.synced().cloned();
        let disk = self.replica.state().disk;
        let seeds: Vec<Place> = self
            .settings
            .seeds
            .iter()
            .map(|s| u32::from(*s.ip()))
            .collect();
        let state = synced.unwrap_or_else(|| State::empty(self.me, disk, false, &seeds));
        let (mut replica, effects) =
            Replica::start(self.me, Some(state), false, &seeds, disk, new_life());
        if guest {
            replica.become_guest();
        }
        replica.resume(&self.replica);
        self.replica = replica;
        for answer in std::mem::take(&mut self.tickets).into_values() {
            let _ = answer.try_send(Outcome::NoMajority);
        }
        self.carry_out(effects);
        self.say_hello();
    }

    /// What is decided now, as it would be in force.
    fn settle(&mut self) {
        let settled = self.replica.settled();
        let (number, zones) = settled.evacuated();
        // Only what was found valid is held; of anything else nothing is in force anywhere.
        let config = decompress(&settled.config.text)
            .and_then(|compressed_text| Config::read(&compressed_text).ok());
        self.decided = edition(config.as_ref(), number, &zones);
        let Some(config) = config else { return };
        self.versions.retain(|held| held.version != config.version);
        self.versions.push_front(config);
        self.versions.truncate(VERSIONS);
    }

    fn beat(&mut self) {
        let now = self.now();
        let effects = self.replica.beat(now);
        self.carry_out(effects);
        self.reconfigure_if_due(now);
        self.read_if_due(now);
        if now - self.heartbeat_at >= HEARTBEAT_EVERY {
            self.heartbeat_at = now;
            self.heartbeat(now);
            self.update_fronts();
            // Agents that came before a majority could be read.
            self.tell_agents();
        }
        self.drop_silent_agents(now);
        if !self.gathered && now >= GATHER {
            self.gathered = true;
            self.tell_agents();
        }
        self.poll_if_due(now);
        let state = self.replica.state().clone();
        self.storage.retry(&state);
        self.leave_if_done();
    }

    /// Proposes other voters, if some are gone or came back empty.
    fn reconfigure_if_due(&mut self, now: Ms) {
        let present = self.presence();
        let due = self.reconfigure.due(now, self.replica.epoch(), &present);
        let Some(voters) = due.filter(|_| self.replica.joined() && !self.replica.proposes()) else {
            return;
        };
        log::info!(
            "event=voters_proposed epoch={} voters={:?}",
            self.replica.epoch().number + 1,
            voters.0
        );
        let effects = self.replica.propose(now, voters);
        self.carry_out(effects);
    }

    fn read_if_due(&mut self, now: Ms) {
        let every = if self.replica.as_of().is_some() {
            READ_EVERY
        } else {
            READ_FIRST
        };
        if now - self.read_at < every {
            return;
        }
        self.read_at = now;
        let first = self.replica.as_of().is_none();
        let effects = self.replica.order(now, Order::Read, None);
        self.carry_out(effects);
        self.tell_if_first(first);
    }

    /// What was settled before a majority was read has been told to nobody.
    pub(crate) fn tell_if_first(&mut self, first: bool) {
        if first && self.replica.as_of().is_some() {
            self.tell_agents();
        }
    }

    /// The others are to be read soon.
    pub(crate) fn read_soon(&mut self) {
        self.read_at = f64::NEG_INFINITY;
    }

    /// Its agents' and the others' news are complete enough to be told.
    pub(crate) fn gathered(&self) -> bool {
        self.now() >= GATHER
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Lets the process end once its vote is another machine's, or nobody can take it.
    fn leave_if_done(&mut self) {
        let Some(Leaving { since, voted, done }) = &self.leaving else {
            return;
        };
        // The voters without it have answered: a majority of them holds all that was acknowledged.
        let read = self.replica.as_of().is_some_and(|at| at > *since);
        let handed_over = !self.replica.votes() && (read || !voted);
        let nobody = self.replica.votes() && !self.replica.proposes() && {
            let present = self.presence();
            next_voters(
                &self.replica.epoch().voters,
                &present,
                &rules(&self.settings),
            )
            .is_none()
        };
        if self.tickets.is_empty() && (handed_over || nobody || !self.replica.epoch().serves()) {
            log::info!("event=left handed_over={handed_over}");
            let _ = done.try_send(());
        }
    }

    pub(crate) fn show(place: Place) -> Ipv4Addr {
        Ipv4Addr::from(place)
    }
}

fn rules(settings: &Settings) -> Rules {
    Rules::of(
        settings.tolerated_losses as usize,
        settings.rejoin_s * 1000.0,
    )
}

/// Tells rounds and ballots of this life from those of earlier ones.
pub fn new_life() -> u64 {
    u64::from(fastrand::u32(..)) << 24
}
