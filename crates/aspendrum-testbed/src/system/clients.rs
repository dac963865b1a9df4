//! Clients and the operator, as `PROTOCOL` words them: look-ups that are held, tries by chance among the answers,
//! further tries only where they may be made.

use super::configuration::{path, KEYS};
use super::fleet::{region, zone, Fleet};
use aspendrum_checker::system::{Attempt, AttemptOutcome};
use aspendrum_checker::Millis;
use aspendrum_fake_services::http::{self, Message, MessageKind};
use aspendrum_fake_services::lock;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

const CONNECT: Duration = Duration::from_millis(1000);
/// A query's whole time, and what the client waits beyond it.
const DEADLINE: Duration = Duration::from_millis(2000);
const PATIENCE: Duration = Duration::from_millis(700);
const TRIES: usize = 3;
/// A look-up or an order is answered by then, or asked of the next machine.
pub const CALL: Duration = Duration::from_millis(1000);
/// A call and two redirections.
const REDIRECTIONS: usize = 3;
const FURTHER: Duration = Duration::from_millis(60);

/// Something that a client wants done.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    pub route: usize,
    pub once: bool,
    pub tenant: usize,
    pub zone: usize,
    /// On a connection that is kept for the next, as half of the clients do.
    pub kept: bool,
    /// Of a client that holds an old answer and goes to any proxy, whatever look-ups say now.
    pub stubborn: bool,
    /// Of a client that uses whatever connection is open, until its proxy closes it.
    pub faithful: bool,
    /// A second request goes ahead, behind the first one.
    pub ahead: bool,
    /// It leaves before it has an answer.
    pub leaves: Option<Leave>,
}

/// When a client leaves after it has sent its request, and how that looks to the proxy.
#[derive(Clone, Copy, Debug)]
pub struct Leave {
    pub after: Duration,
    pub manner: Manner,
}

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Close,
    Reset,
    /// Its sending side is ended, and it reads on.
    HalfClose,
    /// More bytes are sent just before the close.
    BehindBytes,
}

pub const MANNERS: [Manner; 4] = [
    Manner::Close,
    Manner::Reset,
    Manner::HalfClose,
    Manner::BehindBytes,
];

/// A request sent ahead of its answer, and how it ended.
struct Ahead {
    id: u64,
    end: AttemptOutcome,
}

/// What came of one exchange.
struct Came {
    end: AttemptOutcome,
    /// When the client left, if it did.
    left: Option<Millis>,
    again: Option<Duration>,
    ahead: Option<Ahead>,
}

impl Came {
    fn of(end: AttemptOutcome) -> Came {
        Came {
            end,
            left: None,
            again: None,
            ahead: None,
        }
    }
}

/// The clients of a run.
pub struct Clients {
    fleet: Arc<Fleet>,
    ids: AtomicU64,
    /// By zone: what a look-up said, and until when that is held.
    lists: Mutex<HashMap<usize, (Instant, Vec<SocketAddr>)>>,
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
    tries: Mutex<Vec<Attempt>>,
}

impl Clients {
    pub fn new(fleet: Arc<Fleet>) -> Clients {
        let ids = AtomicU64::new(1);
        Clients {
            fleet,
            ids,
            lists: Mutex::default(),
            idle: Mutex::default(),
            tries: Mutex::default(),
        }
    }

    pub fn tries(&self) -> Vec<Attempt> {
        lock(&self.tries).clone()
    }

    fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    /// One wish, with all its tries.
    pub async fn want(&self, wish: Wish) {
        let until = Instant::now() + DEADLINE;
        let (mut first, mut failed) = (None, Vec::new());
        for _ in 0..TRIES {
            let id = self.ids.fetch_add(1, Ordering::Relaxed);
            let number = *first.get_or_insert(id);
            let sent = self.now();
            let Some((at, front, open)) =
                self.choose(wish, first == Some(id), &failed, until).await
            else {
                self.note(Attempt {
                    id,
                    request: number,
                    proxy: usize::MAX,
                    outcome: AttemptOutcome::Unreached,
                    ..blank(wish, sent)
                });
                sleep(FURTHER).await;
                continue;
            };
            let sent = self.now();
            let next = wish.ahead.then(|| self.ids.fetch_add(1, Ordering::Relaxed));
            let exchange = self.exchange((at, open), (id, next), wish, until);
            let came = timeout_at(until + PATIENCE, exchange).await;
            let silent = || Came {
                ahead: next.map(|id| Ahead {
                    id,
                    end: AttemptOutcome::Silent,
                }),
                ..Came::of(AttemptOutcome::Silent)
            };
            let came = came.unwrap_or_else(|_| silent());
            let Came {
                end, again, ahead, ..
            } = came;
            let ended = came.left.unwrap_or_else(|| self.now());
            self.note(Attempt {
                id,
                request: number,
                proxy: front,
                ended_at: ended,
                outcome: end,
                ..blank(wish, sent)
            });
            if let Some(Ahead { id, end }) = ahead {
                self.note(Attempt {
                    id,
                    request: id,
                    proxy: front,
                    ended_at: ended,
                    outcome: end,
                    ..blank(wish, sent)
                });
            }
            let may = match end {
                AttemptOutcome::Answered
                | AttemptOutcome::ClientDisconnected
                | AttemptOutcome::OtherStatus(400 | 401 | 404 | 413 | 431) => false,
                AttemptOutcome::NotRun(_) | AttemptOutcome::Unreached => true,
                _ => !wish.once,
            };
            let left = until.saturating_duration_since(Instant::now());
            if !may || left.is_zero() {
                return;
            }
            if !matches!(end, AttemptOutcome::NotRun(429)) {
                failed.push(at);
            }
            sleep(again.unwrap_or(FURTHER).min(left / 3)).await;
        }
    }

    /// The proxy that a try goes to, its number, and an open connection to it where the client uses one.
    async fn choose(
        &self,
        wish: Wish,
        first: bool,
        failed: &[SocketAddr],
        until: Instant,
    ) -> Option<(SocketAddr, usize, Option<TcpStream>)> {
        if wish.faithful && first {
            let open: Vec<SocketAddr> = lock(&self.idle).keys().copied().collect();
            for at in open {
                if let (Some(stream), Some(front)) = (self.kept(at), self.fleet.edge_at(at)) {
                    return Some((at, front, Some(stream)));
                }
            }
        }
        let fronts = match wish.stubborn && first {
            true => (0..self.fleet.scenario.edges)
                .map(|n| self.fleet.front(n))
                .collect(),
            false => self.fronts(wish.zone, until).await,
        };
        let well: Vec<SocketAddr> = fronts
            .iter()
            .copied()
            .filter(|f| !failed.contains(f))
            .collect();
        let at = well
            .choose(&mut rand::rng())
            .or(fronts.choose(&mut rand::rng()))
            .copied()?;
        let open = if wish.kept { self.kept(at) } else { None };
        Some((at, self.fleet.edge_at(at)?, open))
    }

    /// Asks one proxy for a route that may be repeated, once: how that ended, and when.
    pub async fn probe(&self, proxy: usize, route: usize) -> (AttemptOutcome, Millis) {
        let wish = Wish {
            route,
            once: false,
            tenant: 0,
            zone: 0,
            kept: true,
            stubborn: false,
            faithful: false,
            ahead: false,
            leaves: None,
        };
        let (at, id) = (
            self.fleet.front(proxy),
            self.ids.fetch_add(1, Ordering::Relaxed),
        );
        let (sent, until) = (self.now(), Instant::now() + DEADLINE);
        let exchange = self.exchange((at, self.kept(at)), (id, None), wish, until);
        let came = timeout_at(until + PATIENCE, exchange).await;
        let outcome = came.map_or(AttemptOutcome::Silent, |came| came.end);
        let ended_at = self.now();
        self.note(Attempt {
            id,
            request: id,
            proxy,
            ended_at,
            outcome,
            ..blank(wish, sent)
        });
        (outcome, ended_at)
    }

    fn note(&self, t: Attempt) {
        let ended = t.ended_at.max(t.sent_at);
        lock(&self.tries).push(Attempt {
            ended_at: ended,
            ..t
        });
    }

    /// What look-ups say, held as long as they say; an old answer where none can be had.
    async fn fronts(&self, of: usize, until: Instant) -> Vec<SocketAddr> {
        let held = lock(&self.lists).get(&of).cloned();
        if let Some((_, fronts)) = held.as_ref().filter(|h| h.0 > Instant::now()) {
            return fronts.clone();
        }
        let path = format!(
            "/api/lookup?name=a.example&geo={}&az={}",
            region(of),
            zone(of)
        );
        let members = self.fleet.members();
        let first = rand::rng().random_range(0..members.len());
        for n in (0..members.len().min(3)).map(|n| members[(first + n) % members.len()]) {
            let asked = timeout_at(until, call(self.fleet.dir(n), "GET", &path, "", CALL));
            let Ok(Some((200, body))) = asked.await else {
                continue;
            };
            let Some((fronts, ttl)) = answer(&body) else {
                continue;
            };
            lock(&self.lists).insert(of, (Instant::now() + ttl, fronts.clone()));
            return fronts;
        }
        held.map_or(Vec::new(), |h| h.1)
    }

    async fn exchange(
        &self,
        (at, open): (SocketAddr, Option<TcpStream>),
        (id, next): (u64, Option<u64>),
        wish: Wish,
        until: Instant,
    ) -> Came {
        let connected = match open {
            Some(stream) => Ok(Ok(stream)),
            None => timeout(CONNECT, TcpStream::connect(at)).await,
        };
        let Ok(Ok(mut stream)) = connected else {
            return Came::of(AttemptOutcome::Unreached);
        };
        let _ = stream.set_nodelay(true);
        let text: String = [Some(id), next]
            .into_iter()
            .flatten()
            .map(|id| request(id, wish, until))
            .collect();
        let mut rest = Vec::new();
        let answer = async {
            stream.write_all(text.as_bytes()).await?;
            http::read_message(&mut stream, &mut rest, MessageKind::Response).await
        };
        let answer = match wish.leaves {
            None => answer.await,
            Some(leave) => match timeout(leave.after, answer).await {
                Ok(answer) => answer,
                Err(_) => {
                    let (left, ahead) = (
                        Some(self.now()),
                        next.map(|id| Ahead {
                            id,
                            end: AttemptOutcome::ClientDisconnected,
                        }),
                    );
                    return Came {
                        end: leave_now(stream, rest, leave.manner, id).await,
                        left,
                        again: None,
                        ahead,
                    };
                }
            },
        };
        let lost = next.map(|id| Ahead {
            id,
            end: AttemptOutcome::Lost,
        });
        let Ok(Some(answer)) = answer else {
            return Came {
                ahead: lost,
                ..Came::of(AttemptOutcome::Lost)
            };
        };
        let mut closes = answer.wants_close();
        let mut ahead = None;
        if let Some(next) = next {
            // Behind an answer that closes the connection nothing of it is read any more (RFC 9112, 9.3.2).
            let second = if closes {
                Ok(None)
            } else {
                http::read_message(&mut stream, &mut rest, MessageKind::Response).await
            };
            let unread = if closes {
                AttemptOutcome::Unreached
            } else {
                AttemptOutcome::Lost
            };
            let end = second.ok().flatten().map_or(unread, |answer| {
                closes |= answer.wants_close();
                end(&answer, next)
            });
            closes |= end == AttemptOutcome::Lost;
            ahead = Some(Ahead { id: next, end });
        }
        if (wish.kept || wish.faithful) && !closes && rest.is_empty() {
            lock(&self.idle).entry(at).or_default().push(stream);
        }
        let again = answer
            .header("Retry-After")
            .and_then(|t| t.parse::<f64>().ok());
        let again = again.map(|s| Duration::from_secs_f64(s.clamp(0.0, 60.0)));
        Came {
            end: end(&answer, id),
            left: None,
            again,
            ahead,
        }
    }

    /// A connection that stands idle, and that the proxy has not closed as far as can be seen.
    fn kept(&self, at: SocketAddr) -> Option<TcpStream> {
        let mut idle = lock(&self.idle);
        let streams = idle.get_mut(&at)?;
        loop {
            let stream = streams.pop()?;
            let nothing = stream.try_read(&mut [0; 1]);
            if nothing.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }
}

/// A request's bytes.
fn request(id: u64, wish: Wish, until: Instant) -> String {
    let (method, body) = if wish.once {
        ("POST", "pay")
    } else {
        ("GET", "")
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    format!(
        "{method} {}x HTTP/1.1\r\nHost: a.example\r\nTry-Id: {id:016x}\r\nBudget-Ms: {left}\r\n\
         Credential: {}\r\nContent-Length: {}\r\n\r\n{body}",
        path(wish.route),
        KEYS[wish.tenant],
        body.len()
    )
}

/// Ends the connection in that manner. Whoever reads on holds what comes against his request.
async fn leave_now(
    mut stream: TcpStream,
    mut rest: Vec<u8>,
    manner: Manner,
    id: u64,
) -> AttemptOutcome {
    match manner {
        Manner::Close => {}
        Manner::Reset => {
            let _ = stream.set_zero_linger();
        }
        Manner::BehindBytes => {
            let _ = stream.try_write(b"GET /quote/ahead HTTP/1.1\r\n");
        }
        Manner::HalfClose => {
            let _ = stream.shutdown().await;
            let answer = http::read_message(&mut stream, &mut rest, MessageKind::Response).await;
            if answer
                .ok()
                .flatten()
                .is_some_and(|answer| end(&answer, id) == AttemptOutcome::Foreign)
            {
                return AttemptOutcome::Foreign;
            }
        }
    }
    AttemptOutcome::ClientDisconnected
}

fn blank(wish: Wish, sent: Millis) -> Attempt {
    let (route, tenant) = (wish.route, wish.tenant);
    Attempt {
        id: 0,
        request: 0,
        route,
        tenant,
        proxy: 0,
        sent_at: sent,
        ended_at: sent,
        outcome: AttemptOutcome::Lost,
    }
}

fn end(answer: &Message, id: u64) -> AttemptOutcome {
    let own = answer.header("Seal").is_some() && answer.body == format!("{id:016x}").as_bytes();
    match answer.status() {
        200 if own => AttemptOutcome::Answered,
        200 => AttemptOutcome::Foreign,
        status @ (408 | 421 | 429 | 503) => AttemptOutcome::NotRun(status),
        status => AttemptOutcome::OtherStatus(status),
    }
}

fn answer(body: &[u8]) -> Option<(Vec<SocketAddr>, Duration)> {
    let told: serde_json::Value = serde_json::from_slice(body).ok()?;
    let fronts = told["ips"]
        .as_array()?
        .iter()
        .map(|a| a.as_str()?.parse().ok())
        .collect::<Option<_>>()?;
    Some((
        fronts,
        Duration::from_secs_f64(told["ttl-s"].as_f64()?.clamp(0.0, 60.0)),
    ))
}

/// One call on a connection of its own, with two redirections followed: the status and the body. `None`: nothing came
/// within `patience`, or a little more for a large body.
pub async fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    let large = Duration::from_micros(body.len() as u64);
    let (mut at, mut path) = (at, path.to_string());
    for _ in 0..REDIRECTIONS {
        let answer = timeout(patience + large, exchange(at, method, &path, body))
            .await
            .ok()??;
        let location = answer
            .header("Location")
            .filter(|_| answer.status() == 307)
            .and_then(elsewhere);
        match location {
            Some(next) => (at, path) = next,
            None => return Some((answer.status(), answer.body)),
        }
    }
    None
}

/// Of `http://10.0.0.4:8080/path`.
fn elsewhere(location: &str) -> Option<(SocketAddr, String)> {
    let (at, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((at.parse().ok()?, format!("/{path}")))
}

async fn exchange(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    http::read_message(&mut stream, &mut Vec::new(), MessageKind::Response)
        .await
        .ok()?
}
