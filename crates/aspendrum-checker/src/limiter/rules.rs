//! The five rules for limiters, checked on what clients and servers observed.

use super::quota::{self, Grants, HardLimit};
use super::record::{
    Forward, ForwardOutcome, Query, QueryOutcome, Record, RetrySafety, ServerIncarnation,
};
use crate::Millis;
use std::collections::HashMap;

/// Rule 1: each query gets its own response, in time.
const RULE_OWN_RESPONSE: u8 = 1;
/// Rule 2: no query runs twice unless it may.
const RULE_NOT_TWICE: u8 = 2;
/// Rule 3: no query is sent to a draining server.
const RULE_DRAIN: u8 = 3;
/// Rule 4: no server in slow start is overloaded.
const RULE_SLOW_START: u8 = 4;
/// Rule 5: no hard limit is exceeded.
const RULE_HARD_LIMIT: u8 = 5;

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The number of the rule.
    pub rule: u8,
    /// When the rule was broken.
    pub at: Millis,
    /// What happened.
    pub description: String,
}

/// The time after a fault within which queries delayed by the faulty connection may still arrive.
const LATE_DELIVERY_GRACE: Millis = 1000.0;

/// Returns all breaches, in the order of the rules.
pub(super) fn breaches(
    record: &Record,
    grants: &[Grants],
    loads: &[SlowStartLoad<'_>],
) -> Vec<Breach> {
    let queries = queries_by_id(record);
    let mut breaches = Vec::new();
    check_responses(record, &mut breaches);
    check_executions(record, &queries, &mut breaches);
    check_drains(record, &queries, &mut breaches);
    check_slow_starts(loads, &mut breaches);
    check_hard_limits(record, grants, &mut breaches);
    breaches
}

fn queries_by_id(record: &Record) -> HashMap<u64, &Query> {
    record
        .queries
        .iter()
        .map(|query| (query.id, query))
        .collect()
}

fn check_responses(record: &Record, breaches: &mut Vec<Breach>) {
    for query in &record.queries {
        let what = match query.outcome {
            QueryOutcome::Foreign => "got a response that no server made for it",
            // Exempt: the limiter may never have received the query, or was killed or suspended while it handled the
            // query.
            _ if record.is_exempt(query.limiter, None, query.sent_at, query.ended_at) => continue,
            QueryOutcome::Lost => "lost its connection before a response",
            QueryOutcome::Silent => "got no response",
            _ if query.ended_at > query.deadline + record.limits.answer_slack => {
                "was answered after the deadline"
            }
            _ => continue,
        };
        breaches.push(Breach {
            rule: RULE_OWN_RESPONSE,
            at: query.ended_at,
            description: format!("query {} at limiter {} {what}", query.id, query.limiter),
        });
    }
}

fn check_executions(record: &Record, queries: &HashMap<u64, &Query>, breaches: &mut Vec<Breach>) {
    for forward in record
        .forwards
        .iter()
        .filter(|forward| forward.has_two_lengths)
    {
        let description = format!(
            "a forward of query {} had both Content-Length and Transfer-Encoding",
            forward.id
        );
        breaches.push(Breach {
            rule: RULE_NOT_TWICE,
            at: forward.last_byte_at,
            description,
        });
    }
    let mut executions: HashMap<u64, Vec<&Forward>> = HashMap::new();
    for forward in record
        .forwards
        .iter()
        .filter(|f| f.outcome == ForwardOutcome::Ran)
    {
        executions.entry(forward.id).or_default().push(forward);
    }
    let mut ids: Vec<u64> = executions.keys().copied().collect();
    ids.sort_unstable();
    for id in ids {
        let Some(query) = queries.get(&id) else {
            continue;
        };
        let executions = executions.remove(&id).unwrap_or_default();
        check_query_executions(record, query, executions, breaches);
    }
}

/// Checks the executions of one query. `executions` must not be empty.
fn check_query_executions(
    record: &Record,
    query: &Query,
    mut executions: Vec<&Forward>,
    breaches: &mut Vec<Breach>,
) {
    let retry_safety = record.groups[query.group].retry_safety;
    executions.sort_by(|a, b| a.last_byte_at.total_cmp(&b.last_byte_at));
    if retry_safety != RetrySafety::Idempotent && executions.len() > 1 {
        let servers: Vec<usize> = executions.iter().map(|forward| forward.server).collect();
        let kind = match retry_safety {
            RetrySafety::Idempotent => "Repeatable",
            RetrySafety::Deduplicated => "Keyed",
            RetrySafety::NonIdempotent => "Mutating",
        };
        let (id, times) = (query.id, executions.len());
        let description = format!("{kind} query {id} ran {times} times, at servers {servers:?}");
        breaches.push(Breach {
            rule: RULE_NOT_TWICE,
            at: executions[1].last_byte_at,
            description,
        });
    }
    if retry_safety == RetrySafety::NonIdempotent && query.outcome == QueryOutcome::Shed {
        let description = format!("mutating query {} was shed although it had run", query.id);
        breaches.push(Breach {
            rule: RULE_NOT_TWICE,
            at: query.ended_at,
            description,
        });
    }
}

/// A discovery update on whether a server is in service.
struct ServiceState {
    at: Millis,
    in_service: bool,
}

/// Returns the updates per limiter and server, ordered by time.
fn service_states(record: &Record) -> HashMap<(usize, usize), Vec<ServiceState>> {
    let mut states: HashMap<(usize, usize), Vec<ServiceState>> = HashMap::new();
    for update in &record.discovery_updates {
        let state = ServiceState {
            at: update.at,
            in_service: update.in_service,
        };
        states
            .entry((update.limiter, update.server))
            .or_default()
            .push(state);
    }
    states
        .values_mut()
        .for_each(|list| list.sort_by(|a, b| a.at.total_cmp(&b.at)));
    states
}

/// Returns the start of the uninterrupted period, as of `at`, in which the server is known to be out of service.
fn out_of_service_since(states: &[ServiceState], at: Millis) -> Option<Millis> {
    let known = &states[..states.partition_point(|state| state.at <= at)];
    let first = known
        .iter()
        .rev()
        .take_while(|state| !state.in_service)
        .last()?;
    Some(first.at)
}

fn check_drains(record: &Record, queries: &HashMap<u64, &Query>, breaches: &mut Vec<Breach>) {
    let states = service_states(record);
    for forward in &record.forwards {
        let Some(query) = queries.get(&forward.id) else {
            continue;
        };
        let Some(states) = states.get(&(query.limiter, forward.server)) else {
            continue;
        };
        let sent_at = forward.first_byte_at;
        let Some(since) = out_of_service_since(states, sent_at) else {
            continue;
        };
        let (limiter, server) = (query.limiter, forward.server);
        let is_late = sent_at > since + record.limits.drain_grace;
        if is_late
            && !record.is_exempt(
                limiter,
                Some(server),
                sent_at - LATE_DELIVERY_GRACE,
                sent_at,
            )
        {
            let after = sent_at - since;
            let description = format!(
                "limiter {limiter} sent to server {server} {after:.0} ms after the update that the server drains or is gone"
            );
            breaches.push(Breach {
                rule: RULE_DRAIN,
                at: sent_at,
                description,
            });
        }
    }
}

/// The window with the highest load in a server's slow start.
pub(super) struct SlowStartLoad<'r> {
    incarnation: &'r ServerIncarnation,
    /// The work sent to the server in the window, as a share of what the rule allows.
    pub(super) load: f64,
    /// When the window began.
    at: Millis,
}

/// Work that reached a server.
struct Work {
    at: Millis,
    core_ms: Millis,
}

/// Returns the window with the highest load of each slow start.
pub(super) fn slow_start_loads(record: &Record) -> Vec<SlowStartLoad<'_>> {
    let queries = queries_by_id(record);
    let cold = record
        .incarnations
        .iter()
        .filter(|incarnation| incarnation.is_cold_start);
    cold.map(|incarnation| {
        let work = slow_start_work(record, &queries, incarnation);
        slow_start_load(record, incarnation, &work)
    })
    .collect()
}

fn slow_start_load<'r>(
    record: &Record,
    incarnation: &'r ServerIncarnation,
    work: &[Work],
) -> SlowStartLoad<'r> {
    let (server, limits) = (&record.servers[incarnation.server], &record.limits);
    // Uses the capacity in the middle of the window in place of the mean. Capacity grows linearly and then stays
    // constant, so the middle is never below the mean.
    let allowed = |start: Millis| {
        let middle = server.capacity(start - incarnation.from + limits.collapse_window / 2.0);
        limits.collapse_multiple * middle * limits.collapse_window
    };
    let (mut sum, mut end) = (0.0, 0);
    let mut worst = SlowStartLoad {
        incarnation,
        load: 0.0,
        at: 0.0,
    };
    for first in work {
        while end < work.len() && work[end].at < first.at + limits.collapse_window {
            sum += work[end].core_ms;
            end += 1;
        }
        let load = sum / allowed(first.at);
        if load > worst.load {
            worst = SlowStartLoad {
                incarnation,
                load,
                at: first.at,
            };
        }
        sum -= first.core_ms;
    }
    worst
}

/// Returns the work that reached a server during its slow start, ordered by time.
fn slow_start_work(
    record: &Record,
    queries: &HashMap<u64, &Query>,
    incarnation: &ServerIncarnation,
) -> Vec<Work> {
    let until = incarnation.from + record.servers[incarnation.server].slow_start;
    let is_inside = |at: Millis| at >= incarnation.from && at < until;
    let reached = record.forwards.iter();
    let reached = reached.filter(|f| f.server == incarnation.server && is_inside(f.last_byte_at));
    let work = reached.filter_map(|forward| {
        let query = queries.get(&forward.id)?;
        Some(Work {
            at: forward.last_byte_at,
            core_ms: record.groups[query.group].mean_work,
        })
    });
    let mut work: Vec<Work> = work.collect();
    work.sort_by(|a, b| a.at.total_cmp(&b.at));
    work
}

fn check_slow_starts(loads: &[SlowStartLoad<'_>], breaches: &mut Vec<Breach>) {
    for SlowStartLoad {
        incarnation,
        load,
        at,
    } in loads
    {
        let server = incarnation.server;
        if *load > 1.0 {
            let description = format!(
                "cold server {server} received {load:.2} times the load that the rule allows"
            );
            breaches.push(Breach {
                rule: RULE_SLOW_START,
                at: *at,
                description,
            });
        } else if let Some(at) = incarnation.collapsed_at {
            let description = format!("cold server {server} collapsed");
            breaches.push(Breach {
                rule: RULE_SLOW_START,
                at,
                description,
            });
        }
    }
}

fn check_hard_limits(record: &Record, grants: &[Grants], breaches: &mut Vec<Breach>) {
    let largest_query = record
        .queries
        .iter()
        .map(|query| query.units)
        .fold(0.0, f64::max);
    for (customer, grants) in record.customers.iter().zip(grants) {
        if customer.limit_rate <= 0.0 {
            continue;
        }
        let limit = HardLimit::of(customer, &record.limits, largest_query);
        if let Some(excess) = quota::find_excess(&limit, grants) {
            let description = format!(
                "customer {} was granted {:.1} units where {:.1} were allowed",
                customer.name, excess.units, excess.allowed
            );
            breaches.push(Breach {
                rule: RULE_HARD_LIMIT,
                at: excess.from,
                description,
            });
        }
    }
}
