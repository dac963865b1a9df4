//! The one thread that owns what the agent knows: takes news from control, never back to older ones, and sees
//! to it that the proxy has them.

use crate::control::Route;
use crate::lend::Lender;
use crate::notes::Note;
use aspendrum_gossip::{GossipAction, GossipNode};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{
    FromControl, Readiness, StateDigest, StateSection, ToControl, SECTION_KINDS,
};
use aspendrum_model::servers::ServerList;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxReceiver;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Repair, RepairStep, ReportValidity, Section, SyncAssessment,
    SyncStatus,
};
use crossbeam_channel::Sender;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

type Ms = f64;

/// Between two beats to control: an agent that is heard of less often counts as gone.
const BEAT: Ms = 300.0;
/// The same before control's first word on what a majority holds: a proxy waits for it.
const FIRST: Ms = 60.0;
/// Control without an answer for so long, or without a majority's word for so long, is left for another.
const SILENT: Ms = 1100.0;
const STALE: Ms = 1300.0;
/// Control that was not heard of for so long may have taken this machine off its list.
const ALONE: Ms = 1500.0;
/// Between two links that are ended because something was missed.
const MISSED_AGAIN: Ms = 1000.0;
/// A proxy that said nothing for so long is not ready, whatever it said last.
const PROXY_SILENT: Ms = 900.0;
/// A proxy that is told to end together with its agent says so sooner.
const PROXY_TOLD: Ms = 1000.0;
/// Kinds of parts that an edition is of.
const CONFIG: usize = 0;
const EVACUATED: usize = 1;

struct Control {
    id: u64,
    ip: Ipv4Addr,
    link: Link,
    since: Ms,
    answered: Ms,
    /// As of when a majority held nothing newer, by this machine's own word.
    as_of: Option<Ms>,
    /// The front that it was told of.
    told: Option<SocketAddrV4>,
}

impl Control {
    /// Ends the connection for another one: until the agent is heard there, its proxy stays where it is known.
    fn leave(&self) {
        self.link.send(&up(ToControl::Disconnecting));
        self.link.finish();
    }
}

struct Proxy {
    id: u64,
    link: Link,
    host: String,
    front: Option<SocketAddrV4>,
    heard: Ms,
    readiness: Readiness,
    /// What is in force there, out of its tables.
    applied: StateDigest,
    mending: Repair,
    said: u64,
    /// Its connection has ended.
    gone: bool,
}

pub(crate) struct Desk {
    settings: Settings,
    route: Route,
    begun: Instant,
    control: Option<Control>,
    proxy: Option<Proxy>,
    /// What is decided, as far as this agent knows: the newest of each kind but the list of servers.
    held: [Option<StateSection>; SECTION_KINDS],
    roster: ServerList,
    /// What is held here, as it would be in force.
    edition: StateDigest,
    /// Something else was decided than what is held here, by the last word of control; and when a link was ended
    /// for that.
    missed: Option<Ms>,
    /// A majority of control's disks held nothing above what is held here then, by whoever's word.
    as_of: Option<Ms>,
    /// The number of the last news of the present link, and the proxy's number for it.
    last: u64,
    /// When control last answered on a link that is gone.
    lost: Ms,
    beat_at: Ms,
    /// Whoever waits for the proxy to end, and since when.
    leaving: Option<(Sender<()>, Ms)>,
    bounds: ReportValidity,
    circle: GossipNode,
    lender: Lender,
}

impl Desk {
    pub(crate) fn new(settings: Settings, route: Route, lender: Lender) -> Desk {
        Desk {
            bounds: ReportValidity::from_limits(
                settings.apply_deadline_ms,
                settings.unsettled_extension_ms,
            ),
            circle: GossipNode::new(settings.ip, fastrand::u64(..)),
            lender,
            settings,
            route,
            begun: Instant::now(),
            control: None,
            proxy: None,
            held: [const { None }; SECTION_KINDS],
            roster: ServerList::default(),
            edition: state_digest(None, 0, &[]),
            missed: None,
            as_of: None,
            last: 0,
            lost: f64::NEG_INFINITY,
            beat_at: f64::NEG_INFINITY,
            leaving: None,
        }
    }

    fn now(&self) -> Ms {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    pub(crate) fn run(mut self, notes: &MailboxReceiver<Note>) {
        loop {
            let every = if self.as_of.is_some() { BEAT } else { FIRST };
            let due =
                self.begun + Duration::from_secs_f64((self.beat_at.max(0.0) + every) / 1000.0);
            match notes.recv_deadline(Some(due)) {
                Ok(note) => self.hear(note),
                Err(_) => self.beat(),
            }
        }
    }

    fn hear(&mut self, note: Note) {
        let now = self.now();
        match note {
            Note::Control { id, ip, link } => {
                log::info!("event=control_reached ip={ip}");
                let as_of = None;
                self.control = Some(Control {
                    id,
                    ip,
                    link,
                    since: now,
                    answered: now,
                    as_of,
                    told: None,
                });
                self.last = 0;
                self.beat();
            }
            Note::Said { id, said } if self.control.as_ref().is_some_and(|c| c.id == id) => {
                self.said(said)
            }
            Note::Said { .. } => {}
            Note::ControlLost { id } => {
                if self.control.as_ref().is_some_and(|c| c.id == id) {
                    log::info!("event=control_lost");
                    self.leave();
                }
            }
            Note::Proxy { id, link } => {
                let (host, front) = (String::new(), None);
                let (applied, mending) = (state_digest(None, 0, &[]), Repair::default());
                self.proxy = Some(Proxy {
                    id,
                    link,
                    host,
                    front,
                    heard: now,
                    readiness: Readiness::Closed,
                    applied,
                    mending,
                    said: 0,
                    gone: false,
                });
            }
            Note::ProxySaid { id, said } => self.proxy_said(id, said),
            Note::ProxyLost { id } => {
                if self.proxy.as_ref().is_some_and(|p| p.id == id) {
                    log::info!("event=proxy_lost");
                    if let Some(proxy) = &mut self.proxy {
                        (proxy.readiness, proxy.gone) = (Readiness::Closed, true);
                    }
                    self.beat();
                }
            }
            Note::Leave { done } => {
                self.leaving = Some((done, now));
                self.leave_if_done(now);
            }
            Note::Neighbour { from, word } => {
                let as_of = self.as_of.filter(|_| !self.alone(now));
                let acts = self.circle.handle(now, from, word, &self.edition, as_of);
                self.act(acts);
            }
            Note::Borrower(answer) => {
                let parts = (0..SECTION_KINDS).filter_map(|kind| self.told(kind));
                let news = (1..).zip(parts).map(|(number, section)| {
                    frames::encode_frame(&FromControl::Update { number, section })
                });
                let _ = answer.try_send(news.flatten().collect());
            }
            Note::Lent(part) => {
                // Orders are numbered; what else a neighbour knows counts only for whoever hears nothing better.
                let ordered = matches!(
                    part,
                    StateSection::Config { .. } | StateSection::Evacuated { .. }
                );
                if ordered || (self.alone(now) && !matches!(part, StateSection::Control(_))) {
                    self.take(part, false);
                }
            }
            Note::Settings(settings) => {
                self.settings = *settings;
                self.route.learn(&self.settings, &[]);
            }
        }
    }

    fn said(&mut self, said: FromControl) {
        let now = self.now();
        // Any word is a sign of life: beats' answers wait behind long news.
        if let Some(control) = &mut self.control {
            control.answered = now;
        }
        match said {
            FromControl::Heartbeat {
                sent_at_ms: stamp,
                majority_age: age,
                decided: of,
                ..
            } => {
                // Counted from when this was asked: the answer cannot be older than that, however late it
                // comes.
                let then = age.map(|age| stamp as Ms - f64::from(age));
                let Some(control) = &mut self.control else {
                    return;
                };
                let (held, decided) = (
                    self.edition,
                    MajorityReport {
                        decided: of,
                        as_of: 0.0,
                    },
                );
                let standing =
                    SyncAssessment::new(&held, Some(&decided), false, &self.bounds).status;
                if standing == SyncStatus::Current {
                    self.missed = None;
                    control.as_of = control.as_of.into_iter().chain(then).reduce(f64::max);
                    self.as_of = self.as_of.into_iter().chain(then).reduce(f64::max);
                } else if age.is_some() {
                    // News come before the beats that rest on them: one was missed, and a new link begins with
                    // a snapshot.
                    // Not again at once: a snapshot takes a moment, and neighbours are asked meanwhile.
                    if self.missed.is_none_or(|at| now - at >= MISSED_AGAIN) {
                        self.missed = Some(now);
                        let (new, old) = (of.revision.config, held.revision.config);
                        log::warn!(
                            "event=missed standing={} decided={new:08x} held={old:08x}",
                            standing.as_str()
                        );
                        control.leave();
                    }
                }
            }
            FromControl::Update { number, section } => {
                self.last = number;
                self.take(section, true);
            }
            // Agents are told that by nobody.
            FromControl::Resync => {}
        }
    }

    /// What is held here, as it would be in force.
    fn collate(&mut self) {
        let config = self.held.iter().flatten().find_map(|part| match part {
            StateSection::Config {
                compressed_text: text,
                ..
            } => decompress(text).and_then(|text| Config::read(&text).ok()),
            _ => None,
        });
        let emptied = self.held.iter().flatten().find_map(|part| match part {
            StateSection::Evacuated { order, zones } => Some((*order, zones.as_slice())),
            _ => None,
        });
        let (number, zones) = emptied.unwrap_or_default();
        self.edition = state_digest(config.as_ref(), number, zones);
    }

    /// Sees to it that the proxy has in force what is held here.
    fn mend(&mut self, now: Ms) {
        let Some(proxy) = self.proxy.as_mut().filter(|p| p.front.is_some()) else {
            return;
        };
        let word = MajorityReport {
            decided: self.edition,
            as_of: now,
        };
        let standing = SyncAssessment::new(&proxy.applied, Some(&word), false, &self.bounds).status;
        let differing = Section::differing(&proxy.applied, &self.edition);
        let Some(step) = proxy.mending.next_step(now, standing, &differing) else {
            return;
        };
        let (applied, held) = (proxy.applied.revision.config, self.edition.revision.config);
        log::warn!(
            "event=proxy_differs standing={} applied={applied:08x} held={held:08x} sections={differing:?} step={step:?}",
            standing.as_str()
        );
        match step {
            RepairStep::ResendSections(sections) => {
                let emptied = sections.contains(&Section::Evacuations);
                let others = sections.iter().any(|s| *s != Section::Evacuations);
                [(CONFIG, others), (EVACUATED, emptied)]
                    .iter()
                    .filter(|k| k.1)
                    .for_each(|k| self.feed(k.0));
            }
            RepairStep::SendSnapshot => (0..SECTION_KINDS).for_each(|kind| self.feed(kind)),
            RepairStep::Resync => {
                proxy.link.send(&FromControl::Resync);
                (0..SECTION_KINDS).for_each(|kind| self.feed(kind));
            }
            RepairStep::Alert => {}
        }
    }

    /// No majority's word has come for too long.
    fn alone(&self, now: Ms) -> bool {
        self.as_of.is_none_or(|at| now - at > STALE)
    }

    fn act(&mut self, acts: Vec<GossipAction>) {
        for act in acts {
            match act {
                GossipAction::Send { to, message: word } => self.lender.say(to, &word),
                GossipAction::ConfirmedAsOf(at) => {
                    self.as_of = Some(self.as_of.map_or(at, |held| held.max(at)))
                }
                GossipAction::FetchSnapshot(from) => {
                    log::info!("event=snapshot_asked of={from}");
                    self.lender.fetch(from);
                }
            }
        }
    }

    /// Takes what is newer than what is held. `control`: by its word, which settles two texts under one number.
    fn take(&mut self, part: StateSection, control: bool) {
        let now = self.now();
        let kind = part.kind();
        if !part.has_valid_checksum() {
            // The next word of what was decided shows that something is missing here.
            log::warn!("event=torn_push");
            return;
        }
        let newer = match (&part, &self.held[kind]) {
            (
                StateSection::Config {
                    version: new,
                    checksum: seal,
                    ..
                },
                Some(StateSection::Config {
                    version: old,
                    checksum: held,
                    ..
                }),
            ) => new > old || (new == old && control && seal != held),
            (
                StateSection::Evacuated { order: new, .. },
                Some(StateSection::Evacuated { order: old, .. }),
            ) => new > old,
            (StateSection::Servers { age_ms, list }, _) => {
                self.roster
                    .replace(now, list.clone(), now - f64::from(*age_ms));
                true
            }
            (StateSection::Proxies(fronts), _) => {
                let others: Vec<Ipv4Addr> = fronts
                    .iter()
                    .map(|f| *f.addr.ip())
                    .filter(|ip| *ip != self.settings.ip)
                    .collect();
                self.circle.add_known_agents(&others);
                true
            }
            (StateSection::Control(control), held) => {
                let first = held.is_none();
                self.route.learn(&self.settings, control);
                // Seeds do not tell their zones: before anything depends on the link it goes to the nearest. And whoever
                // says of itself that it ends is left for another at once.
                let ends = |ip| {
                    control.iter().any(|c| c.ip == ip && !c.reachable)
                        && control.iter().any(|c| c.reachable)
                };
                let leave = |c: &&Control| (first && !self.route.nearest(c.ip)) || ends(c.ip);
                if let Some(left) = self.control.as_ref().filter(leave) {
                    left.leave();
                }
                true
            }
            _ => true,
        };
        if !newer {
            return;
        }
        if let StateSection::Config { version, .. } = &part {
            log::info!("event=news part=config version={version:08x}");
        }
        self.held[kind] = Some(part);
        if kind == CONFIG || kind == EVACUATED {
            self.collate();
        }
        self.feed(kind);
    }

    /// One kind of what is held, as it is to be told now.
    fn told(&self, kind: usize) -> Option<StateSection> {
        let (now, mut part) = (self.now(), self.held[kind].clone()?);
        if let (StateSection::Servers { age_ms, list }, Some(polled)) =
            (&mut part, self.roster.polled_at)
        {
            (*age_ms, *list) = ((now - polled).max(0.0) as u32, self.roster.snapshot(now));
        }
        Some(part)
    }

    /// Tells the proxy one kind of what is held.
    fn feed(&mut self, kind: usize) {
        let Some(part) = self.told(kind) else { return };
        if let Some(proxy) = self.proxy.as_mut().filter(|p| p.front.is_some()) {
            proxy.said += 1;
            proxy.link.send(&FromControl::Update {
                number: proxy.said,
                section: part,
            });
        }
    }

    fn proxy_said(&mut self, id: u64, said: ToControl) {
        let now = self.now();
        let age = self.as_of.map(|at| (now - at).max(0.0).ceil() as u32);
        let heard = self.control.as_ref().map_or(self.lost, |c| c.answered);
        let (heard, of, deserted) = (
            now - heard <= ALONE,
            self.edition,
            self.circle.most_agents_isolated(now),
        );
        let Some(proxy) = self.proxy.as_mut().filter(|p| p.id == id) else {
            return;
        };
        proxy.heard = now;
        match said {
            ToControl::Hello {
                host,
                proxy_addr: front,
                ..
            } => {
                (proxy.host, proxy.front) = (host, Some(front));
                (0..SECTION_KINDS).for_each(|kind| self.feed(kind));
                self.beat();
            }
            ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            } => {
                proxy.link.send(&FromControl::Heartbeat {
                    sent_at_ms,
                    majority_age: age,
                    decided: of,
                    control_reachable: heard,
                    most_agents_isolated: deserted,
                });
                let turned = proxy.readiness != readiness;
                (proxy.readiness, proxy.applied) = (readiness, applied);
                if turned {
                    self.beat();
                }
                self.mend(now);
            }
            // All that the proxy was told is in force there, and so is all that control told us.
            ToControl::Applied { number } if number == proxy.said => {
                if let Some(control) = &self.control {
                    control
                        .link
                        .send(&up(ToControl::Applied { number: self.last }));
                }
            }
            // Proxies have one agent.
            ToControl::Applied { .. } | ToControl::Disconnecting => {}
        }
    }

    fn leave(&mut self) {
        if let Some(control) = self.control.take() {
            self.lost = control.answered;
        }
    }

    /// Lets the process end once its proxy has ended, or goes on taking queries and was not told to end.
    fn leave_if_done(&self, now: Ms) {
        let Some((done, since)) = &self.leaving else {
            return;
        };
        let goes_on = |p: &Proxy| p.readiness == Readiness::Ready && now - since >= PROXY_TOLD;
        let needed = self.proxy.as_ref().is_some_and(|p| !p.gone && !goes_on(p));
        if !needed {
            let _ = done.try_send(());
        }
    }

    /// A sign of life to control, or the end of a link that is of no use.
    fn beat(&mut self) {
        let now = self.now();
        self.beat_at = now;
        self.leave_if_done(now);
        let due = self
            .circle
            .tick(now, self.missed.is_some() || self.alone(now));
        self.act(due);
        let zone = self.settings.zone.clone();
        let Some(control) = &mut self.control else {
            return;
        };
        let stale = now - control.since > STALE && now - control.as_of.unwrap_or(0.0) > STALE;
        if now - control.answered > SILENT || stale {
            log::info!("event=control_left stale={stale}");
            // Whoever does not answer will not read a last word either.
            if stale {
                control.leave();
            } else {
                control.link.close();
            }
            self.route.shun(control.ip);
            return self.leave();
        }
        let Some(proxy) = &self.proxy else { return };
        if let Some(front) = proxy.front.filter(|f| control.told != Some(*f)) {
            control.told = Some(front);
            control.link.send(&up(ToControl::Hello {
                host: proxy.host.clone(),
                proxy_addr: front,
                zone,
            }));
        }
        if proxy.front.is_some() {
            let heard = now - proxy.heard <= PROXY_SILENT;
            let readiness = if heard {
                proxy.readiness
            } else {
                Readiness::Closed
            };
            control.link.send(&up(ToControl::Heartbeat {
                sent_at_ms: now as u64,
                readiness,
                applied: proxy.applied,
            }));
        }
    }
}

/// Control tells agents' words from its own machines' by this.
fn up(said: ToControl) -> aspendrum_model::message::Envelope {
    aspendrum_model::message::Envelope::Agent(said)
}
