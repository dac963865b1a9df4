//! Configurations and lists: read, packed, digested, as frames on a link.

use crate::measure::{batches, each, memory, Line};
use crate::sizes::{self, Size, GRADES};
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::config::Config;
use aspendrum_model::message::{
    Envelope, FromControl, Readiness, StateDigest, StateSection, ToControl,
};
use aspendrum_model::servers::{parse_page, ServerInstance, ServerList};
use aspendrum_net::frames::encode_frame;
use aspendrum_reconcile::state_digest;

/// Servers on a page of the platform's list, as the pages' deployments have it.
pub const PAGE: usize = 50;

/// Routes, tenants and hosts: each alone, then all at the target.
const TEXTS: [(usize, usize, usize); 8] = [
    (100, 500, 16),
    (475, 500, 62),
    (1_900, 500, 250),
    (1_900, 500, 1),
    (100, 5_000, 16),
    (100, 17_500, 16),
    (100, 35_000, 16),
    (1_900, 35_000, 250),
];

pub(super) fn configurations() {
    for (routes, tenants, hosts) in TEXTS {
        let size = Size {
            routes,
            tenants,
            ..GRADES[2]
        };
        let line = |name| {
            Line::of(name)
                .with("routes", routes)
                .with("tenants", tenants)
                .with("hosts", hosts)
        };
        let text = sizes::config(&size, hosts, 1);
        let packed = compress(text.as_bytes());
        let whole = encode_frame(&FromControl::Update {
            number: 1,
            section: StateSection::config(1, packed.clone()),
        });
        let bytes = line("model.config.bytes")
            .with("text", text.len())
            .with("packed", packed.len());
        bytes.with("frame", whole.len()).tell();
        let repeats = if tenants > 5_000 { 5 } else { 15 };
        line("model.pack")
            .ms("cpu", &each(repeats, |_| compress(text.as_bytes())))
            .tell();
        line("model.unpack")
            .ms("cpu", &each(repeats, |_| decompress(&packed)))
            .tell();
        let (config, held, most) = memory(|| Config::read(text.as_bytes()));
        line("model.config.memory")
            .mb("held", held)
            .mb("most", most)
            .tell();
        line("model.config.read")
            .ms("cpu", &each(repeats, |_| Config::read(text.as_bytes())))
            .tell();
        let Ok(config) = config else { continue };
        let digests = each(if tenants > 5_000 { 3 } else { 9 }, |_| {
            state_digest(Some(&config), 0, &[])
        });
        line("collation.edition").ms("cpu", &digests).tell();
    }
}

pub(super) fn lists() {
    for size in GRADES {
        let list = sizes::servers(&size, sizes::apart);
        let line = |name| {
            Line::of(name)
                .with("servers", size.servers)
                .with("services", size.services)
        };
        let pages: Vec<String> = list
            .chunks(PAGE)
            .map(|p| sizes::page(p, Some("p-50".into())))
            .collect();
        let bytes: usize = pages.iter().map(String::len).sum();
        let told = encode_frame(&FromControl::Update {
            number: 1,
            section: StateSection::Servers {
                age_ms: 0,
                list: list.clone(),
            },
        });
        line("lists.bytes")
            .with("pages", pages.len())
            .with("json", bytes)
            .with("frame", told.len())
            .tell();
        let read = || {
            pages
                .iter()
                .filter_map(|p| parse_page(p.as_bytes()).ok())
                .map(|p| p.servers.len())
                .sum::<usize>()
        };
        line("lists.pages.read")
            .ms("cpu", &each(15, |_| read()))
            .tell();
        let (_list, held, _) = memory(|| list.clone());
        line("lists.memory").mb("held", held).tell();
        let mut roster = ServerList::default();
        // One server drains, and is back with the next list.
        let turned = |n: usize| -> Vec<ServerInstance> {
            let drains = |(k, s): (usize, &ServerInstance)| ServerInstance {
                draining: k == n % 2,
                ..s.clone()
            };
            list.iter().enumerate().map(drains).collect()
        };
        let lists: Vec<Vec<ServerInstance>> = (0..16).map(turned).collect();
        let taken = each(16, |n| {
            roster.replace(n as f64 * 1000.0, lists[n].clone(), n as f64 * 1000.0)
        });
        line("lists.roster.take").ms("cpu", &taken).tell();
        line("lists.roster.told")
            .ms("cpu", &each(15, |_| roster.snapshot(20_000.0)))
            .tell();
    }
    for size in GRADES {
        let fronts = sizes::fronts(size.limiters);
        let told = encode_frame(&FromControl::Update {
            number: 1,
            section: StateSection::Proxies(fronts),
        });
        Line::of("lists.fronts.bytes")
            .with("limiters", size.limiters)
            .with("frame", told.len())
            .tell();
    }
    let edition = StateDigest {
        digests: [u64::MAX; 4],
        ..StateDigest::default()
    };
    let up = encode_frame(&Envelope::<()>::Agent(ToControl::Heartbeat {
        sent_at_ms: 86_400_000,
        readiness: Readiness::Ready,
        applied: edition,
    }));
    let age = Some(400);
    let beat = FromControl::Heartbeat {
        sent_at_ms: 86_400_000,
        majority_age: age,
        decided: edition,
        control_reachable: true,
        most_agents_isolated: false,
    };
    Line::of("lists.beat.bytes")
        .with("up", up.len())
        .with("down", encode_frame(&beat).len())
        .tell();
    let framed = batches(9, 1000, |_| encode_frame(&beat));
    Line::of("lists.beat.frame").ms("cpu", &framed).tell();
}
