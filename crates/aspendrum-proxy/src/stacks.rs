//! Which servers the module may use now: those of the platform's list that do not drain, are in no evacuated
//! zone, and are warm or have a turn left for this proxy. And how many further tries this proxy may make. No
//! I/O, no clock.

use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use aspendrum_model::hash::{digest, rank};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Of what a cold server bears by the rules, what all proxies together send: their views differ for a moment
/// when one comes or goes.
const COLD_SAFE: f64 = 0.8;
/// Servers of a service and a zone to which a proxy goes first, and how many times dearer the others count: each
/// server more is a connection more, and one seldom used is closed before it is used again.
const CHOSEN: usize = 6;
const UNCHOSEN: f32 = 1.5;
/// Of the further tries that the rules leave to all proxies, what they make.
const TRIES_SAFE: f64 = 0.7;

/// What the terms say of cold servers and further tries.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub warm_excess: f64,
    pub warm_slack: f64,
    pub retry_ratio: f64,
    pub retry_win: Millis,
    pub retry_slack: f64,
    /// The list lags so far behind the servers.
    pub list_lag: Millis,
}

impl Terms {
    pub fn of(s: &Settings) -> Terms {
        Terms {
            warm_excess: s.slow_start_excess,
            warm_slack: s.slow_start_slack,
            retry_ratio: s.retry_budget_ratio,
            retry_win: s.retry_budget_window_s * 1000.0,
            retry_slack: s.retry_budget_slack,
            list_lag: s.cloud_api_lag_ms,
        }
    }
}

/// A server as it is known here.
#[derive(Clone, Debug)]
pub struct Book {
    pub server: ServerInstance,
    pub pool: u16,
    pub region: u8,
    far: f32,
    cold_until: Millis,
    /// Turns left while it is cold, as of when.
    turns: f64,
    turns_at: Millis,
    /// As the module was told.
    shown: Health,
}

impl Book {
    pub fn addr(&self) -> SocketAddrV4 {
        self.server.addr
    }
}

/// A service's figures out of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Warmth {
    pub warmup: Millis,
    pub rate: f64,
}

pub struct Stacks {
    terms: Terms,
    books: HashMap<ServerId, Book>,
    ids: HashMap<String, ServerId>,
    next: ServerId,
    pools: HashMap<String, u16>,
    warmth: HashMap<u16, Warmth>,
    evacuated: HashSet<String>,
    /// Zones taken back, and when: a list read before that does not know which of their servers are cold.
    back: HashMap<String, Millis>,
    /// All proxies that are there, ready or about to be.
    fronts: Vec<Ipv4Addr>,
    me: Ipv4Addr,
    /// First and further tries of each pool in the last window: when, how many.
    firsts: HashMap<u16, VecDeque<(Millis, u32)>>,
    further: HashMap<u16, VecDeque<(Millis, u32)>>,
}

impl Stacks {
    pub fn new(terms: Terms, me: Ipv4Addr) -> Stacks {
        Stacks {
            terms,
            books: HashMap::new(),
            ids: HashMap::new(),
            next: 1,
            pools: HashMap::new(),
            warmth: HashMap::new(),
            evacuated: HashSet::new(),
            back: HashMap::new(),
            fronts: Vec::new(),
            me,
            firsts: HashMap::new(),
            further: HashMap::new(),
        }
    }

    /// A service's pool, the same for as long as the process lives.
    pub fn pool(&mut self, service: &str) -> u16 {
        let next = self.pools.len() as u16;
        *self.pools.entry(service.to_string()).or_insert(next)
    }

    pub fn warmth(&mut self, service: &str, warmth: Warmth) {
        let pool = self.pool(service);
        self.warmth.insert(pool, warmth);
    }

    pub fn book(&self, id: ServerId) -> Option<&Book> {
        self.books.get(&id)
    }

    pub fn books(&self) -> impl Iterator<Item = &Book> {
        self.books.values()
    }

    /// The platform's list, whole. `age`: how old it is. `place`: the number of a zone's
    /// region, and how much dearer a server there is than one at hand.
    pub fn list(
        &mut self,
        now: Millis,
        age: Millis,
        list: Vec<ServerInstance>,
        place: impl Fn(&str) -> (u8, f32),
    ) {
        let chosen = self.choose(&list);
        let mut named = HashSet::new();
        for server in list {
            let pool = self.pool(&server.service);
            let known = self.ids.get(&server.uid).copied();
            let id = known.unwrap_or(self.next);
            if known.is_none() {
                self.ids.insert(server.uid.clone(), id);
                self.next += 1;
            }
            named.insert(id);
            let cold_until = match server.slow_start_left_ms {
                0 => 0.0,
                left => now + f64::from(left),
            };
            let (region, far) = place(&server.zone);
            let far = far
                * if chosen.contains(&server.uid) {
                    1.0
                } else {
                    UNCHOSEN
                };
            let fresh = Book {
                server: server.clone(),
                pool,
                region,
                far,
                cold_until,
                turns: 0.0,
                turns_at: now,
                shown: Health::Removed,
            };
            let book = self.books.entry(id).or_insert(fresh);
            let unknown = self
                .back
                .get(&server.zone)
                .is_some_and(|at| now - age < at + self.terms.list_lag);
            book.cold_until = if unknown {
                book.cold_until.max(cold_until)
            } else {
                cold_until
            };
            book.server = server;
        }
        let gone: Vec<ServerId> = self
            .books
            .keys()
            .copied()
            .filter(|id| !named.contains(id))
            .collect();
        for id in gone {
            if let Some(book) = self.books.get_mut(&id) {
                book.server.draining = true;
            }
        }
    }

    /// Of each service's servers in a zone, those that this proxy keeps connections to first: a few, told by key,
    /// so that all are chosen by about as many proxies.
    fn choose(&self, list: &[ServerInstance]) -> HashSet<String> {
        let mut places: HashMap<(&str, &str), Vec<(u64, &str)>> = HashMap::new();
        let own = u64::from(u32::from(self.me));
        for s in list.iter().filter(|s| !s.draining) {
            let rank = rank(own, digest(s.uid.as_bytes()));
            places
                .entry((&s.service, &s.zone))
                .or_default()
                .push((rank, &s.uid));
        }
        let mut chosen = HashSet::new();
        for servers in places.values_mut() {
            servers.sort_unstable();
            chosen.extend(servers.iter().take(CHOSEN).map(|s| s.1.to_string()));
        }
        chosen
    }

    /// The zones that are to get nothing. Those taken back may have turned cold meanwhile.
    pub fn evacuate(&mut self, now: Millis, zones: &[String]) {
        let next: HashSet<String> = zones.iter().cloned().collect();
        for zone in self.evacuated.difference(&next) {
            self.back.insert(zone.clone(), now);
            for book in self.books.values_mut().filter(|b| b.server.zone == *zone) {
                let warmup = self.warmth.get(&book.pool).map_or(0.0, |w| w.warmup);
                book.cold_until = book.cold_until.max(now + warmup);
            }
        }
        self.evacuated = next;
    }

    /// The zones that get nothing.
    pub fn evacuated(&self) -> Vec<String> {
        self.evacuated.iter().cloned().collect()
    }

    pub fn fronts(&mut self, fronts: Vec<Ipv4Addr>) {
        self.fronts = fronts;
    }

    /// How many proxies share the work, this one among them.
    pub fn sharers(&self) -> usize {
        self.fronts.len().max(1)
    }

    /// A server said itself for how long it is cold.
    pub fn said_cold(&mut self, now: Millis, id: ServerId, left: Millis) {
        if let Some(book) = self.books.get_mut(&id) {
            book.cold_until = if left > 0.0 {
                book.cold_until.max(now + left)
            } else {
                book.cold_until
            };
        }
    }

    /// This proxy's turns a second at a cold server: a few proxies, told by key, share what it bears, so that
    /// each has a whole turn at hand and all together never pass the bound, whatever moment they take them.
    fn turn_rate(&self, book: &Book) -> f64 {
        let rate = self.warmth.get(&book.pool).map_or(0.0, |w| w.rate);
        let bound = (rate * self.terms.warm_excess + self.terms.warm_slack) * COLD_SAFE;
        let most = (bound / 2.0).floor().max(1.0) as usize;
        let key = digest(book.server.uid.as_bytes());
        let own = rank(key, u64::from(u32::from(self.me)));
        let before = self
            .fronts
            .iter()
            .filter(|f| **f != self.me && rank(key, u64::from(u32::from(**f))) > own)
            .count();
        if before >= most {
            return 0.0;
        }
        // Not more where fewer proxies are known: after a start of all, each knows of few.
        (bound / most as f64 - 1.0).max(0.0)
    }

    fn wanted(&self, now: Millis, book: &Book) -> Health {
        let out = book.server.draining || self.evacuated.contains(&book.server.zone);
        let turn = now >= book.cold_until || book.turns >= 1.0;
        if !out && turn {
            Health::Ready
        } else {
            Health::Draining
        }
    }

    /// Fills turns, and says what of the module's view is to change.
    pub fn beat(&mut self, now: Millis) -> Vec<ServerEntry> {
        let ids: Vec<ServerId> = self.books.keys().copied().collect();
        let mut changes = Vec::new();
        for id in ids {
            let book = &self.books[&id];
            let cold = now < book.cold_until;
            let rate = if cold { self.turn_rate(book) } else { 0.0 };
            let Some(book) = self.books.get_mut(&id) else {
                continue;
            };
            if cold {
                let more = rate * (now - book.turns_at) / 1000.0;
                book.turns = (book.turns + more).min(if rate > 0.0 { 1.0 } else { 0.0 });
            }
            book.turns_at = now;
            let wanted = self.wanted(now, &self.books[&id]);
            changes.extend(self.show(id, wanted));
        }
        changes
    }

    fn show(&mut self, id: ServerId, wanted: Health) -> Option<ServerEntry> {
        let book = self.books.get_mut(&id)?;
        if book.shown == wanted {
            return None;
        }
        book.shown = wanted;
        let (server, pool, zone, far) = (id, book.pool, book.region, book.far);
        let size = f32::from(book.server.slots.max(1));
        Some(ServerEntry {
            server,
            pool,
            health: wanted,
            cell: 0,
            zone,
            distance_cost: far,
            capacity: size,
            kind: 0,
            started_at: 0.0,
        })
    }

    /// A forward goes there. None: it must not, whatever the module knew.
    pub fn leave_for(&mut self, now: Millis, id: ServerId) -> (bool, Option<ServerEntry>) {
        let Some(book) = self.books.get(&id) else {
            return (false, None);
        };
        let may = self.wanted(now, book) == Health::Ready;
        let cold = now < book.cold_until;
        if let Some(book) = self.books.get_mut(&id).filter(|_| may && cold) {
            book.turns -= 1.0;
        }
        let wanted = self.wanted(now, &self.books[&id]);
        (may, self.show(id, wanted))
    }

    /// A client's query for that pool. `tries`: 1 for the first forward.
    pub fn first(&mut self, now: Millis, pool: u16) {
        count(
            self.firsts.entry(pool).or_default(),
            now,
            self.terms.retry_win,
        );
    }

    /// Whether this proxy may send a query on to a further server: its own first ones earn it, and of the
    /// constant part it has an even share. So no word between proxies is needed.
    pub fn further(&mut self, now: Millis, pool: u16) -> bool {
        let win = self.terms.retry_win;
        let firsts = sum(self.firsts.entry(pool).or_default(), now, win);
        let further = sum(self.further.entry(pool).or_default(), now, win);
        let share = self.terms.retry_slack / self.sharers() as f64;
        let may = further + 1.0 <= TRIES_SAFE * (self.terms.retry_ratio * firsts + share);
        if may {
            count(self.further.entry(pool).or_default(), now, win);
        }
        may
    }
}

/// Counted by tenths of a second.
const GRAIN: Millis = 100.0;

fn count(counts: &mut VecDeque<(Millis, u32)>, now: Millis, win: Millis) {
    let at = (now / GRAIN).floor() * GRAIN;
    match counts.back_mut().filter(|c| c.0 == at) {
        Some(last) => last.1 += 1,
        None => counts.push_back((at, 1)),
    }
    while counts.front().is_some_and(|c| c.0 < now - win - GRAIN) {
        counts.pop_front();
    }
}

fn sum(counts: &VecDeque<(Millis, u32)>, now: Millis, win: Millis) -> f64 {
    counts
        .iter()
        .filter(|c| c.0 >= now - win - GRAIN)
        .map(|c| f64::from(c.1))
        .sum()
}
