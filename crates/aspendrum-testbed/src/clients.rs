//! The clients. Traffic is open-loop: each query is sent at its scheduled time, regardless of earlier queries.

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

/// The timeout of a connection attempt to a limiter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a client waits for a response after the query's deadline. A later response counts as missing.
const RESPONSE_GRACE: Duration = Duration::from_millis(700);
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The account number of the first customer, and the increment for each further one.
const FIRST_ACCOUNT: u64 = 0x1_0000;
const ACCOUNT_STEP: u64 = 0x101;
/// The distance between the first limiters of two consecutive customers that use a part of the fleet.
const LIMITER_STEP: usize = 7;

/// A query to be sent.
#[derive(Clone, Debug)]
pub struct PlannedQuery {
    /// The unique id of the query.
    pub id: u64,
    /// The scheduled send time.
    pub at: Millis,
    /// The customer, by index.
    pub customer: usize,
    /// The group, by its index in the scenario.
    pub group: usize,
    /// The limiter that receives the query.
    pub limiter: usize,
    /// The cost of the query, in units of the quota.
    pub units: f64,
}

/// A customer and the limiters that it uses.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The entry of the customer, by its index in the scenario.
    pub entry: usize,
    /// The account number that identifies the customer in queries.
    pub account: u64,
    /// The plan, by its index in the scenario.
    pub plan: usize,
    /// The first limiter that the customer uses.
    pub first_limiter: usize,
    /// The number of consecutive limiters that the customer uses.
    pub limiters: usize,
}

/// Returns all customers of a scenario.
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

/// Plans all queries of a run, ordered by send time. The plan is deterministic for a seed. `from` is the start of the
/// traffic.
pub fn plan_queries(
    scenario: &Scenario,
    customers: &[Customer],
    from: Millis,
) -> Vec<PlannedQuery> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut all = Vec::new();
    for (number, customer) in customers.iter().enumerate() {
        all.extend(plan_customer_queries(
            scenario, number, customer, from, &mut rng,
        ));
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all.iter_mut()
        .enumerate()
        .for_each(|(index, query)| query.id = index as u64 + 1);
    all
}

/// Plans the queries of one customer, with ids of 0.
fn plan_customer_queries(
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
    let groups = group_indices(scenario, entry);
    let mut picker = LimiterPicker::new(customer, entry);
    let mut queries = Vec::new();
    let mut at = 0.0;
    loop {
        at += gap.sample(rng);
        if at >= scenario.seconds * MILLIS_PER_SECOND {
            return queries;
        }
        let limiter = picker.pick(at, rng) % scenario.limiters.count;
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

/// Returns the indices of the groups from which queries are drawn: the listed ones, or all if none is listed.
fn group_indices(scenario: &Scenario, entry: &Customers) -> Vec<usize> {
    if entry.groups.is_empty() {
        return (0..scenario.groups.len()).collect();
    }
    let index = |name: &String| scenario.groups.iter().position(|group| group.name == *name);
    entry.groups.iter().filter_map(index).collect()
}

/// Picks a limiter for each query of a customer: uniformly at random, or the hot limiter for the skewed share of queries.
struct LimiterPicker<'s> {
    customer: &'s Customer,
    entry: &'s Customers,
    hot_offset: usize,
    /// When the next hot limiter is drawn.
    next_change: Millis,
}

impl<'s> LimiterPicker<'s> {
    fn new(customer: &'s Customer, entry: &'s Customers) -> LimiterPicker<'s> {
        LimiterPicker {
            customer,
            entry,
            hot_offset: 0,
            next_change: entry.skew_period_s * MILLIS_PER_SECOND,
        }
    }

    fn pick(&mut self, at: Millis, rng: &mut SmallRng) -> usize {
        let limiters = self.customer.limiters;
        while self.entry.skew_period_s > 0.0 && at >= self.next_change {
            self.hot_offset = rng.random_range(0..limiters);
            self.next_change += self.entry.skew_period_s * MILLIS_PER_SECOND;
        }
        let is_uniform = rng.random::<f64>() >= self.entry.skewed_share;
        let offset = if is_uniform {
            rng.random_range(0..limiters)
        } else {
            self.hot_offset
        };
        self.customer.first_limiter + offset
    }
}

/// The clients' keep-alive connections to each limiter.
pub struct ClientPool {
    clock: Clock,
    limiters: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<TcpStream>>>,
}

impl ClientPool {
    /// Creates a pool for the limiters at these addresses.
    pub fn new(clock: Clock, limiters: Vec<SocketAddr>) -> ClientPool {
        let idle = limiters.iter().map(|_| Mutex::default()).collect();
        ClientPool {
            clock,
            limiters,
            idle,
        }
    }

    /// Sends a query, and returns its record once it has ended.
    pub async fn send(
        &self,
        scenario: &Scenario,
        customers: &[Customer],
        query: &PlannedQuery,
    ) -> Query {
        let group = &scenario.groups[query.group];
        let request = encode_request(scenario, customers, query);
        let sent_at = self.clock.now();
        let response_deadline =
            Instant::now() + Duration::from_secs_f64(group.timeout_s) + RESPONSE_GRACE;
        let is_retryable = group.retry_safety != RetrySafety::NonIdempotent;
        let exchange = self.exchange(query, request.as_bytes(), is_retryable);
        let outcome = timeout_at(response_deadline, exchange)
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
        is_retryable: bool,
    ) -> QueryOutcome {
        let mut idle = self.take_idle(query.limiter);
        loop {
            let was_idle = idle.is_some();
            let Some(mut stream) = self.connect(idle.take(), query.limiter).await else {
                return QueryOutcome::Unreached;
            };
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            match write_and_read(&mut stream, request, &mut buffer).await {
                Ok(Some(response)) => {
                    if !response.wants_close() && buffer.is_empty() {
                        lock(&self.idle[query.limiter]).push(stream);
                    }
                    return classify_response(&response, query.id);
                }
                // The limiter may have closed the idle connection while the query was being sent. The query is retried on a
                // new connection unless it is non-idempotent.
                _ if was_idle && buffer.is_empty() && is_retryable => {}
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

    /// Takes an idle connection on which neither a close nor unexpected data has been received.
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
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    stream.write_all(request).await?;
    http::read_message(stream, buffer, MessageKind::Response).await
}

fn classify_response(response: &Message, id: u64) -> QueryOutcome {
    let has_query_id = response.body == format!("{id:016x}").as_bytes();
    match response.status() {
        200 if has_query_id => QueryOutcome::Answered,
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
