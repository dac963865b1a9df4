//! Server pools, windowed plans and configuration changes, as used by the proxies.

mod common;

use aspendrum_core::api::{
    Action, Event, Health, ListKind, Millis, NewRequest, Outcome, PlanSettings, RepeatGroup,
    RequestId, Semantics, ServerEntry, ServerId, ZoneSet,
};
use aspendrum_core::engine::DecisionEngine;
use common::settings;
use test_case::test_case;

struct Harness {
    engine: DecisionEngine,
    now: Millis,
    next: RequestId,
    out: Vec<Action>,
}

impl Harness {
    fn new(windowed: bool, burst: f64) -> Harness {
        let mut s = settings(Semantics::NonIdempotent, RepeatGroup::All);
        s.plans[0] = PlanSettings {
            is_windowed: windowed,
            rate: burst,
            burst,
            ..s.plans[0].clone()
        };
        let mut out = Vec::new();
        Harness {
            engine: DecisionEngine::new(1000.0, 7, &s, &mut out),
            now: 1000.0,
            next: 1,
            out,
        }
    }

    fn handle(&mut self, event: &Event<'_>) -> Vec<Action> {
        self.out.clear();
        self.engine.handle(self.now, event, &mut self.out);
        self.out.clone()
    }

    fn servers(&mut self, servers: &[(ServerId, u16, u8)]) {
        let member = |&(server, pool, zone): &(ServerId, u16, u8)| ServerEntry {
            server,
            pool,
            distance_cost: 0.0,
            health: Health::Ready,
            cell: 0,
            zone,
            capacity: 1.0,
            kind: 0,
            started_at: 0.0,
        };
        let entries: Vec<ServerEntry> = servers.iter().map(member).collect();
        self.handle(&Event::ServerList {
            list: ListKind::Delta,
            version: 1,
            entries: &entries,
        });
    }

    /// Sends a request whose counter call fails, and returns the resulting actions.
    fn request(&mut self, pool: u16, zones: ZoneSet, instances: f32) -> Vec<Action> {
        let id = self.next;
        self.next += 1;
        let until = self.now + 3000.0;
        let (group, tenant, plan, units, first) = (0, 5, 0, 1.0, 0.0);
        let (client_repeat, write, most) = (false, true, 3);
        let new = NewRequest {
            id,
            group,
            deadline: until,
            tenant,
            plan,
            instances,
            units,
            first_instance: first,
            is_client_retry: client_repeat,
            is_write: write,
            pool,
            allowed_zones: zones,
            max_attempts: most,
        };
        let mut actions = self.handle(&Event::Request(new));
        let call = actions.iter().find_map(|a| match a {
            Action::AddToCounter { name, .. } => Some(*name),
            _ => None,
        });
        if let Some(name) = call {
            let failed = Event::CounterReplied {
                name,
                outcome: Outcome::ConnectFailed,
                total: 0.0,
                rtt: 1.0,
            };
            actions.extend(self.handle(&failed));
        }
        actions
    }
}

fn forwarded(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { server, .. } => Some(*server),
        _ => None,
    })
}

fn zones<const N: usize>(numbers: [u8; N]) -> ZoneSet {
    ZoneSet::from_iter(numbers)
}

#[test]
fn a_request_goes_to_its_pool_and_its_zones_only() {
    let mut harness = Harness::new(false, 0.0);
    harness.servers(&[(1, 0, 0), (2, 1, 0), (3, 1, 1), (4, 1, 2)]);
    for _ in 0..3 {
        assert_eq!(forwarded(&harness.request(1, zones([1]), 2.0)), Some(3));
    }
    assert_eq!(forwarded(&harness.request(0, ZoneSet::ALL, 2.0)), Some(1));
    assert_eq!(forwarded(&harness.request(0, zones([2]), 2.0)), None);
    assert_eq!(forwarded(&harness.request(2, ZoneSet::ALL, 2.0)), None);
}

/// Guards against zone numbers that wrap around from 64 on: a request that may only run in its home zones would then run
/// in others too.
#[test_case(1; "the second zone")]
#[test_case(63; "the last zone of the first word")]
#[test_case(64; "the first zone of the second word")]
#[test_case(u8::MAX; "the highest zone")]
fn a_request_runs_in_none_of_256_zones_but_its_own(home: u8) {
    let mut harness = Harness::new(false, 0.0);
    let servers = (0..=u8::MAX).map(|zone| (u32::from(zone), 0, zone));
    let servers: Vec<(ServerId, u16, u8)> = servers.collect();
    harness.servers(&servers);
    for _ in 0..3 {
        let request = harness.request(0, zones([home]), 2.0);
        assert_eq!(forwarded(&request), Some(u32::from(home)));
    }
    assert_eq!(forwarded(&harness.request(0, ZoneSet::EMPTY, 2.0)), None);
}

/// Requests queued for a pool without servers must not block the requests of other pools.
#[test]
fn a_pool_without_servers_does_not_block_other_pools() {
    let mut harness = Harness::new(false, 0.0);
    harness.servers(&[(1, 0, 0)]);
    for _ in 0..5 {
        assert_eq!(forwarded(&harness.request(1, ZoneSet::ALL, 2.0)), None);
    }
    assert_eq!(forwarded(&harness.request(0, ZoneSet::ALL, 2.0)), Some(1));
}

/// When half of the instances were killed, the number of instances changed five times in a third of
/// a second. Each change reset the tenant's local count, and 1,330 requests ran where 1,248 were
/// allowed.
#[test]
fn a_changing_number_of_instances_grants_no_additional_share() {
    let mut harness = Harness::new(true, 90.0);
    harness.servers(&(1..200).map(|s| (s, 0, 0)).collect::<Vec<_>>());
    harness.now += 20_000.0;
    let mut granted = 0;
    for instances in [9.0, 8.0, 7.0, 6.0, 5.0, 4.0_f32] {
        for _ in 0..100 {
            granted += u32::from(forwarded(&harness.request(0, ZoneSet::ALL, instances)).is_some());
        }
    }
    // The even share of the burst for the number of instances at the tenant's first request.
    assert_eq!(granted, 10);
}

/// An instance that was killed may have granted its whole share just before, so a new process must
/// not grant it again.
#[test]
fn right_after_a_start_a_windowed_plan_has_only_its_refill() {
    let mut harness = Harness::new(true, 90.0);
    harness.servers(&[(1, 0, 0)]);
    assert_eq!(forwarded(&harness.request(0, ZoneSet::ALL, 9.0)), None);
    harness.now += 200.0;
    assert_eq!(forwarded(&harness.request(0, ZoneSet::ALL, 9.0)), Some(1));
}

#[test]
fn a_new_configuration_applies_groups_and_quotas_without_a_restart() {
    let mut harness = Harness::new(true, 0.0);
    harness.servers(&[(1, 0, 0)]);
    assert!(
        forwarded(&harness.request(0, ZoneSet::ALL, 1.0)).is_some(),
        "no quota"
    );
    let s = settings(Semantics::NonIdempotent, RepeatGroup::All);
    let plan = PlanSettings {
        is_windowed: true,
        rate: 1.0,
        burst: 1.0,
        ..s.plans[0].clone()
    };
    harness.engine.configure(&s.groups, &[]);
    assert!(
        forwarded(&harness.request(0, ZoneSet::ALL, 1.0)).is_some(),
        "a configuration with fewer plans is ignored"
    );
    harness.engine.configure(&s.groups, &[plan]);
    assert!(forwarded(&harness.request(0, ZoneSet::ALL, 1.0)).is_none());
}

/// A request whose zones have no usable server must not block the other requests of its pool.
/// Previously, such a request at the head of the queue marked its whole pool as unavailable for the
/// dispatch round, and the others waited until it was rejected, although they had a free server.
#[test]
fn a_request_without_a_server_in_its_zones_does_not_block_its_pool() {
    let mut harness = Harness::new(false, 0.0);
    harness.servers(&[(3, 1, 1), (4, 1, 3)]);
    assert_eq!(forwarded(&harness.request(1, zones([2]), 2.0)), None);
    assert_eq!(forwarded(&harness.request(1, zones([1]), 2.0)), Some(3));
    assert_eq!(forwarded(&harness.request(1, zones([2, 3]), 2.0)), Some(4));
}
