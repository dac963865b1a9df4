//! Proxy directory of a control node: merging of proxy tables, updates and lookups.

use crate::figure::FigureLine;
use crate::fleet_data::proxies;
use crate::fleet_size::{region, region_by_zone, zone};
use crate::measure::{measure_memory, time_batches, time_each};
use aspendrum_control::directory::{Directory, REGION_HOLD_TIME};
use aspendrum_control::proxy_table::{merge_proxy_tables, ProxyEntry};
use aspendrum_model::message::ProxyEndpoint;

const PROXY_COUNTS: [usize; 5] = [30, 100, 200, 430, 1_000];
/// The number of control nodes. Each has a table of the proxies whose agents are connected to it.
const CONTROL_NODES: usize = 4;
const TTL_S: f64 = 5.0;

pub(super) fn run() {
    for count in PROXY_COUNTS {
        let proxies = proxies(count);
        measure_merge(&proxies);
        let directory = measure_update(&proxies);
        measure_lookups(&directory, count);
    }
}

fn figure(name: &str, proxies: usize) -> FigureLine {
    FigureLine::new(name).with("limiters", proxies)
}

fn measure_merge(proxies: &[ProxyEndpoint]) {
    let entry = |proxy: &ProxyEndpoint| ProxyEntry {
        proxy: proxy.clone(),
        is_connected: true,
    };
    let tables: Vec<Vec<ProxyEntry>> = proxies
        .chunks(proxies.len().div_ceil(CONTROL_NODES))
        .map(|part| part.iter().map(entry).collect())
        .collect();
    let merge_time = time_each(25, |_| merge_proxy_tables(tables.iter()));
    figure("finding.union", proxies.len())
        .milliseconds("cpu", &merge_time)
        .print();
}

fn measure_update(proxies: &[ProxyEndpoint]) -> Directory {
    let regions = region_by_zone();
    let build = || {
        let mut directory = Directory::new(0.0, &regions);
        directory.update(0.0, proxies);
        directory
    };
    figure("finding.rebuild", proxies.len())
        .milliseconds("cpu", &time_each(25, |_| build()))
        .print();
    let memory = measure_memory(build);
    figure("finding.memory", proxies.len())
        .megabytes("held", memory.retained_bytes)
        .print();
    memory.result
}

fn measure_lookups(directory: &Directory, proxies: usize) {
    let look_up_zone = |n: usize| directory.look_up(REGION_HOLD_TIME, &region(n), &zone(n), TTL_S);
    let look_up_anywhere = |_| directory.look_up(REGION_HOLD_TIME, "nowhere", "nowhere", TTL_S);
    figure("finding.look_up", proxies)
        .with("where", "zone")
        .with("addresses", look_up_zone(0).addresses.len())
        .milliseconds("cpu", &time_batches(25, 200, look_up_zone))
        .print();
    figure("finding.look_up", proxies)
        .with("where", "anywhere")
        .milliseconds("cpu", &time_batches(25, 200, look_up_anywhere))
        .print();
}
