//! The clients: open-loop traffic, in which each query is sent at its time whatever became of those before it.

use crate::scenario::{Customers, Scenario};
use aspendrum_checker::limiter::{Query, QueryOutcome, RetrySafety};
use aspendrum_checker::Millis;
use aspendrum_fake_services::http::{self, Message, MessageKind};
use aspendrum_fake_services::{lock, Clock};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection that does not come up in this time never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A client waits so long beyond its deadline; without a response by then there is none.
const PATIENCE: Duration = Duration::from_millis(700);
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The account of the first customer, and the distance to the next one.
const FIRST_ACCOUNT: u64 = 0x1_0000;
const ACCOUNT_STEP: u64 = 0x101;
/// Customers with a part of the fleet begin so many limiters apart.
const LIMITER_STEP: usize = 7;

/// A query to be sent.
#[derive(Clone, Debug)]
pub struct PlannedQuery {
    /// Identifies it.
    pub id: u64,
    /// When it is sent.
    pub at: Millis,
    /// Its customer.
    pub customer: usize,
    /// Its group, by the index in the scenario.
    pub group: usize,
    /// The limiter that it is sent to.
    pub limiter: usize,
    /// The units of the quota that it takes.
    pub units: f64,
}

/// A customer, with the limiters that its queries go to.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its entry, by the index in the scenario.
    pub entry: usize,
    /// What identifies it in queries.
    pub account: u64,
    /// Its plan, by the index in the scenario.
    pub plan: usize,
    /// The first of its limiters.
    pub first_limiter: usize,
    /// The number of its limiters.
    pub limiters: usize,
}

/// All customers of a scenario.
pub fn customers(scenario: &Scenario) -> Vec<Customer> {
    let fleet = scenario.limiters.count;
    let mut all = Vec::new();
    for (entry, customers) in scenario.customers.iter().enumerate() {
        let plan = scenario
            .plans
            .iter()
            .position(|plan| plan.name == customers.plan)
            .unwrap_or(0);
        let limiters = ((customers.limiter_share * fleet as f64).round() as usize).clamp(1, fleet);
        for _ in 0..customers.count {
            let number = all.len();
            let is_whole_fleet = limiters == fleet;
            let first_limiter = if is_whole_fleet {
                0
            } else {
                number * LIMITER_STEP % fleet
            };
            let account = FIRST_ACCOUNT + number as u64 * ACCOUNT_STEP;
            all.push(Customer {
                entry,
                account,
                plan,
                first_limiter,
                limiters,
            });
        }
    }
    all
}

/// All queries of a run in the order of time, the same for the same seed. `from`: when the traffic begins.
pub fn plan_queries(
    scenario: &Scenario,
    customers: &[Customer],
    from: Millis,
) -> Vec<PlannedQuery> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut all = Vec::new();
    for (number, customer) in customers.iter().enumerate() {
        all.extend(queries_of(scenario, number, customer, from, &mut rng));
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all.iter_mut()
        .enumerate()
        .for_each(|(index, query)| query.id = index as u64 + 1);
    all
}

/// The queries of one customer, still without ids.
fn queries_of(
    scenario: &Scenario,
    number: usize,
    customer: &Customer,
    from: Millis,
    rng: &mut SmallRng,
) -> Vec<PlannedQuery> {
    let entry: &Customers = &scenario.customers[customer.entry];
    let Ok(gap) = Exp::new(entry.queries_per_s / MILLIS_PER_SECOND) else {
        return Vec::new();
    };
    let groups = groups_of(scenario, entry);
    let mut choice = LimiterChoice::new(customer, entry);
    let mut queries = Vec::new();
    let mut at = 0.0;
    loop {
        at += gap.sample(rng);
        if at >= scenario.seconds * MILLIS_PER_SECOND {
            return queries;
        }
        let limiter = choice.next(at, rng) % scenario.limiters.count;
        let group = groups.choose(rng).copied().unwrap_or(0);
        queries.push(PlannedQuery {
            id: 0,
            at: from + at,
            customer: number,
            group,
            limiter,
            units: entry.units,
        });
    }
}

/// The groups that queries are drawn from: those named, or else all.
fn groups_of(scenario: &Scenario, entry: &Customers) -> Vec<usize> {
    if entry.groups.is_empty() {
        return (0..scenario.groups.len()).collect();
    }
    let index = |name: &String| scenario.groups.iter().position(|group| group.name == *name);
    entry.groups.iter().filter_map(index).collect()
}

/// Chooses a limiter for each query of a customer: evenly, or the one that is busiest for a while.
struct LimiterChoice<'s> {
    customer: &'s Customer,
    entry: &'s Customers,
    busiest: usize,
    /// When another limiter becomes the busiest.
    next_move: Millis,
}

impl<'s> LimiterChoice<'s> {
    fn new(customer: &'s Customer, entry: &'s Customers) -> LimiterChoice<'s> {
        LimiterChoice {
            customer,
            entry,
            busiest: 0,
            next_move: entry.skew_period_s * MILLIS_PER_SECOND,
        }
    }

    fn next(&mut self, at: Millis, rng: &mut SmallRng) -> usize {
        let limiters = self.customer.limiters;
        while self.entry.skew_period_s > 0.0 && at >= self.next_move {
            self.busiest = rng.random_range(0..limiters);
            self.next_move += self.entry.skew_period_s * MILLIS_PER_SECOND;
        }
        let is_even = rng.random::<f64>() >= self.entry.skewed_share;
        let offset = if is_even {
            rng.random_range(0..limiters)
        } else {
            self.busiest
        };
        self.customer.first_limiter + offset
    }
}

/// The clients' connections to each limiter.
pub struct ClientPool {
    clock: Clock,
    limiters: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<TcpStream>>>,
}

impl ClientPool {
    /// Clients of these limiters.
    pub fn new(clock: Clock, limiters: Vec<SocketAddr>) -> ClientPool {
        let idle = limiters.iter().map(|_| Mutex::default()).collect();
        ClientPool {
            clock,
            limiters,
            idle,
        }
    }

    /// Sends one query, and waits for its end.
    pub async fn send(
        &self,
        scenario: &Scenario,
        customers: &[Customer],
        query: &PlannedQuery,
    ) -> Query {
        let group = &scenario.groups[query.group];
        let request = encode_request(scenario, customers, query);
        let sent_at = self.clock.now();
        let give_up = Instant::now() + Duration::from_secs_f64(group.timeout_s) + PATIENCE;
        let may_repeat = group.retry_safety != RetrySafety::NonIdempotent;
        let exchange = self.exchange(query, request.as_bytes(), may_repeat);
        let outcome = timeout_at(give_up, exchange)
            .await
            .unwrap_or(QueryOutcome::Silent);
        Query {
            id: query.id,
            customer: query.customer,
            group: query.group,
            limiter: query.limiter,
            units: query.units,
            sent_at,
            deadline: sent_at + group.timeout_s * MILLIS_PER_SECOND,
            ended_at: self.clock.now(),
            outcome,
        }
    }

    async fn exchange(
        &self,
        query: &PlannedQuery,
        request: &[u8],
        may_repeat: bool,
    ) -> QueryOutcome {
        let mut idle = self.take_idle(query.limiter);
        loop {
            let was_idle = idle.is_some();
            let Some(mut stream) = self.connect(idle.take(), query.limiter).await else {
                return QueryOutcome::Unreached;
            };
            let _ = stream.set_nodelay(true);
            let mut unread = Vec::new();
            match write_and_read(&mut stream, request, &mut unread).await {
                Ok(Some(response)) => {
                    if !response.wants_close() && unread.is_empty() {
                        lock(&self.idle[query.limiter]).push(stream);
                    }
                    return outcome_of(&response, query.id);
                }
                // The limiter closed the connection between queries, and its close crossed this one. It is sent again on a
                // new connection, unless it must never run twice.
                _ if was_idle && unread.is_empty() && may_repeat => {}
                _ => return QueryOutcome::Lost,
            }
        }
    }

    async fn connect(&self, idle: Option<TcpStream>, limiter: usize) -> Option<TcpStream> {
        if idle.is_some() {
            return idle;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.limiters[limiter])).await;
        connected.ok()?.ok()
    }

    /// An idle connection that the limiter has not closed, as far as can be seen.
    fn take_idle(&self, limiter: usize) -> Option<TcpStream> {
        let mut idle = lock(&self.idle[limiter]);
        loop {
            let stream = idle.pop()?;
            let received = stream.try_read(&mut [0; 1]);
            if received.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }
}

async fn write_and_read(
    stream: &mut TcpStream,
    request: &[u8],
    unread: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    stream.write_all(request).await?;
    http::read_message(stream, unread, MessageKind::Response).await
}

fn outcome_of(response: &Message, id: u64) -> QueryOutcome {
    let is_own = response.body == format!("{id:016x}").as_bytes();
    match response.status() {
        200 if is_own => QueryOutcome::Answered,
        200 => QueryOutcome::Foreign,
        429 | 503 => QueryOutcome::Shed,
        _ => QueryOutcome::Dropped,
    }
}

fn encode_request(scenario: &Scenario, customers: &[Customer], query: &PlannedQuery) -> String {
    let (customer, group) = (&customers[query.customer], &scenario.groups[query.group]);
    let with_body = "Content-Length: 2\r\n";
    let (method, headers) = match group.retry_safety {
        RetrySafety::Idempotent => ("GET", String::new()),
        RetrySafety::Deduplicated => (
            "POST",
            format!("Idempotency-Key: {:032x}\r\n{with_body}", query.id),
        ),
        RetrySafety::NonIdempotent => ("POST", with_body.to_string()),
    };
    let body = if method == "GET" { "" } else { "hi" };
    let plan = &scenario.plans[customer.plan].name;
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {name}\r\nX-Plan: {plan}\r\n\
         Cookie: client={account:016x}\r\nX-Remaining: {limit}m\r\n{headers}\
         X-Quota: units={units},spread={limiters},first={first}\r\n\r\n{body}",
        name = group.name,
        id = query.id,
        account = customer.account,
        limit = (group.timeout_s * MILLIS_PER_SECOND) as u64,
        units = query.units,
        limiters = customer.limiters,
        first = customer.first_limiter,
    )
}
