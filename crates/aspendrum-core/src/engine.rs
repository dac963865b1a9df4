//! The decision engine of one gateway instance.
//!
//! Each instance owns one [`DecisionEngine`]. The caller passes it every event with its timestamp
//! ([`DecisionEngine::handle`]) and executes the appended actions in order. The engine never reads
//! a clock: the timer that it requests drives timeouts and the queue. A request passes through
//! `admission` (its tenant's `quota` is decided by the shared `counter`, by a `quota_owner` or by
//! this instance alone), is queued and sent to a server (`dispatch`, `endpoint_selection`), and is
//! completed (`completion`). docs/design.md gives the rationale.
//!
//! State transitions are defined in tables. Five invariants hold under any failure and are referred
//! to by number:
//!
//! 1. Each request gets exactly one final answer before its deadline.
//! 2. No request takes effect twice.
//! 3. A draining server gets no new requests.
//! 4. A starting server gets no more load than it can handle.
//! 5. No tenant exceeds its rate limit.

mod admission;
mod breaker;
mod completion;
mod concurrency_limit;
mod counter;
mod counter_name;
mod dispatch;
mod endpoint_selection;
mod fleet;
mod health_check;
mod latency;
mod maintenance;
mod membership;
mod outlier_ejection;
mod parameters;
mod quota;
mod quota_owner;
mod rate_limit;
mod retry_rules;
mod sampling;
mod slow_start;
mod tenant_count;

use self::breaker::CircuitBreaker;
use self::fleet::FleetStatistics;
use self::latency::LatencyBaseline;
use self::parameters::{GroupParameters, Parameters, PlanParameters};
use self::quota_owner::reply_cache::ReplyCache;
use self::sampling::CounterSampling;
use crate::api::{Action, Event, GroupSettings, Millis, PlanSettings, Settings};
use crate::rng::Rng;
use crate::state::peer::Peer;
use crate::state::request::Request;
use crate::state::server::Server;
use crate::state::slab::Slab;
use crate::state::tenant::Tenant;
use std::collections::VecDeque;

/// The interval of the engine's timer.
const TICK_INTERVAL: Millis = 5.0;
/// The initial response time estimate, as a fraction of the shortest latency target.
const INITIAL_RESPONSE_TIME_SHARE: f64 = 0.25;

/// Units that are still to be added to the shared counter. They get a call of their own at `due_at`
/// unless an earlier call of the tenant includes them.
struct Settlement {
    /// The tenant's index.
    tenant: usize,
    due_at: Millis,
}

/// The decisions of one instance and the state they are based on.
///
/// Methods refer to a request by its index in `requests` (`slot`), and to a tenant or server by its
/// index in `tenants` or `servers` (`index`).
pub struct DecisionEngine {
    now: Millis,
    started_at: Millis,
    /// The actions produced by the event that is being handled.
    actions: Vec<Action>,
    params: Parameters,
    rng: Rng,

    breaker: CircuitBreaker,
    sampling: CounterSampling,
    /// When the counter last replied, including rejections.
    last_counter_reply_at: Option<Millis>,
    /// The time until which the counter is treated as degraded; set by a late or failed call.
    counter_degraded_until: Millis,
    /// The indices of tenants with logged grants.
    tenants_with_log: Vec<usize>,
    settlements: VecDeque<Settlement>,

    servers: Slab<Server>,
    tenants: Slab<Tenant>,
    requests: Slab<Request>,
    /// Requests that wait for a server, in the order in which they were enqueued.
    queue: Vec<usize>,
    /// Scopes without an available server in the current dispatch round. Kept between rounds to
    /// reuse the allocation.
    unserved_scopes: Vec<dispatch::ServerScope>,
    /// All open requests, in the order of arrival.
    open_requests: Vec<usize>,
    /// By endpoint group.
    latency_baselines: Vec<LatencyBaseline>,
    fleet: FleetStatistics,
    last_sweep_at: Millis,

    /// By instance number.
    peers: Vec<Peer>,
    reply_cache: ReplyCache,
    /// The time encoded in the id of the last message to a peer.
    last_message_time: u64,
    malformed_datagrams: u64,
}

impl DecisionEngine {
    /// Returns the engine of an instance that starts at `now`, and appends its first actions. The
    /// engine is deterministic: equal seeds, settings and events produce equal actions.
    pub fn new(now: Millis, seed: u64, settings: &Settings, actions: &mut Vec<Action>) -> Self {
        actions.push(Action::Timer {
            token: 0,
            wait: TICK_INTERVAL,
        });
        actions.extend(
            settings
                .polls_discovery
                .then_some(Action::WatchServers { on: true }),
        );
        let params = Parameters::new(settings);
        DecisionEngine {
            now,
            started_at: now,
            actions: Vec::new(),
            rng: Rng::new(seed),
            breaker: CircuitBreaker::default(),
            sampling: CounterSampling::default(),
            last_counter_reply_at: None,
            counter_degraded_until: 0.0,
            tenants_with_log: Vec::new(),
            settlements: VecDeque::new(),
            servers: Slab::default(),
            tenants: Slab::default(),
            requests: Slab::default(),
            queue: Vec::new(),
            unserved_scopes: Vec::new(),
            open_requests: Vec::new(),
            latency_baselines: params
                .groups
                .iter()
                .map(|_| LatencyBaseline::default())
                .collect(),
            fleet: FleetStatistics::new(INITIAL_RESPONSE_TIME_SHARE * params.shortest_target()),
            last_sweep_at: 0.0,
            peers: vec![Peer::default(); settings.instances as usize],
            reply_cache: ReplyCache::default(),
            last_message_time: 0,
            malformed_datagrams: 0,
            params,
        }
    }

    /// Handles an event and appends the resulting actions. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Millis, event: &Event<'_>, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        match *event {
            Event::ServerList { list, entries, .. } => self.update_servers(list, entries),
            Event::Request(ref new) => self.handle_request(new),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                rtt,
                is_final,
                actual_units,
                ref load,
                ..
            } => {
                let result = dispatch::AttemptResult {
                    outcome,
                    response_time: rtt,
                    is_final,
                    actual_units: f64::from(actual_units),
                };
                self.handle_attempt_result(id, usize::from(attempt), &result, load);
            }
            Event::StreamStarted { id, .. } => self.handle_stream_started(id),
            Event::ClientDisconnected { id } => self.handle_client_disconnect(id),
            Event::CounterReplied {
                name,
                outcome,
                total,
                rtt,
            } => {
                self.handle_counter_reply(name, outcome, total.into(), rtt);
            }
            Event::ProbeEnded {
                server,
                outcome,
                ref load,
                ..
            } => self.handle_probe_result(server, outcome, load),
            Event::Timer { .. } => self.tick(),
            Event::DatagramReceived { from, data } => self.handle_datagram(from, data),
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// Applies a new configuration. Endpoint groups and plans keep their indices; new ones may only
    /// be appended. A configuration with fewer groups or plans is ignored.
    pub fn configure(&mut self, groups: &[GroupSettings], plans: &[PlanSettings]) {
        if groups.len() < self.params.groups.len() || plans.len() < self.params.plans.len() {
            return;
        }
        self.params.groups = groups.iter().map(GroupParameters::from).collect();
        self.params.plans = plans.iter().map(PlanParameters::from).collect();
        self.latency_baselines
            .resize_with(groups.len(), LatencyBaseline::default);
    }
}
