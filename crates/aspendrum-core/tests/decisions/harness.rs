//! A test harness around one decision engine.

use crate::common::settings;
use aspendrum_core::api::{
    Action, Event, Health, ListKind, LoadReport, Millis, NewRequest, Outcome, RepeatGroup,
    RequestId, Semantics, ServerEntry, ServerId, Settings, TenantId, ZoneSet,
};
use aspendrum_core::engine::DecisionEngine;

/// An engine, its clock and the actions that it has returned.
pub(crate) struct Harness {
    pub(crate) engine: DecisionEngine,
    pub(crate) now: Millis,
    /// The name and the units of each counter call.
    pub(crate) calls: Vec<(u64, f32)>,
    pub(crate) forwards: Vec<(RequestId, ServerId)>,
    pub(crate) shed: Vec<RequestId>,
    pub(crate) dropped: Vec<RequestId>,
    pub(crate) probes: Vec<ServerId>,
    pub(crate) actions: Vec<Action>,
}

pub(crate) fn server_entry(
    server: ServerId,
    health: Health,
    cell: u16,
    started: Millis,
) -> ServerEntry {
    ServerEntry {
        server,
        pool: 0,
        distance_cost: 0.0,
        health,
        cell,
        zone: 0,
        capacity: 1.0,
        kind: 0,
        started_at: started,
    }
}

impl Harness {
    pub(crate) fn with(s: &Settings, servers: &[ServerEntry]) -> Harness {
        let mut actions = Vec::new();
        let engine = DecisionEngine::new(1000.0, 7, s, &mut actions);
        let (calls, forwards, shed, dropped, probes) = Default::default();
        let mut harness = Harness {
            engine,
            now: 1000.0,
            calls,
            forwards,
            shed,
            dropped,
            probes,
            actions,
        };
        harness.handle(&Event::ServerList {
            list: ListKind::Cached,
            version: 1,
            entries: servers,
        });
        harness
    }

    pub(crate) fn new(semantics: Semantics, group: RepeatGroup) -> Harness {
        let servers: Vec<ServerEntry> = (1..5)
            .map(|id| server_entry(id, Health::Ready, (id % 2) as u16, 0.0))
            .collect();
        Harness::with(&settings(semantics, group), &servers)
    }

    pub(crate) fn plain() -> Harness {
        Harness::new(Semantics::Idempotent, RepeatGroup::All)
    }

    pub(crate) fn handle(&mut self, event: &Event<'_>) {
        let mut out = Vec::new();
        self.engine.handle(self.now, event, &mut out);
        for action in &out {
            match *action {
                Action::AddToCounter {
                    name, units: add, ..
                } => self.calls.push((name, add)),
                Action::Forward { id, server, .. } => self.forwards.push((id, server)),
                Action::Shed { id, .. } => self.shed.push(id),
                Action::Drop { id } => self.dropped.push(id),
                Action::Probe { server } => self.probes.push(server),
                _ => {}
            }
        }
        self.actions.extend(out);
    }

    pub(crate) fn request(&mut self, id: RequestId, tenant: TenantId) {
        self.request_of(id, tenant, 2.0);
    }

    /// Sends a request of a tenant whose requests are spread over that many instances.
    pub(crate) fn request_of(&mut self, id: RequestId, tenant: TenantId, instances: f32) {
        let (until, units) = (self.now + 3000.0, 1.0);
        let (client_repeat, write) = (false, false);
        let q = NewRequest {
            id,
            group: 0,
            deadline: until,
            tenant,
            plan: 0,
            instances,
            units,
            first_instance: 0.0,
            is_client_retry: client_repeat,
            is_write: write,
            pool: 0,
            allowed_zones: ZoneSet::ALL,
            max_attempts: u8::MAX,
        };
        self.handle(&Event::Request(q));
    }

    pub(crate) fn counter_reply(&mut self, name: u64, outcome: Outcome, total: f32) {
        self.handle(&Event::CounterReplied {
            name,
            outcome,
            total,
            rtt: 1.0,
        });
    }

    /// Sends requests until the counter is called, and ends that call with the outcome.
    pub(crate) fn end_counter_call(&mut self, tenant: TenantId, outcome: Outcome) {
        let calls = self.calls.len();
        while self.calls.len() == calls {
            self.now += 2.0;
            let id = 9000 + self.actions.len() as u64;
            self.request(id, tenant);
        }
        self.now += 2.0;
        self.counter_reply(tenant, outcome, 1.0);
    }

    /// Sends a request and replies to its counter call with `total`.
    pub(crate) fn request_with_total(&mut self, id: RequestId, tenant: TenantId, total: f32) {
        self.request(id, tenant);
        self.counter_reply(tenant, Outcome::Ok, total);
    }

    pub(crate) fn end(&mut self, id: RequestId, attempt: u8, outcome: Outcome) {
        let server = self
            .forwards
            .iter()
            .filter(|f| f.0 == id)
            .nth(usize::from(attempt))
            .map_or(0, |f| f.1);
        let over = outcome == Outcome::Ok;
        let load = LoadReport::default();
        let (rtt, used, actual) = (50.0, 0, 0);
        self.handle(&Event::AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            rtt,
            is_final: over,
            metered_usage: used,
            actual_units: actual,
            load,
        });
    }

    pub(crate) fn wait(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5.0;
            self.handle(&Event::Timer { token: 0 });
        }
    }

    pub(crate) fn sent(&self, id: RequestId) -> usize {
        self.forwards.iter().filter(|f| f.0 == id).count()
    }

    pub(crate) fn local_replies(&self, id: RequestId) -> usize {
        self.shed
            .iter()
            .chain(&self.dropped)
            .filter(|f| **f == id)
            .count()
    }
}
