//! The decision engine of one instance: what happens to each request, decided by the events so far.
//!
//! Make one [`DecisionEngine`] an instance, give it each event with its time
//! ([`DecisionEngine::handle`]), and carry out the actions that it appends, in order. It never
//! looks at a clock: the timer that it requests drives time-outs and the queue. A request passes
//! through `admission` (its tenant's `quota`, decided by the shared `counter`, a `quota_owner` or
//! this instance alone), is queued and sent to a server (`dispatch`, `endpoint_selection`), and
//! ends (`completion`). Reasons stand in docs/design.md.
//!
//! Decisions between states stand in tables. Five rules hold whatever fails, and are named by number: 1, each request has
//! one final answer in time; 2, no effect happens twice; 3, a draining server gets nothing new; 4, a starting server
//! gets no more than it can stand; 5, no tenant gets more than its rate limit.

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

/// How often the engine asks for a timer.
const TICK: Millis = 5.0;
/// Of the shortest latency target, the first guess of a response time.
const FIRST_RESPONSE_TIME: f64 = 0.25;

/// Units still to be added to the shared counter: by a call of their own if no other call carries them before.
struct Settlement {
    /// The tenant's index.
    tenant: usize,
    due_at: Millis,
}

/// One instance's decisions and all that it remembers for them.
///
/// Its functions name the request that they are about by its index in `requests`, called `slot`,
/// and a tenant or server by its `index` in `tenants` or `servers`.
pub struct DecisionEngine {
    now: Millis,
    started_at: Millis,
    /// The actions that follow from the event that is being handled.
    actions: Vec<Action>,
    params: Parameters,
    rng: Rng,

    breaker: CircuitBreaker,
    sampling: CounterSampling,
    /// When the counter last gave a sign of life, be it that it rejected a call.
    counter_heard_at: Option<Millis>,
    /// A call of the counter failed or was late shortly before.
    counter_strained_until: Millis,
    /// Tenants with logged grants, by index.
    tenants_with_log: Vec<usize>,
    settlements: VecDeque<Settlement>,

    servers: Slab<Server>,
    tenants: Slab<Tenant>,
    requests: Slab<Request>,
    /// Requests that wait for a server, in the order in which they came to wait.
    queue: Vec<usize>,
    /// Where no server can take a request in this round of the queue; kept for its allocation.
    without_server: Vec<dispatch::ServerScope>,
    /// All requests that are remembered, in the order in which they came.
    open_requests: Vec<usize>,
    /// By endpoint group.
    latency_baselines: Vec<LatencyBaseline>,
    fleet: FleetStatistics,
    swept_at: Millis,

    /// By instance number.
    peers: Vec<Peer>,
    reply_cache: ReplyCache,
    /// The time that the last message's id encodes.
    last_message_at: u64,
    malformed_datagrams: u64,
}

impl DecisionEngine {
    /// An instance that starts now. Equal seeds, settings and events give equal actions.
    pub fn new(now: Millis, seed: u64, settings: &Settings, actions: &mut Vec<Action>) -> Self {
        actions.push(Action::Timer {
            token: 0,
            wait: TICK,
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
            counter_heard_at: None,
            counter_strained_until: 0.0,
            tenants_with_log: Vec::new(),
            settlements: VecDeque::new(),
            servers: Slab::default(),
            tenants: Slab::default(),
            requests: Slab::default(),
            queue: Vec::new(),
            without_server: Vec::new(),
            open_requests: Vec::new(),
            latency_baselines: params
                .groups
                .iter()
                .map(|_| LatencyBaseline::default())
                .collect(),
            fleet: FleetStatistics::new(FIRST_RESPONSE_TIME * params.shortest_target()),
            swept_at: 0.0,
            peers: vec![Peer::default(); settings.instances as usize],
            reply_cache: ReplyCache::default(),
            last_message_at: 0,
            malformed_datagrams: 0,
            params,
        }
    }

    /// Takes in an event and appends what is to be done now. Times must not go back from one call
    /// to the next.
    pub fn handle(&mut self, now: Millis, event: &Event<'_>, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        match *event {
            Event::ServerList { list, entries, .. } => self.update_servers(list, entries),
            Event::Request(ref new) => self.accept_request(new),
            Event::AttemptEnded {
                id,
                forward,
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
                self.end_attempt(id, usize::from(forward), &result, load);
            }
            Event::StreamStarted { id, .. } => self.start_streaming(id),
            Event::ClientDisconnected { id } => self.abandon_request(id),
            Event::CounterReplied {
                name,
                outcome,
                total,
                rtt,
            } => {
                self.end_counter_call(name, outcome, total.into(), rtt);
            }
            Event::ProbeEnded {
                server,
                outcome,
                ref load,
                ..
            } => self.end_probe(server, outcome, load),
            Event::Timer { .. } => self.tick(),
            Event::DatagramReceived { from, data } => self.handle_datagram(from, data),
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// A new configuration: endpoint groups and plans keep their numbers, and more may follow
    /// behind them. One with fewer than before is ignored.
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
