//! The clients: open-loop traffic, each query sent at its moment whatever became of those before it.

use crate::scenario::{Customers, Scenario};
use aspendrum_checker::limiter::{Query, QueryOutcome, RetrySafety};
use aspendrum_checker::Millis;
use aspendrum_fake_services::http::{self, MessageKind};
use aspendrum_fake_services::{lock, Clock};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection that does not come up in this time never does.
const CONNECT: Duration = Duration::from_millis(1000);
/// Beyond a query's time: if there is no answer by then there is none.
const PATIENCE: Duration = Duration::from_millis(700);

/// A query to come.
#[derive(Clone, Debug)]
pub struct Planned {
    pub id: u64,
    pub at: Millis,
    pub customer: usize,
    pub group: usize,
    pub limiter: usize,
    pub units: f64,
}

/// One customer of the scenario: whose it is of the file's, and its set of limiters.
#[derive(Clone, Debug)]
pub struct Customer {
    pub of: usize,
    /// What queries call it, and the number of its plan.
    pub acct: u64,
    pub plan: usize,
    pub first: usize,
    pub spread: usize,
}

/// All customers, each with a set that begins at a limiter of its own.
pub fn customers(s: &Scenario) -> Vec<Customer> {
    let mut all = Vec::new();
    for (of, c) in s.customers.iter().enumerate() {
        let plan = s.plans.iter().position(|p| p.name == c.plan).unwrap_or(0);
        let spread =
            ((c.spread * s.limiters.count as f64).round() as usize).clamp(1, s.limiters.count);
        for _ in 0..c.count {
            let n = all.len();
            // Whole fleets begin at the first limiter; parts are spread over the fleet.
            let first = if spread == s.limiters.count {
                0
            } else {
                n * 7 % s.limiters.count
            };
            all.push(Customer {
                of,
                acct: 0x1_0000 + n as u64 * 0x101,
                plan,
                first,
                spread,
            });
        }
    }
    all
}

/// All queries of the run in the order of time, the same for the same seed.
pub fn plan(s: &Scenario, customers: &[Customer], from: Millis) -> Vec<Planned> {
    let mut rng = SmallRng::seed_from_u64(s.seed);
    let mut all = Vec::new();
    for (number, customer) in customers.iter().enumerate() {
        let told: &Customers = &s.customers[customer.of];
        let Ok(gap) = Exp::new(told.queries_per_s / 1000.0) else {
            continue;
        };
        let groups: Vec<usize> = if told.groups.is_empty() {
            (0..s.groups.len()).collect()
        } else {
            told.groups
                .iter()
                .filter_map(|g| s.groups.iter().position(|known| known.name == *g))
                .collect()
        };
        let (mut at, mut busiest, mut moves) = (0.0, 0, told.moves_s * 1000.0);
        loop {
            at += gap.sample(&mut rng);
            if at >= s.seconds * 1000.0 {
                break;
            }
            while told.moves_s > 0.0 && at >= moves {
                (busiest, moves) = (
                    rng.random_range(0..customer.spread),
                    moves + told.moves_s * 1000.0,
                );
            }
            let even = rng.random::<f64>() >= told.uneven;
            let place = if even {
                rng.random_range(0..customer.spread)
            } else {
                busiest
            };
            let limiter = (customer.first + place) % s.limiters.count;
            let group = groups.choose(&mut rng).copied().unwrap_or(0);
            let query = Planned {
                id: 0,
                at: from + at,
                customer: number,
                group,
                limiter,
                units: told.units,
            };
            all.push(query);
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all.iter_mut()
        .enumerate()
        .for_each(|(n, q)| q.id = n as u64 + 1);
    all
}

/// The front: connections kept to each limiter.
pub struct Front {
    clock: Clock,
    limiters: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<TcpStream>>>,
}

impl Front {
    pub fn new(clock: Clock, limiters: Vec<SocketAddr>) -> Front {
        let idle = limiters.iter().map(|_| Mutex::default()).collect();
        Front {
            clock,
            limiters,
            idle,
        }
    }

    /// One query from its sending to its end.
    pub async fn ask(&self, s: &Scenario, customers: &[Customer], query: &Planned) -> Query {
        let group = &s.groups[query.group];
        let text = request(s, customers, query);
        let sent = self.clock.now();
        let limit = Duration::from_secs_f64(group.limit_s);
        let until = Instant::now() + limit + PATIENCE;
        let once = group.repeats == RetrySafety::NonIdempotent;
        let outcome = match timeout_at(until, self.exchange(query, text.as_bytes(), once)).await {
            Ok(outcome) => outcome,
            Err(_) => QueryOutcome::Silent,
        };
        Query {
            id: query.id,
            customer: query.customer,
            group: query.group,
            limiter: query.limiter,
            units: query.units,
            sent_at: sent,
            deadline: sent + group.limit_s * 1000.0,
            ended_at: self.clock.now(),
            outcome,
        }
    }

    async fn exchange(&self, query: &Planned, text: &[u8], once: bool) -> QueryOutcome {
        let mut kept = self.kept(query.limiter);
        loop {
            let old = kept.is_some();
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => {
                    match timeout(CONNECT, TcpStream::connect(self.limiters[query.limiter])).await {
                        Ok(Ok(stream)) => stream,
                        _ => return QueryOutcome::Unreached,
                    }
                }
            };
            let _ = stream.set_nodelay(true);
            let mut rest = Vec::new();
            let answer = match stream.write_all(text).await {
                Ok(()) => http::read_message(&mut stream, &mut rest, MessageKind::Response).await,
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(answer)) => {
                    let own = answer.body == format!("{:016x}", query.id).as_bytes();
                    if !answer.wants_close() && rest.is_empty() {
                        lock(&self.idle[query.limiter]).push(stream);
                    }
                    return match answer.status() {
                        200 if own => QueryOutcome::Answered,
                        200 => QueryOutcome::Foreign,
                        429 | 503 => QueryOutcome::Shed,
                        _ => QueryOutcome::Dropped,
                    };
                }
                // The limiter closed it between queries, and the close has crossed this one: sent once more
                // on a new connection, unless it must never run twice.
                _ if old && rest.is_empty() && !once => {}
                _ => return QueryOutcome::Lost,
            }
        }
    }

    /// A connection that stands idle, and that the limiter has not closed as far as can be seen.
    fn kept(&self, limiter: usize) -> Option<TcpStream> {
        let mut idle = lock(&self.idle[limiter]);
        loop {
            let stream = idle.pop()?;
            let nothing = stream.try_read(&mut [0; 1]);
            if nothing.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }
}

fn request(s: &Scenario, customers: &[Customer], query: &Planned) -> String {
    let (customer, group) = (&customers[query.customer], &s.groups[query.group]);
    let (method, more) = match group.repeats {
        RetrySafety::Idempotent => ("GET", String::new()),
        RetrySafety::Deduplicated => (
            "POST",
            format!(
                "Idempotency-Key: {:032x}\r\nContent-Length: 2\r\n",
                query.id
            ),
        ),
        RetrySafety::NonIdempotent => ("POST", "Content-Length: 2\r\n".to_string()),
    };
    let body = if method == "GET" { "" } else { "hi" };
    let plan = &s.plans[customer.plan].name;
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {name}\r\nX-Plan: {plan}\r\n\
         Cookie: client={acct:016x}\r\nX-Remaining: {limit}m\r\n{more}\
         X-Quota: units={units},spread={spread},first={first}\r\n\r\n{body}",
        name = group.name,
        id = query.id,
        acct = customer.acct,
        limit = (group.limit_s * 1000.0) as u64,
        units = query.units,
        spread = customer.spread,
        first = customer.first,
    )
}
