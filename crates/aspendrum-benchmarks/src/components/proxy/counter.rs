//! Tenant counters: owner lookup, addition and ownership changes. Also the lookup of a tenant by credential.

use crate::figure::FigureLine;
use crate::fleet_data::{config_text, proxies, proxy_addr};
use crate::fleet_size::{FleetSize, FLEET_SIZES};
use crate::measure::{time_batches, time_each};
use aspendrum_model::config::Config;
use aspendrum_model::hash::digest;
use aspendrum_proxy::counter::{CounterClient, CounterId, CounterStore, Quota, QuotaTolerance};

const QUOTA_RATE: f64 = 100.0;
const QUOTA_BURST: f64 = 100.0;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    span_s: 5.0,
    excess: 0.1,
    slack: 20.0,
};
/// The time of all additions, long after the start.
const ADD_TIME_MS: f64 = 60_000.0;
const HOSTS: usize = 16;

pub(super) fn measure(size: &FleetSize) {
    let mut client = CounterClient::default();
    let addresses = proxies(size.limiters).into_iter().map(|p| *p.addr.ip());
    client.set_owners(addresses.collect());
    let counter = |n| CounterId(digest(format!("tenant{n}").as_bytes()) >> 24);
    let counters: Vec<CounterId> = (0..size.tenants).map(counter).collect();
    let owner_time = time_batches(9, 1000, |n| client.owner(counters[n % counters.len()]));
    figure("counts.holder", size)
        .milliseconds("cpu", &owner_time)
        .print();
    measure_store(size, &client, &counters);
    measure_credentials(size);
}

fn figure(name: &str, size: &FleetSize) -> FigureLine {
    FigureLine::new(name)
        .with("limiters", size.limiters)
        .with("tenants", size.tenants)
}

fn measure_store(size: &FleetSize, client: &CounterClient, counters: &[CounterId]) {
    let quota = |id: &CounterId| {
        (
            *id,
            Quota::with_tolerance(QUOTA_RATE, QUOTA_BURST, &TOLERANCE),
        )
    };
    let mut store = CounterStore::default();
    store.set_quotas(counters.iter().map(quota).collect(), |_| true);
    store.update_ownership(0.0, |_| true);
    let add_time = time_batches(9, 10_000, |n| {
        store.add(ADD_TIME_MS, counters[n % counters.len()], 1.0)
    });
    figure("counts.add", size)
        .milliseconds("cpu", &add_time)
        .print();
    let local_proxy = *proxy_addr(0).ip();
    let is_owned = |id: CounterId| client.owner(id) == Some(local_proxy);
    let reassign_time = time_each(3, |n| store.update_ownership(n as f64, is_owned));
    figure("counts.moved", size)
        .milliseconds("cpu", &reassign_time)
        .print();
    let owned = counters.iter().filter(|id| is_owned(**id)).count();
    figure("counts.share", size)
        .with("held_here", owned)
        .print();
}

fn measure_credentials(size: &FleetSize) {
    let config_size = FleetSize {
        tenants: size.tenants,
        ..FLEET_SIZES[0]
    };
    let Ok(config) = Config::read(config_text(&config_size, HOSTS, 1).as_bytes()) else {
        return;
    };
    let tenants = config.tenants.iter().flatten();
    let keys: Vec<&String> = tenants.filter_map(|t| t.keys.first()).collect();
    let find_time = time_batches(9, 10_000, |n| config.tenant(keys[n % keys.len()]));
    figure("model.tenant", size)
        .milliseconds("cpu", &find_time)
        .print();
}
