//! Request admission: the CPU time of decisions, and the number of requests that are not decided at once.

use super::fixture::{config_section, configured_dispatcher, new_dispatcher, servers_section};
use crate::figure::FigureLine;
use crate::fleet_data::{config_text, proxies, proxy_addr, servers, service};
use crate::fleet_size::{region, FleetSize};
use crate::measure::{thread_cpu_ms, Samples};
use aspendrum_core::api::{LoadReport, Outcome, RequestId, ZoneSet};
use aspendrum_model::message::StateSection;
use aspendrum_net::forward::{ForwardHandle, RequestKind};
use aspendrum_net::mailbox::{self, MailboxReceiver};
use aspendrum_proxy::counter::{CounterClient, CounterId};
use aspendrum_proxy::dispatcher::{
    AdmissionRequest, AttemptResult, ConfigSnapshot, Dispatcher, RequestDecision,
};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REQUESTS: usize = 3_000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of requests per tick of the dispatcher.
const REQUESTS_PER_TICK: usize = 50;
const RESPONSE_TIME_MS: f64 = 50.0;
const SHORT_RESPONSE_TIME_MS: f64 = 5.0;
/// Selects the service of a request: a position from 0 to 1 within the cumulative weights of the route's services.
const SERVICE_SELECTION: f64 = 0.1;
/// The number of requests to each of the two pools in a benchmark of blocked pools.
const REQUESTS_PER_POOL: usize = 20;

/// The route, pool and tenant of a request.
struct Target {
    route: usize,
    pool: u16,
    tenant: usize,
}

/// A request that has been passed to the dispatcher.
struct Admitted {
    id: RequestId,
    decisions: MailboxReceiver<RequestDecision>,
}

impl Admitted {
    /// Returns the decision if it is available already.
    fn decision(&self) -> Option<RequestDecision> {
        self.decisions.recv_deadline(Some(Instant::now())).ok()
    }
}

/// Passes a request to the dispatcher. Returns the request and the CPU time in milliseconds.
fn admit(dispatcher: &Dispatcher, snapshot: &ConfigSnapshot, target: Target) -> (Admitted, f64) {
    let (sender, decisions) = mailbox::for_current_thread(8);
    let request = AdmissionRequest {
        route: target.route,
        pool: target.pool,
        tenant: Some(target.tenant),
        regions: ZoneSet::ALL,
        deadline: Instant::now() + REQUEST_TIMEOUT,
        decisions: sender,
        forward_handle: Arc::new(ForwardHandle::new(RequestKind::Idempotent)),
    };
    let started_at = thread_cpu_ms();
    let id = dispatcher.admit(snapshot, request);
    let cpu_ms = thread_cpu_ms() - started_at;
    (Admitted { id, decisions }, cpu_ms)
}

fn success(rtt: f64) -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Ok,
        rtt,
        load: LoadReport::default(),
    }
}

/// Measures the CPU time of admitting a request and of completing its only attempt. The proxy owns the counters of all
/// tenants.
pub(super) fn measure(size: &FleetSize) {
    let dispatcher = configured_dispatcher(size, 1);
    let Some(snapshot) = dispatcher.snapshot() else {
        return;
    };
    let (mut admission_times, mut completion_times, mut not_sent) = (Vec::new(), Vec::new(), 0);
    for number in 0..REQUESTS {
        let route = number % snapshot.config.routes.len();
        let service = snapshot.config.routes[route].select_service(SERVICE_SELECTION);
        let Some(pool) = snapshot.pools.get(service).copied() else {
            continue;
        };
        let tenant = number % size.tenants;
        let target = Target {
            route,
            pool,
            tenant,
        };
        let (admitted, cpu_ms) = admit(&dispatcher, &snapshot, target);
        admission_times.push(cpu_ms);
        let Some(RequestDecision::Forward { attempt, server }) = admitted.decision() else {
            dispatcher.finish_request(admitted.id);
            not_sent += 1;
            continue;
        };
        let started_at = thread_cpu_ms();
        dispatcher.finish_attempt(
            admitted.id,
            attempt,
            server,
            success(RESPONSE_TIME_MS),
            true,
        );
        completion_times.push(thread_cpu_ms() - started_at);
        if number % REQUESTS_PER_TICK == 0 {
            dispatcher.tick();
        }
    }
    print_times(size, admission_times, completion_times, not_sent);
}

fn print_times(size: &FleetSize, admission: Vec<f64>, completion: Vec<f64>, not_sent: usize) {
    let figure = |name| {
        FigureLine::new(name)
            .with("servers", size.servers)
            .with("services", size.services)
    };
    let admission = Samples::new(admission);
    figure("proxy.query.decided")
        .with("tenants", size.tenants)
        .with("not_sent", not_sent)
        .milliseconds("cpu", &admission)
        .number("cpu_99_ms", admission.quantile(0.99))
        .print();
    figure("proxy.query.ended")
        .milliseconds("cpu", &Samples::new(completion))
        .print();
}

/// Counts the requests that are decided at once, without waiting for a reply from the proxy that owns the tenant's
/// counter, and the tenants whose counters are owned by a proxy in another region.
pub(super) fn measure_remote_counters(size: &FleetSize) {
    let dispatcher = configured_dispatcher(size, size.limiters);
    let Some(snapshot) = dispatcher.snapshot() else {
        return;
    };
    let service = snapshot.config.routes[0].select_service(SERVICE_SELECTION);
    let Some(pool) = snapshot.pools.get(service).copied() else {
        return;
    };
    let requests = size.tenants.min(REQUESTS);
    let mut decided_at_once = 0;
    for tenant in 0..requests {
        let target = Target {
            route: 0,
            pool,
            tenant,
        };
        let (admitted, _) = admit(&dispatcher, &snapshot, target);
        decided_at_once += usize::from(admitted.decision().is_some());
        dispatcher.finish_request(admitted.id);
    }
    FigureLine::new("proxy.query.counted")
        .with("limiters", size.limiters)
        .with("asked", requests)
        .with("decided_at_once", decided_at_once)
        .with("tenants", size.tenants)
        .with(
            "held_in_another_region",
            counters_in_other_regions(size, &snapshot),
        )
        .print();
}

fn counters_in_other_regions(size: &FleetSize, snapshot: &ConfigSnapshot) -> usize {
    let mut counters = CounterClient::default();
    let addresses = proxies(size.limiters).into_iter().map(|p| *p.addr.ip());
    counters.set_owners(addresses.collect());
    let region_of = |ip: Ipv4Addr| {
        let number = (0..size.limiters).find(|n| *proxy_addr(*n).ip() == ip);
        number.map(region)
    };
    let local_region = region(0);
    let tenants = snapshot.config.tenants.iter().flatten();
    tenants
        .filter_map(|t| counters.owner(CounterId::for_tenant(&t.name)))
        .filter_map(region_of)
        .filter(|owner_region| *owner_region != local_region)
        .count()
}

/// Measures whether requests to one pool are forwarded while another pool has no usable server. The engine
/// distinguishes pools by 64 bits, so pools whose numbers differ by 64 can block each other.
pub(super) fn measure_blocked_pools() {
    for (services, empty, other) in [(60, 0, 59), (250, 0, 64), (250, 0, 65)] {
        let size = FleetSize {
            services,
            servers: services * 4,
            tenants: 50,
            routes: services,
            limiters: 1,
        };
        measure_blocked_pool(&size, &service(empty), &service(other));
    }
}

fn measure_blocked_pool(size: &FleetSize, empty_service: &str, other_service: &str) {
    let dispatcher = new_dispatcher();
    dispatcher.apply(StateSection::Proxies(proxies(1)));
    let text = config_text(size, size.services, 1);
    dispatcher.apply(config_section(&text, 1));
    let mut list = servers(size);
    list.retain(|server| server.service != empty_service);
    dispatcher.apply(servers_section(list));
    dispatcher.tick();
    let Some(snapshot) = dispatcher.snapshot() else {
        return;
    };
    let pool_of = |service: &str| snapshot.pools.get(service).copied();
    let (Some(empty_pool), Some(other_pool)) = (pool_of(empty_service), pool_of(other_service))
    else {
        return;
    };
    // Keeps the waiting requests alive until all requests have been admitted.
    let mut waiting = Vec::new();
    send_to_pool(&dispatcher, &snapshot, size, empty_pool, &mut waiting);
    let sent_at_once = send_to_pool(&dispatcher, &snapshot, size, other_pool, &mut waiting);
    FigureLine::new("proxy.stuck")
        .with("services", size.services)
        .with("dead_pool", empty_pool)
        .with("asked_pool", other_pool)
        .with("asked", REQUESTS_PER_POOL)
        .with("sent_at_once", sent_at_once)
        .print();
}

/// Returns the number of requests that were forwarded at once. The others are added to `waiting`.
fn send_to_pool(
    dispatcher: &Dispatcher,
    snapshot: &ConfigSnapshot,
    size: &FleetSize,
    pool: u16,
    waiting: &mut Vec<Admitted>,
) -> usize {
    let mut routes = snapshot.config.routes.iter();
    let route = routes.position(|r| snapshot.pools.get(&r.services[0].service) == Some(&pool));
    let mut sent = 0;
    for number in 0..REQUESTS_PER_POOL {
        let target = Target {
            route: route.unwrap_or(0),
            pool,
            tenant: number % size.tenants,
        };
        let (admitted, _) = admit(dispatcher, snapshot, target);
        let Some(RequestDecision::Forward { attempt, server }) = admitted.decision() else {
            waiting.push(admitted);
            continue;
        };
        sent += 1;
        let result = success(SHORT_RESPONSE_TIME_MS);
        dispatcher.finish_attempt(admitted.id, attempt, server, result, true);
    }
    sent
}
