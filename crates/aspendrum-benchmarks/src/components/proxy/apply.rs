//! Applying decided state to the dispatcher of a proxy.

use super::fixture::{config_section, new_dispatcher, servers_section};
use crate::figure::FigureLine;
use crate::fleet_data::{config_text, proxies, servers};
use crate::fleet_size::FleetSize;
use crate::measure::{measure_memory, time_each};
use aspendrum_model::message::{ProxyEndpoint, Readiness, StateSection};
use aspendrum_proxy::dispatcher::Dispatcher;

const REPEATS: usize = 9;

pub(super) fn measure(size: &FleetSize) {
    let dispatcher = new_dispatcher();
    measure_config(&dispatcher, size);
    measure_servers(&dispatcher, size);
    measure_proxies(&dispatcher, size);
}

fn figure(name: &str, size: &FleetSize) -> FigureLine {
    FigureLine::new(name)
        .with("limiters", size.limiters)
        .with("servers", size.servers)
        .with("services", size.services)
        .with("routes", size.routes)
        .with("tenants", size.tenants)
}

fn measure_config(dispatcher: &Dispatcher, size: &FleetSize) {
    let section = |version| config_section(&config_text(size, size.services, version), version);
    let sections: Vec<StateSection> = (1..5).map(section).collect();
    let memory = measure_memory(|| dispatcher.apply(sections[0].clone()));
    figure("proxy.config.memory", size)
        .megabytes("held", memory.retained_bytes)
        .megabytes("most", memory.peak_bytes)
        .print();
    let apply_time = time_each(3, |n| dispatcher.apply(sections[n + 1].clone()));
    figure("proxy.config.apply", size)
        .milliseconds("cpu", &apply_time)
        .print();
    figure("proxy.edition", size)
        .milliseconds("cpu", &time_each(3, |_| dispatcher.applied()))
        .print();
}

fn measure_servers(dispatcher: &Dispatcher, size: &FleetSize) {
    let list = servers(size);
    // Copies the lists in advance: the dispatcher takes ownership, and copying is not part of the measured time.
    let mut copies: Vec<Vec<_>> = (0..REPEATS).map(|_| list.clone()).collect();
    let memory = measure_memory(|| dispatcher.apply(servers_section(list.clone())));
    figure("proxy.list.memory", size)
        .megabytes("held", memory.retained_bytes)
        .print();
    let apply_time = time_each(REPEATS, |_| {
        dispatcher.apply(servers_section(copies.pop().unwrap_or_default()))
    });
    figure("proxy.list.apply", size)
        .milliseconds("cpu", &apply_time)
        .print();
}

fn measure_proxies(dispatcher: &Dispatcher, size: &FleetSize) {
    dispatcher.apply(StateSection::Proxies(proxies(size.limiters)));
    let list = |n| proxies_with_one_closed(size.limiters, n);
    let mut lists: Vec<Vec<ProxyEndpoint>> = (1..=REPEATS).map(list).collect();
    let apply_time = time_each(REPEATS, |_| {
        dispatcher.apply(StateSection::Proxies(lists.pop().unwrap_or_default()))
    });
    figure("proxy.fronts.apply", size)
        .milliseconds("cpu", &apply_time)
        .print();
}

/// Returns `count` proxies, of which the one with number `closed` is not ready.
fn proxies_with_one_closed(count: usize, closed: usize) -> Vec<ProxyEndpoint> {
    let mut proxies = proxies(count);
    if let Some(proxy) = proxies.get_mut(closed % count) {
        proxy.readiness = Readiness::Closed;
    }
    proxies
}
