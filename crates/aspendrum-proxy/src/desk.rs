//! The desk: the module, the servers it may use, the counters and the queries in hand, behind one lock. Each
//! thread tells it what happened and carries on; nothing under the lock waits for anybody.

use crate::counts::{Call, Calls, Leave, Ledger, Quota, Word};
use crate::stacks::{Stacks, Terms, Warmth};
use aspendrum_core::api::*;
use aspendrum_core::engine::DecisionEngine;
use aspendrum_model::compression::decompress;
use aspendrum_model::config::{Config, Route, Tenant};
use aspendrum_model::hash::digest;
use aspendrum_model::message::{ProxyEndpoint, StateDigest, StateSection};
use aspendrum_model::settings::Settings;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, Progress, RequestKind};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::lock;
use aspendrum_reconcile::state_digest;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The module's beat, and how often servers' standing is looked at.
pub const BEAT_MS: Millis = 5.0;
const STACKS_EVERY: Millis = 20.0;
/// Names of counters have 40 bits.
const NAMES: u64 = (1 << 40) - 1;
/// The module's clock does not begin at nothing: it takes that for long ago.
const EPOCH: Millis = 1000.0;
/// The module sends to a server what it is paid back by answers; so many limiters share the first of it. More,
/// and a few servers' first credits hold queries up at a proxy that sees a tenth of the traffic.
const CREDIT_SHARERS: u32 = 2;
/// Of its even part of a quota, what a proxy spends without its counter's word: the counter's last window may
/// have been spent whole just before.
const LOCAL_SHARE: f64 = 0.75;
/// A proxy that hears nothing of control may be counted as gone by the others, who share out the whole. It
/// spends so much of its even part: with a sixth of the proxies cut off that stays within what windows leave.
const ALONE_SHARE: f64 = 0.4;
/// How many times dearer a server in another zone or region is than one at hand: bytes between regions cost
/// eight times those between zones, and for a whole query about a fifth of what it earns.
const FAR_ZONE: f32 = 1.3;
const FAR_REGION: f32 = 7.0;

/// What the module orders for a query.
#[derive(Debug)]
pub enum Order {
    Forward {
        forward: u8,
        server: ServerId,
    },
    Shed {
        advice: Millis,
        beyond: bool,
    },
    Drop,
    /// It would go to a further server, and the budget for such is spent.
    Spent,
    /// Its client has left: there is nobody to answer.
    Gone,
}

/// A query as the desk is asked.
pub struct Ask {
    pub route: usize,
    pub service: u16,
    pub tenant: Option<usize>,
    pub zones: u64,
    pub until: Instant,
    pub orders: MailboxSender<Order>,
    pub forward: Arc<ForwardHandle>,
}

/// What is decided, as queries read it: a configuration, and the module's numbers for its parts.
pub struct View {
    pub config: Config,
    groups: Vec<u16>,
    plans: Vec<u32>,
    accts: Vec<TenantId>,
    pub pools: HashMap<String, u16>,
    /// Regions in which a route's and a tenant's queries may be served, a bit each.
    pub route_zones: Vec<u64>,
    pub tenant_zones: Vec<u64>,
}

struct Seat {
    orders: MailboxSender<Order>,
    forward: Arc<ForwardHandle>,
    pool: u16,
    forwards: u8,
}

struct Inner {
    control: DecisionEngine,
    acts: Vec<Action>,
    later: Vec<Event<'static>>,
    members: Vec<ServerEntry>,
    stacks: Stacks,
    stacks_at: Millis,
    calls: Calls,
    ledger: Ledger,
    /// Nothing is heard of control.
    alone: bool,
    told_fronts: bool,
    /// The number of the last order about a zone.
    emptied: u64,
    anew: bool,
    seats: HashMap<RequestId, Seat>,
    next: RequestId,
    groups: Vec<GroupSettings>,
    group_of: HashMap<(u64, u64, bool, u64), u16>,
    plans: Vec<PlanSettings>,
    plan_of: HashMap<String, u32>,
    probes: Vec<ServerId>,
}

pub struct Desk {
    inner: Mutex<Inner>,
    view: Mutex<Option<Arc<View>>>,
    begun: Instant,
    me: Ipv4Addr,
    count_port: u16,
    socket: UdpSocket,
    settings: Settings,
}

impl Desk {
    pub fn new(settings: &Settings, socket: UdpSocket) -> Desk {
        let region = settings.region_number(&settings.region).unwrap_or(0);
        let group = GroupSettings {
            latency_target: 400.0,
            hard_limit: 2000.0,
            semantics: Semantics::NonIdempotent,
            repeat_group: RepeatGroup::All,
            repeat_window: 0.0,
            importance: 1.0,
            late_value_share: 0.0,
            is_streaming: false,
        };
        let module = module(region, &group);
        let (mut acts, seed) = (Vec::new(), fastrand::u64(..));
        let control = DecisionEngine::new(EPOCH, seed, &module, &mut acts);
        let inner = Inner {
            control,
            acts: Vec::new(),
            later: Vec::new(),
            members: Vec::new(),
            stacks: Stacks::new(Terms::of(settings), settings.ip),
            stacks_at: 0.0,
            calls: Calls::default(),
            ledger: Ledger::default(),
            alone: false,
            told_fronts: false,
            emptied: 0,
            anew: false,
            seats: HashMap::new(),
            next: 1,
            groups: vec![group],
            group_of: HashMap::new(),
            plans: vec![plan(0.0, 0.0)],
            plan_of: HashMap::new(),
            probes: Vec::new(),
        };
        Desk {
            inner: Mutex::new(inner),
            view: Mutex::default(),
            begun: Instant::now(),
            me: settings.ip,
            count_port: settings.counter_port(),
            socket,
            settings: settings.clone(),
        }
    }

    pub fn view(&self) -> Option<Arc<View>> {
        lock(&self.view).clone()
    }

    pub fn at(&self, when: Instant) -> Millis {
        EPOCH + when.saturating_duration_since(self.begun).as_secs_f64() * 1000.0
    }

    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    /// A query came. Its orders follow; the first may be there at once.
    pub fn ask(&self, view: &View, ask: Ask) -> RequestId {
        let now = self.now();
        let mut inner = lock(&self.inner);
        let id = inner.next;
        inner.next += 1;
        inner.stacks.first(now, ask.service);
        let (plan, acct) = match ask.tenant {
            Some(n) => (view.plans[n], view.accts[n]),
            None => (0, 0),
        };
        let new = NewRequest {
            id,
            group: view.groups[ask.route],
            deadline: self.at(ask.until),
            tenant: acct,
            plan,
            instances: (inner.stacks.sharers() as f64
                / if inner.alone {
                    ALONE_SHARE
                } else {
                    LOCAL_SHARE
                }) as f32,
            units: 1.0,
            first_instance: 0.0,
            is_client_retry: false,
            is_write: false,
            pool: ask.service,
            allowed_zones: ask.zones,
            max_attempts: view.config.routes[ask.route]
                .max_attempts
                .min(u32::from(u8::MAX)) as u8,
        };
        let Ask {
            orders,
            forward,
            service: pool,
            ..
        } = ask;
        inner.seats.insert(
            id,
            Seat {
                orders,
                forward,
                pool,
                forwards: 0,
            },
        );
        self.turn(&mut inner, now, &Event::Request(new));
        id
    }

    /// A forward has ended.
    pub fn ended(
        &self,
        id: RequestId,
        forward: u8,
        server: ServerId,
        how: (Outcome, Millis, LoadReport),
        over: bool,
    ) {
        let (outcome, rtt, load) = how;
        let now = self.now();
        let mut inner = lock(&self.inner);
        let event = Event::AttemptEnded {
            id,
            forward,
            server,
            outcome,
            rtt,
            is_final: over,
            metered: 0,
            actual_units: 1,
            load,
        };
        self.turn(&mut inner, now, &event);
        if over {
            inner.seats.remove(&id);
        }
    }

    /// The query has its answer, and reads no orders any more.
    pub fn quit(&self, id: RequestId) {
        let now = self.now();
        let mut inner = lock(&self.inner);
        inner.seats.remove(&id);
        self.turn(&mut inner, now, &Event::ClientDisconnected { id });
    }

    /// The query's client has left: nothing more is sent for it. Says how far it had come; `None`: it is over.
    pub fn depart(&self, id: RequestId) -> Option<(RequestKind, ForwardStage)> {
        let now = self.now();
        let mut inner = lock(&self.inner);
        let seat = inner.seats.get(&id)?;
        let (kind, stage) = (seat.forward.kind, seat.forward.handle_disconnect());
        inner.say(id, Order::Gone);
        self.turn(&mut inner, now, &Event::ClientDisconnected { id });
        Some((kind, stage))
    }

    /// The query's client has left a while ago: a run that may be repeated is broken off.
    pub fn break_off(&self, id: RequestId) {
        if let Some(seat) = lock(&self.inner).seats.get(&id) {
            seat.forward.abort_idempotent();
        }
    }

    /// How far a query has come. `None`: it is over.
    pub fn progress(&self, id: RequestId) -> Option<(RequestKind, Progress)> {
        let inner = lock(&self.inner);
        inner
            .seats
            .get(&id)
            .map(|seat| (seat.forward.kind, seat.forward.progress()))
    }

    /// Where a server is and what it is called.
    pub fn server(&self, id: ServerId) -> Option<(SocketAddrV4, String)> {
        let inner = lock(&self.inner);
        inner
            .stacks
            .book(id)
            .map(|b| (self.settings.dial_addr(b.addr()), b.server.uid.clone()))
    }

    /// A server's address, name and the path of its health check.
    pub fn check(&self, id: ServerId) -> Option<(SocketAddrV4, String, String)> {
        let (addr, uid, service) = {
            let inner = lock(&self.inner);
            let book = inner.stacks.book(id)?;
            (
                self.settings.dial_addr(book.addr()),
                book.server.uid.clone(),
                book.server.service.clone(),
            )
        };
        let check = self
            .view()?
            .config
            .service(&service)?
            .health_check_path
            .clone();
        Some((addr, uid, check))
    }

    pub fn probed(
        &self,
        server: ServerId,
        outcome: Outcome,
        rtt: Millis,
        load: LoadReport,
        warm_left: Option<Millis>,
    ) {
        let now = self.now();
        let mut inner = lock(&self.inner);
        if let Some(left) = warm_left {
            inner.stacks.said_cold(now, server, left);
        }
        self.turn(
            &mut inner,
            now,
            &Event::ProbeEnded {
                server,
                outcome,
                rtt,
                load,
            },
        );
    }

    /// What is due. The servers that the module wants to hear of.
    pub fn beat(&self) -> Vec<ServerId> {
        let now = self.now();
        let mut inner = lock(&self.inner);
        if now - inner.stacks_at >= STACKS_EVERY {
            inner.stacks_at = now;
            inner.members = inner.stacks.beat(now);
            self.members(&mut inner, now);
        }
        for call in inner.calls.late(now) {
            self.counted(&mut inner, now, call, Outcome::TimedOut, 0.0);
        }
        self.turn(&mut inner, now, &Event::Timer { token: 0 });
        std::mem::take(&mut inner.probes)
    }

    /// A call to a counter has ended.
    fn counted(&self, inner: &mut Inner, now: Millis, call: Call, outcome: Outcome, total: f32) {
        let (name, rtt) = (call.name, now - call.sent);
        self.turn(
            inner,
            now,
            &Event::CounterReplied {
                name,
                outcome,
                total,
                rtt,
            },
        );
    }

    /// A datagram of another proxy. The answer to it, if it asks.
    pub fn heard(&self, from: Ipv4Addr, word: Word) -> Option<Word> {
        let now = self.now();
        let mut inner = lock(&self.inner);
        match word {
            Word::Add { call, name, add } if add.is_finite() => {
                let total = inner.ledger.add(now, name, add);
                Some(total.map_or(Word::Fenced { call }, |total| Word::Total { call, total }))
            }
            Word::Total { call, total } if total.is_finite() => {
                let call = inner.calls.answered(now, from, call)?;
                self.counted(&mut inner, now, call, Outcome::Ok, total);
                None
            }
            Word::Hand(handed) => {
                inner.ledger.take(now, handed);
                None
            }
            Word::Fenced { call } => {
                let call = inner.calls.answered(now, from, call)?;
                self.counted(&mut inner, now, call, Outcome::ConnectFailed, 0.0);
                None
            }
            _ => None,
        }
    }

    /// Tells the module, and carries out what it says.
    fn handle(&self, inner: &mut Inner, now: Millis, event: &Event<'_>) {
        let mut acts = std::mem::take(&mut inner.acts);
        inner.control.handle(now, event, &mut acts);
        self.act(inner, now, &mut acts);
        inner.acts = acts;
    }

    fn turn(&self, inner: &mut Inner, now: Millis, event: &Event<'_>) {
        self.handle(inner, now, event);
        // What an act led to comes once its event is through.
        while let Some(event) = inner.later.pop() {
            self.handle(inner, now, &event);
        }
        self.members(inner, now);
    }

    fn members(&self, inner: &mut Inner, now: Millis) {
        while !inner.members.is_empty() {
            let entries = std::mem::take(&mut inner.members);
            self.handle(
                inner,
                now,
                &Event::ServerList {
                    list: ListKind::Delta,
                    version: 0,
                    entries: &entries,
                },
            );
        }
    }

    fn act(&self, inner: &mut Inner, now: Millis, acts: &mut Vec<Action>) {
        for act in acts.drain(..) {
            match act {
                Action::Forward { id, server, .. } => self.forward(inner, now, id, server),
                Action::Shed {
                    id,
                    retry_after,
                    beyond_quota,
                } => {
                    inner.say(
                        id,
                        Order::Shed {
                            advice: retry_after,
                            beyond: beyond_quota,
                        },
                    );
                }
                Action::Drop { id } => inner.say(id, Order::Drop),
                Action::AddToCounter {
                    name, units: add, ..
                } => self.count(inner, now, name, add),
                Action::Probe { server } => inner.probes.push(server),
                Action::Fault(text) => log::error!("event=module_fault text=\"{text}\""),
                Action::Log(text) => log::debug!("event=module text=\"{text}\""),
                // A forward that is given up ends by its own time, and one whose client left is broken off by
                // `break_off`; the beat is this shell's; the rest is for other fleets.
                Action::Cancel { .. }
                | Action::CloseConnections { .. }
                | Action::Timer { .. }
                | Action::FetchServers
                | Action::WatchServers { .. }
                | Action::SendDatagram { .. } => {}
            }
        }
    }

    fn forward(&self, inner: &mut Inner, now: Millis, id: RequestId, server: ServerId) {
        let Some(seat) = inner.seats.get_mut(&id) else {
            return;
        };
        let (forward, pool) = (seat.forwards, seat.pool);
        seat.forwards += 1;
        let (may, change) = inner.stacks.leave_for(now, server);
        inner.members.extend(change);
        let spent = may && forward > 0 && !inner.stacks.further(now, pool);
        if may && !spent {
            return inner.say(id, Order::Forward { forward, server });
        }
        if spent {
            inner.say(id, Order::Spent);
        }
        // It never left; without the budget for it the query is over.
        let (outcome, load, rtt, over, used, actual) =
            (Outcome::NotSent, LoadReport::default(), 0.0, spent, 0, 0);
        inner.later.push(Event::AttemptEnded {
            id,
            forward,
            server,
            outcome,
            rtt,
            is_final: over,
            metered: used,
            actual_units: actual,
            load,
        });
    }

    fn count(&self, inner: &mut Inner, now: Millis, name: u64, add: f32) {
        // The module's names bear its own window; the counter's window is its holder's.
        let tenant = name & NAMES;
        let total = match inner.calls.holder(tenant).filter(|_| !inner.alone) {
            Some(holder) if holder != self.me => {
                let call = inner.calls.begin(now, holder, name);
                return self.send(
                    holder,
                    &Word::Add {
                        call,
                        name: tenant,
                        add,
                    },
                );
            }
            Some(_) => inner.ledger.add(now, tenant, add),
            None => None,
        };
        let (outcome, total) =
            total.map_or((Outcome::ConnectFailed, 0.0), |total| (Outcome::Ok, total));
        inner.later.push(Event::CounterReplied {
            name,
            outcome,
            total,
            rtt: 0.0,
        });
    }

    pub fn send(&self, to: Ipv4Addr, word: &Word) {
        let mut space = [0; 32];
        if let Ok(bytes) = postcard::to_slice(word, &mut space) {
            let _ = self.socket.send_to(
                bytes,
                self.settings
                    .dial_addr(SocketAddrV4::new(to, self.count_port)),
            );
        }
    }

    /// Applies what is decided. False: it was older than what is in force.
    pub fn apply(&self, part: StateSection) {
        let now = self.now();
        match part {
            StateSection::Config { .. } if !part.has_valid_checksum() => {
                log::warn!("event=torn_push")
            }
            StateSection::Config {
                version,
                compressed_text: text,
                ..
            } => {
                match Config::read(&decompress(&text).unwrap_or_default()) {
                    Ok(config) => self.configure(config),
                    // Control checked it by the same reader.
                    Err(fault) => {
                        log::error!("event=config_unreadable version={version:08x} why=\"{fault}\"")
                    }
                }
            }
            StateSection::Evacuated { order, zones } => {
                let mut inner = lock(&self.inner);
                inner.emptied = order;
                inner.stacks.evacuate(now, &zones);
                inner.members = inner.stacks.beat(now);
                self.members(&mut inner, now);
            }
            StateSection::Servers { age_ms: age, list } => {
                let mut inner = lock(&self.inner);
                let place = |zone: &str| {
                    let region = self.settings.region_of(zone).unwrap_or(u8::MAX);
                    let near = self.settings.region_of(&self.settings.zone) == Some(region);
                    let far = if zone == self.settings.zone {
                        1.0
                    } else {
                        [FAR_REGION, FAR_ZONE][usize::from(near)]
                    };
                    (region, far)
                };
                inner.stacks.list(now, f64::from(age), list, place);
                inner.members = inner.stacks.beat(now);
                self.members(&mut inner, now);
            }
            StateSection::Proxies(fronts) => self.fronts(now, &fronts),
            StateSection::Control(_) => {}
        }
    }

    fn fronts(&self, now: Millis, fronts: &[ProxyEndpoint]) {
        let ips = |wanted: &dyn Fn(&ProxyEndpoint) -> bool| {
            let mut ips: Vec<Ipv4Addr> = fronts
                .iter()
                .filter(|f| wanted(f))
                .map(|f| *f.addr.ip())
                .collect();
            ips.sort_unstable();
            ips.dedup();
            ips
        };
        // Those that are about to be ready share too: after a start of all, nobody is ready yet.
        let (all, ready) = (ips(&|_| true), ips(&ProxyEndpoint::is_ready));
        let mut inner = lock(&self.inner);
        inner.told_fronts = true;
        if let Some(lost) = inner.calls.holders(ready) {
            let Inner { ledger, calls, .. } = &mut *inner;
            for handed in ledger.held(now, |name| calls.holder(name) == Some(self.me)) {
                if let Some(next) = calls.holder(handed.name) {
                    self.send(next, &Word::Hand(handed));
                }
            }
            for call in lost {
                self.counted(&mut inner, now, call, Outcome::TimedOut, 0.0);
            }
        }
        inner.stacks.fronts(all);
    }

    fn configure(&self, config: Config) {
        let mut inner = lock(&self.inner);
        // The same number again counts where the tables are not what it says.
        let differs = |held: &View| {
            let of = |config: &Config| state_digest(Some(config), 0, &[]);
            held.config.version == config.version && of(&held.config) != of(&config)
        };
        let anew = std::mem::take(&mut inner.anew);
        let stays = |held: &View| held.config.version >= config.version && !differs(held) && !anew;
        if self.view().is_some_and(|held| stays(&held)) {
            return;
        }
        for service in &config.services {
            let warmth = Warmth {
                warmup: service.slow_start_s * 1000.0,
                rate: service.slow_start_rate,
            };
            inner.stacks.warmth(&service.name, warmth);
        }
        let tenants: &[Tenant] = config.tenants.as_deref().unwrap_or(&[]);
        let groups = config.routes.iter().map(|r| inner.group(r)).collect();
        let leave = self.leave();
        let quota = |t: &Tenant| Quota::of(t.rate_per_second, t.burst, &leave);
        let plans = tenants
            .iter()
            .map(|t| inner.plan(&t.name, quota(t)))
            .collect();
        let accts: Vec<TenantId> = tenants
            .iter()
            .map(|t| digest(t.name.as_bytes()) & NAMES)
            .collect();
        let Inner { ledger, calls, .. } = &mut *inner;
        let quotas = accts
            .iter()
            .copied()
            .zip(tenants.iter().map(quota))
            .collect();
        ledger.quotas(quotas, |name| calls.holder(name) == Some(self.me));
        let pools = config
            .services
            .iter()
            .map(|s| (s.name.clone(), inner.stacks.pool(&s.name)))
            .collect();
        let zones = |homes: &[String]| match homes {
            [] => u64::MAX,
            homes => {
                let number = |h: &String| self.settings.region_number(h);
                homes
                    .iter()
                    .filter_map(number)
                    .fold(0, |bits, n| bits | 1 << n)
            }
        };
        let route_zones = config
            .routes
            .iter()
            .map(|r| zones(&r.home_regions))
            .collect();
        let tenant_zones = tenants.iter().map(|t| zones(&t.home_regions)).collect();
        let Inner {
            control,
            groups: all,
            plans: every,
            ..
        } = &mut *inner;
        control.configure(all, every);
        log::info!(
            "event=applied version={:08x} routes={}",
            config.version,
            config.routes.len()
        );
        let view = View {
            config,
            groups,
            plans,
            accts,
            pools,
            route_zones,
            tenant_zones,
        };
        *lock(&self.view) = Some(Arc::new(view));
    }

    fn leave(&self) -> Leave {
        let s = &self.settings;
        Leave {
            win: s.quota_window_s,
            excess: s.quota_excess,
            slack: s.quota_slack,
        }
    }

    /// Whether anything is heard of control.
    pub fn alone(&self, alone: bool) {
        let mut inner = lock(&self.inner);
        if std::mem::replace(&mut inner.alone, alone) != alone {
            log::info!("event=control_{}", if alone { "silent" } else { "heard" });
        }
    }

    /// All that is needed to take queries is there.
    pub fn knows(&self) -> bool {
        let inner = lock(&self.inner);
        // Without the list of proxies each would take the whole of every quota for its part.
        self.view().is_some() && inner.told_fronts && inner.stacks.books().next().is_some()
    }

    /// What is in force, out of the tables that queries go by.
    pub fn edition(&self) -> StateDigest {
        let (number, zones) = {
            let inner = lock(&self.inner);
            (inner.emptied, inner.stacks.evacuated())
        };
        state_digest(self.view().as_ref().map(|v| &v.config), number, &zones)
    }

    /// The tables are built anew from what is told next, whatever they hold. Until then they serve on.
    pub fn anew(&self) {
        log::warn!("event=tables_anew");
        lock(&self.inner).anew = true;
    }
}

impl Inner {
    fn say(&mut self, id: RequestId, order: Order) {
        if let Some(seat) = self.seats.get(&id) {
            // A full letter box means that nobody reads orders there any more.
            let _ = seat.orders.try_send(order);
        }
    }

    fn group(&mut self, route: &Route) -> u16 {
        let key = (
            route.latency_target_ms.to_bits(),
            route.timeout_ms.to_bits(),
            route.idempotent,
            route.priority.to_bits(),
        );
        if let Some(n) = self.group_of.get(&key) {
            return *n;
        }
        let n = self.groups.len() as u16;
        self.groups.push(GroupSettings {
            // Late answers have their worth: servers are not left idle for an aim that cannot be met.
            latency_target: route.timeout_ms,
            hard_limit: route.timeout_ms,
            semantics: if route.idempotent {
                Semantics::Idempotent
            } else {
                Semantics::NonIdempotent
            },
            importance: 1.0 / (1.0 + route.priority),
            ..self.groups[0].clone()
        });
        self.group_of.insert(key, n);
        n
    }

    fn plan(&mut self, tenant: &str, quota: Quota) -> u32 {
        let next = self.plans.len() as u32;
        let n = *self.plan_of.entry(tenant.to_string()).or_insert(next);
        let now = plan(quota.rate, quota.burst);
        match self.plans.get_mut(n as usize) {
            Some(plan) => *plan = now,
            None => self.plans.push(now),
        }
        n
    }
}

/// A plan of the module's: a quota, and nothing for what is beyond it.
fn plan(rate: f64, burst: f64) -> PlanSettings {
    PlanSettings {
        is_windowed: true,
        rate,
        burst,
        price: 1.0,
        overage_value: 0.0,
        overage_cost: 1.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// The module's settings here. Regions are its zones.
fn module(region: u8, group: &GroupSettings) -> aspendrum_core::api::Settings {
    aspendrum_core::api::Settings {
        instance: 0,
        instances: CREDIT_SHARERS,
        zone: region,
        tick: BEAT_MS,
        groups: vec![group.clone()],
        plans: vec![plan(0.0, 0.0)],
        load_values: vec![LoadValue::CpuUtilization],
        load_reports: LoadReportChannel::Responses,
        polls_discovery: false,
        discovery_poll_limit: 0.0,
        drain_grace: 0.0,
        collapse_multiple: 1.0,
        collapse_window: 1000.0,
        slow_start_capacity: 1.0,
        slow_start_time: 0.0,
        answer_grace: 0.0,
        may_cancel: false,
        may_probe: true,
        may_send_datagrams: false,
        may_hedge: false,
        max_attempts: 8,
        sends_retry_after: true,
        max_retry_after: 2000.0,
        has_counter: true,
        counter_timeout: 600.0,
        counter_price: 0.0,
        probe_price: 0.0,
        cross_zone_price: 0.0,
        max_units: 1.0,
        cost_known_after: false,
        metering_window: 0.0,
        peer_datagrams_per_second: 0.0,
    }
}
