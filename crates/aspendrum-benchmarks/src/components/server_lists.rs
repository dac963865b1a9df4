//! Server lists, proxy lists and heartbeats: encoded size, parsing and replacement.

use crate::figure::FigureLine;
use crate::fleet_data::{proxies, server_page, servers, SERVERS_PER_PAGE};
use crate::fleet_size::{FleetSize, FLEET_SIZES};
use crate::measure::{measure_memory, time_batches, time_each};
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, StateDigest, StateSection, ToControl,
};
use aspendrum_model::servers::{parse_page, ServerInstance, ServerList};
use aspendrum_net::frames::encode_frame;

/// The send time of the heartbeats: one day after the start.
const SENT_AT_MS: u64 = 86_400_000;
/// The number of times that the server list is replaced.
const REPLACEMENTS: usize = 16;

pub(super) fn run() {
    for size in FLEET_SIZES {
        measure_pages(&size);
        measure_server_list(&size);
    }
    for size in FLEET_SIZES {
        measure_proxy_list(&size);
    }
    measure_heartbeats();
}

fn figure(name: &str, size: &FleetSize) -> FigureLine {
    FigureLine::new(name)
        .with("servers", size.servers)
        .with("services", size.services)
}

fn measure_pages(size: &FleetSize) {
    let servers = servers(size);
    let pages: Vec<String> = servers
        .chunks(SERVERS_PER_PAGE)
        .map(|part| server_page(part, Some("p-50".into())))
        .collect();
    let frame = encode_frame(&FromControl::Update {
        number: 1,
        section: StateSection::Servers {
            age_ms: 0,
            list: servers,
        },
    });
    figure("lists.bytes", size)
        .with("pages", pages.len())
        .with("json", pages.iter().map(String::len).sum::<usize>())
        .with("frame", frame.len())
        .print();
    let count_servers = || -> usize {
        let parsed = pages.iter().filter_map(|p| parse_page(p.as_bytes()).ok());
        parsed.map(|page| page.servers.len()).sum()
    };
    figure("lists.pages.read", size)
        .milliseconds("cpu", &time_each(15, |_| count_servers()))
        .print();
}

fn measure_server_list(size: &FleetSize) {
    let servers = servers(size);
    let memory = measure_memory(|| servers.clone());
    figure("lists.memory", size)
        .megabytes("held", memory.retained_bytes)
        .print();
    // Consecutive lists differ in which of two servers is draining.
    let list = |number: usize| -> Vec<ServerInstance> {
        let mut list = servers.clone();
        list[number % 2].is_draining = true;
        list
    };
    let lists: Vec<Vec<ServerInstance>> = (0..REPLACEMENTS).map(list).collect();
    let mut current = ServerList::default();
    let replace_time = time_each(REPLACEMENTS, |n| {
        let polled_at = n as f64 * 1000.0;
        current.replace(polled_at, lists[n].clone(), polled_at)
    });
    figure("lists.roster.take", size)
        .milliseconds("cpu", &replace_time)
        .print();
    let snapshot_time = time_each(15, |_| current.snapshot(20_000.0));
    figure("lists.roster.told", size)
        .milliseconds("cpu", &snapshot_time)
        .print();
}

fn measure_proxy_list(size: &FleetSize) {
    let frame = encode_frame(&FromControl::Update {
        number: 1,
        section: StateSection::Proxies(proxies(size.limiters)),
    });
    FigureLine::new("lists.fronts.bytes")
        .with("limiters", size.limiters)
        .with("frame", frame.len())
        .print();
}

fn measure_heartbeats() {
    let digest = StateDigest {
        digests: [u64::MAX; 4],
        ..StateDigest::default()
    };
    let to_control = encode_frame(&Envelope::<()>::Agent(ToControl::Heartbeat {
        sent_at_ms: SENT_AT_MS,
        readiness: Readiness::Ready,
        applied: digest,
    }));
    let from_control = FromControl::HeartbeatReply {
        sent_at_ms: SENT_AT_MS,
        majority_age: Some(400),
        decided: digest,
        control_reachable: true,
        half_of_agents_isolated: false,
    };
    FigureLine::new("lists.beat.bytes")
        .with("up", to_control.len())
        .with("down", encode_frame(&from_control).len())
        .print();
    let encode_time = time_batches(9, 1000, |_| encode_frame(&from_control));
    FigureLine::new("lists.beat.frame")
        .milliseconds("cpu", &encode_time)
        .print();
}
