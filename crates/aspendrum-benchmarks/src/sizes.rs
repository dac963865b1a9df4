//! Configurations, lists of servers and of proxies, of any size, shaped as the protocol's examples are. The
//! same numbers give the same texts.

use aspendrum_model::message::{ProxyEndpoint, Readiness};
use aspendrum_model::servers::ServerInstance;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

pub const ZONES: usize = 20;
pub const REGIONS: usize = 9;
/// Keys of a tenant, as in the protocol's example.
const KEYS: usize = 2;
/// The wire names of an operator's text, as the protocol's example has them.
const CAPS: &str = r#"{"hdr-bytes":16384,"body-bytes":67108864,"hdr-ms":3000,"idle-ms":15000}"#;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub limiters: usize,
    pub servers: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
}

/// The operators' target, and two sizes on the way.
pub const GRADES: [Size; 3] = [
    Size {
        limiters: 30,
        servers: 230,
        services: 16,
        routes: 100,
        tenants: 500,
    },
    Size {
        limiters: 100,
        servers: 925,
        services: 62,
        routes: 475,
        tenants: 5_000,
    },
    Size {
        limiters: 430,
        servers: 3_700,
        services: 250,
        routes: 1_900,
        tenants: 35_000,
    },
];

pub fn zone(n: usize) -> String {
    format!("zone-{:02}", n % ZONES)
}

pub fn region(n: usize) -> String {
    format!("region-{}", n % ZONES * REGIONS / ZONES)
}

/// The region of each zone.
pub fn regions() -> BTreeMap<String, String> {
    (0..ZONES).map(|n| (zone(n), region(n))).collect()
}

fn service(n: usize) -> String {
    format!("svc{n:03}a")
}

fn word(rng: &mut Rng, n: usize) -> String {
    (0..n).map(|_| rng.lowercase()).collect()
}

fn key(rng: &mut Rng) -> String {
    (0..20)
        .map(|_| rng.alphanumeric().to_ascii_lowercase())
        .collect()
}

/// An operator's text: `size` of it, spread over `hosts` hosts. Versions differ in the weights of one route.
pub fn config(size: &Size, hosts: usize, version: u32) -> String {
    let mut rng = Rng::with_seed(7);
    let mut out = format!(r#"{{"gen":"{version:08x}","caps":{CAPS},"tenants":["#);
    for n in 0..size.tenants {
        let keys: Vec<String> = (0..KEYS)
            .map(|_| format!("\"{}\"", key(&mut rng)))
            .collect();
        let (comma, rate) = (if n == 0 { "" } else { "," }, 1 + rng.u32(..400));
        let _ = write!(
            out,
            r#"{comma}{{"name":"{}{n}","keys":[{}],"prio":{},"rate-s":{rate},"burst":{rate},"homes":[]}}"#,
            word(&mut rng, 4),
            keys.join(","),
            rng.u32(..3)
        );
    }
    out += r#"],"ports":["#;
    for host in 0..hosts.min(size.routes) {
        let comma = if host == 0 { "" } else { "," };
        let _ = write!(
            out,
            r#"{comma}{{"vhost":"{}{host}.example","rules":["#,
            word(&mut rng, 4)
        );
        for (at, n) in (host..size.routes).step_by(hosts).enumerate() {
            let (comma, own) = (if at == 0 { "" } else { "," }, service(n % size.services));
            let other = service((n + 1) % size.services);
            let kind = if n % 2 == 0 { "idem" } else { "mutating" };
            let weight = if n == 0 { 50 + version % 40 } else { 90 };
            let (name, prio, prefix) = (word(&mut rng, 3), rng.u32(..3), word(&mut rng, 4));
            let _ = write!(
                out,
                r#"{comma}{{"name":"r-{name}{n}","type":"{kind}","goal-ms":500,"prio":{prio},"#
            );
            let _ = write!(out, r#""public":false,"match":{{"pfx":"/{prefix}{n}/"}},"#);
            let _ = write!(
                out,
                r#""action":{{"split":[{{"svc":"{own}","wt":{weight}}},"#
            );
            let _ = write!(
                out,
                r#"{{"svc":"{other}","wt":10}}],"limit-ms":2000,"tries":2,"homes":[]}}}}"#
            );
        }
        out += "]}";
    }
    out += r#"],"pools":["#;
    for n in 0..size.services {
        let comma = if n == 0 { "" } else { "," };
        let _ = write!(
            out,
            r#"{comma}{{"name":"{}","check":"/healthz","max-conns":440,"#,
            service(n)
        );
        out += r#""proto":"h1","tls":false,"warmup-s":3.0,"warm-rate-s":6.7}"#;
    }
    out += "]}";
    out
}

/// Servers, evenly over services and zones. `at`: where each is.
pub fn servers(size: &Size, at: impl Fn(usize) -> SocketAddrV4) -> Vec<ServerInstance> {
    let of = |n: usize| ServerInstance {
        uid: format!("i-{:08x}", (n as u32).wrapping_mul(0x9e37_79b1)),
        service: service(n % size.services),
        addr: at(n),
        zone: zone(n / size.services + n % size.services),
        slots: 2,
        draining: false,
        slow_start_left_ms: 0,
    };
    (0..size.servers).map(of).collect()
}

/// The port of all servers.
pub const SERVERS_PORT: u16 = 28_080;

/// An address of its own for each server.
pub fn apart(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(127, 62, (n >> 8) as u8, n as u8),
        SERVERS_PORT,
    )
}

/// The address of the proxy of that number.
pub fn front_at(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(127, 60, 10 + (n / 250) as u8, (n % 250 + 1) as u8),
        8202,
    )
}

pub fn fronts(limiters: usize) -> Vec<ProxyEndpoint> {
    let of = |n| ProxyEndpoint {
        addr: front_at(n),
        zone: zone(n),
        readiness: Readiness::Ready,
        is_current: true,
    };
    (0..limiters).map(of).collect()
}

/// A platform's answer to a call for a page of these, and the token of the next.
pub fn page(list: &[ServerInstance], next: Option<String>) -> String {
    let entry = |s: &ServerInstance| {
        serde_json::json!({"uid": s.uid, "svc": s.service, "addr": s.addr, "az": s.zone, "gen": "v1",
            "slots": s.slots, "phase": if s.draining { "drain" } else { "up" },
            "warm-left-ms": s.slow_start_left_ms})
    };
    let servers: Vec<serde_json::Value> = list.iter().map(entry).collect();
    serde_json::json!({"servers": servers, "next": next}).to_string()
}
