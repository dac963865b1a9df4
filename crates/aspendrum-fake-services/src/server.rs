//! Rate servers: some cores, a queue, a cold start, load reports, and the ways they fail.

use crate::host::Host;
use crate::{http, lock, Clock};
use aspendrum_checker::limiter::{Forward, ForwardOutcome, RetrySafety, ServerIncarnation};
use aspendrum_checker::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, Instant};

/// What a server is like.
#[derive(Clone, Debug)]
pub struct Figures {
    pub cores: usize,
    /// Queries that may wait for a core; more are turned away.
    pub queue: usize,
    pub connections: usize,
    /// What a new connection's first query takes longer, as a handshake would.
    pub handshake: Millis,
    pub cold_share: f64,
    pub ramp: Millis,
    /// It falls over under so many times what it can do, sent within this time.
    pub fall_multiple: f64,
    pub fall_window: Millis,
    /// Answers carry load reports; else only probes do.
    pub reports_in_answers: bool,
    pub probes: bool,
    /// Milliseconds of one core for each endpoint group, by name, and how it may be repeated.
    pub groups: HashMap<String, (Millis, RetrySafety)>,
    /// A keyed query's repeat is dropped for so long.
    pub repeat_window: Millis,
}

/// The ways of failing that can stand at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ails {
    /// Work takes so many times as long; 0 stands for 1.
    pub slow: f64,
    /// Shares of queries that get a 500 behind their work, and whose connection is reset in mid-answer.
    pub failing: f64,
    pub resetting: f64,
    /// Takes queries and answers none.
    pub silent: bool,
    /// Works on what it has and turns new queries away.
    pub draining: bool,
}

/// What all servers of a run share: the record of forwards, and the keys of what has run.
pub struct Shared {
    pub clock: Clock,
    forwards: Mutex<Vec<Forward>>,
    keys: Mutex<HashMap<String, Millis>>,
}

impl Shared {
    pub fn new(clock: Clock) -> Arc<Shared> {
        Arc::new(Shared {
            clock,
            forwards: Mutex::default(),
            keys: Mutex::default(),
        })
    }

    pub fn forwards(&self) -> Vec<Forward> {
        lock(&self.forwards).clone()
    }

    /// Whether a keyed query ran within the window; if not, it runs now.
    fn ran(&self, key: &str, now: Millis, window: Millis) -> bool {
        let mut keys = lock(&self.keys);
        if keys.get(key).is_some_and(|at| now - at < window) {
            return true;
        }
        keys.insert(key.to_string(), now);
        false
    }
}

pub struct Server {
    number: usize,
    host: Host,
    figures: Figures,
    shared: Arc<Shared>,
    state: Mutex<State>,
    cores: Semaphore,
    ails: watch::Sender<Ails>,
}

struct State {
    up: Millis,
    cold: bool,
    lives: Vec<ServerIncarnation>,
    in_hand: usize,
    connections: usize,
    /// Work that came lately: when, and core milliseconds.
    lately: VecDeque<(Millis, Millis)>,
    busy_ms: f64,
    rng: SmallRng,
}

impl Server {
    /// Listens at that loopback address from now on, warm.
    pub async fn start(
        at: IpAddr,
        number: usize,
        figures: Figures,
        seed: u64,
        shared: Arc<Shared>,
    ) -> io::Result<Arc<Server>> {
        let (host, listener) = Host::bind(at).await?;
        let rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
        let state = State {
            up: 0.0,
            cold: false,
            lives: vec![ServerIncarnation {
                server: number,
                from: 0.0,
                is_cold_start: false,
                collapsed_at: None,
            }],
            in_hand: 0,
            connections: 0,
            lately: VecDeque::new(),
            busy_ms: 0.0,
            rng,
        };
        let server = Arc::new(Server {
            number,
            host,
            cores: Semaphore::new(figures.cores),
            figures,
            shared,
            state: Mutex::new(state),
            ails: watch::Sender::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    pub fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub fn lives(&self) -> Vec<ServerIncarnation> {
        lock(&self.state).lives.clone()
    }

    pub fn ail(&self, how: impl FnOnce(&mut Ails)) {
        self.ails.send_modify(how);
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(&self) {
        self.host.die();
    }

    /// Starts again at the same address, cold. Milliseconds of the run at which it did; `None`: it is up.
    pub async fn back(self: &Arc<Server>) -> io::Result<Option<Millis>> {
        let Some(listener) = self.host.back().await? else {
            return Ok(None);
        };
        let now = self.shared.clock.now();
        {
            let mut state = lock(&self.state);
            (state.up, state.cold, state.in_hand, state.connections) = (now, true, 0, 0);
            state.lately.clear();
            state.lives.push(ServerIncarnation {
                server: self.number,
                from: now,
                is_cold_start: true,
                collapsed_at: None,
            });
        }
        self.host.begin();
        self.listen(listener);
        Ok(Some(now))
    }

    fn listen(self: &Arc<Server>, listener: TcpListener) {
        let own = self.clone();
        self.host
            .listen(listener, move |stream| own.clone().connection(stream));
    }

    async fn connection(self: Arc<Server>, mut stream: TcpStream) {
        let held = {
            let mut state = lock(&self.state);
            state.connections += 1;
            state.connections
        };
        self.serve(&mut stream, held > self.figures.connections)
            .await;
        // An end in good order, unless `serve` left the reset in force.
        let mut state = lock(&self.state);
        state.connections = state.connections.saturating_sub(1);
    }

    async fn serve(&self, stream: &mut TcpStream, crowded: bool) {
        let (mut rest, mut fresh) = (Vec::new(), true);
        loop {
            let Ok(Some(call)) = http::next(stream, &mut rest, true).await else {
                break;
            };
            let now = self.shared.clock.now();
            let path = call
                .line
                .1
                .split(['/', '?'])
                .nth(1)
                .unwrap_or("")
                .to_string();
            let told = match call
                .header("X-Txn")
                .and_then(|t| u64::from_str_radix(t, 16).ok())
            {
                Some(id) => {
                    match self
                        .query(id, &call, &path, now, crowded, std::mem::take(&mut fresh))
                        .await
                    {
                        Some(told) => told,
                        // Reset in mid-answer, with the first half of one on its way.
                        None => {
                            let whole = http::answer(200, &[], b"never whole");
                            let _ = stream.write_all(&whole[..whole.len() / 2]).await;
                            return;
                        }
                    }
                }
                None => self.probe(&call.line.1),
            };
            if stream.write_all(&told).await.is_err() || crowded {
                break;
            }
        }
        let _ = SockRef::from(&*stream).set_linger(None);
    }

    fn probe(&self, path: &str) -> Vec<u8> {
        let report = self.report();
        match path {
            "/health/live" if self.figures.probes => http::answer(200, &[], b""),
            "/stats" if self.figures.probes => http::answer(200, &[], report.as_bytes()),
            _ => http::answer(404, &[], b""),
        }
    }

    fn report(&self) -> String {
        let in_hand = lock(&self.state).in_hand;
        let queue = in_hand.saturating_sub(self.figures.cores);
        let util = in_hand.min(self.figures.cores) as f64 / self.figures.cores as f64;
        format!("inflight={in_hand}, queue={queue}, util={util:.2}")
    }

    fn turned_away(&self) -> Vec<u8> {
        http::answer(503, &[("X-Turned-Away", "1")], b"")
    }

    /// The whole life of one forward here. `None`: the connection is to be reset.
    async fn query(
        &self,
        id: u64,
        call: &http::Message,
        group: &str,
        now: Millis,
        crowded: bool,
        fresh: bool,
    ) -> Option<Vec<u8>> {
        let ails = *self.ails.borrow();
        let Some(&(work, repeats)) = self.figures.groups.get(group) else {
            return Some(http::answer(400, &[], b""));
        };
        let key = call.header("Idempotency-Key").unwrap_or("");
        let full = lock(&self.state).in_hand >= self.figures.cores + self.figures.queue;
        let fate = if crowded || full || ails.draining {
            ForwardOutcome::Rejected
        } else if repeats == RetrySafety::Deduplicated
            && self.shared.ran(key, now, self.figures.repeat_window)
        {
            ForwardOutcome::Deduplicated
        } else {
            ForwardOutcome::Ran
        };
        let two_lengths =
            call.header("Content-Length").is_some() && call.header("Transfer-Encoding").is_some();
        let first = self.shared.clock.at(call.first);
        let forward = Forward {
            id,
            server: self.number,
            first_byte_at: first,
            last_byte_at: now,
            fate,
            has_two_lengths: two_lengths,
        };
        lock(&self.shared.forwards).push(forward);
        self.weigh(now, work);
        if fate == ForwardOutcome::Rejected {
            return Some(self.turned_away());
        }
        if fresh && self.figures.handshake > 0.0 {
            sleep(Duration::from_secs_f64(self.figures.handshake / 1000.0)).await;
        }
        if fate == ForwardOutcome::Ran {
            self.work(work, &ails).await;
        }
        if self.ails.borrow().silent {
            // Nothing comes while it is silent, nor after: the query is forgotten.
            let _ = self.ails.subscribe().wait_for(|a| !a.silent).await;
            return Some(Vec::new());
        }
        let chance: f64 = lock(&self.state).rng.random();
        if chance < ails.resetting {
            return None;
        }
        let report = self.report();
        let headers: &[(&str, &str)] = if self.figures.reports_in_answers {
            &[("X-Pressure", &format!("TEXT {report}"))]
        } else {
            &[]
        };
        Some(if chance < ails.resetting + ails.failing {
            http::answer(500, headers, b"")
        } else {
            http::answer(200, headers, format!("{id:016x}").as_bytes())
        })
    }

    /// The work on a core, with its turn waited for.
    async fn work(&self, work: Millis, ails: &Ails) {
        struct Leave<'a>(&'a Server);
        impl Drop for Leave<'_> {
            fn drop(&mut self) {
                let mut state = lock(&self.0.state);
                state.in_hand = state.in_hand.saturating_sub(1);
            }
        }
        lock(&self.state).in_hand += 1;
        let leave = Leave(self);
        let Ok(core) = self.cores.acquire().await else {
            return;
        };
        let begun = Instant::now();
        let spread: f64 = lock(&self.state).rng.random_range(0.5..1.5);
        let took = work * spread * ails.slow.max(1.0) / self.speed(self.shared.clock.now());
        sleep_until(begun + Duration::from_secs_f64(took / 1000.0)).await;
        lock(&self.state).busy_ms += took;
        drop((core, leave));
    }

    /// Of its warm capacity, what it has now.
    fn speed(&self, now: Millis) -> f64 {
        let state = lock(&self.state);
        if !state.cold || self.figures.ramp <= 0.0 {
            return 1.0;
        }
        let warm = ((now - state.up) / self.figures.ramp).clamp(0.0, 1.0);
        self.figures.cold_share + (1.0 - self.figures.cold_share) * warm
    }

    /// A cold server that is sent too much for too long falls over and stays down.
    fn weigh(&self, now: Millis, work: Millis) {
        let speed = self.speed(now);
        let mut state = lock(&self.state);
        if !state.cold || now - state.up > self.figures.ramp {
            return;
        }
        state.lately.push_back((now, work));
        while state
            .lately
            .front()
            .is_some_and(|w| now - w.0 > self.figures.fall_window)
        {
            state.lately.pop_front();
        }
        let sum: Millis = state.lately.iter().map(|w| w.1).sum();
        let may = self.figures.fall_multiple
            * speed
            * self.figures.cores as f64
            * self.figures.fall_window;
        if sum > may {
            if let Some(life) = state.lives.last_mut() {
                life.collapsed_at.get_or_insert(now);
            }
            drop(state);
            self.die();
        }
    }
}
